//! What proves that a silent worker is cut off or lost, and not that this owner does not hear it.
//!
//! The end of a lease says that nothing runs on a worker any more.  It does not say how its runs have
//! ended: a run may have ended well, and the answer that lists the end may be lost because the owner's
//! own link or processor is too slow.  So what was left on a silent worker counts as lost only by
//! evidence that rests on neither ("Silence" in `docs/DESIGN.md`):
//!
//! - other nodes, the *witnesses*, have asked the worker after that time, and it has not answered them
//!   although they heard other workers meanwhile; or
//! - the platform has removed the worker's entry.
//!
//! A witness carries out a probe: a poll that renews no lease, forgets nothing and does not wait.  Its
//! place in the order of calls is taken before the witness is asked, so what was said to or heard from
//! the worker before that is reflected in the answer, as in that to any poll.

use std::net::SocketAddr;

use crate::cell::order::{Addressee, PollFailure, PollOrder, PollReport, Refusal};
use crate::cell::poll::HeardBy;
use crate::cell::sequence::Sequence;
use crate::cell::worker::{OpenPoll, Worker};
use crate::cell::{Cell, WorkerKey, tuning};
use crate::clock::Millis;

/// Evidence that a silent worker is cut off or lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SilenceEvidence {
    /// Witnesses have not reached it.
    Witness,
    /// The platform has removed its entry.
    EntryGone,
}

impl SilenceEvidence {
    /// Returns a stable name for logs.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Witness => "witness",
            Self::EntryGone => "entry gone",
        }
    }
}

impl Cell {
    /// Returns probes of the silent workers about which witnesses are to be asked now, of each worker
    /// at most once in [`tuning::SILENCE_QUESTION_INTERVAL`] and of at most
    /// [`tuning::MAX_SILENCE_QUESTIONS`] workers.  Those that have not been asked about for longest come
    /// first.  A worker of which another life is listed is asked at both addresses.
    pub fn take_silence_questions(&mut self, now: Millis) -> Vec<PollOrder> {
        let is_due = |worker: &Worker| {
            let last = worker.witness_asked_at;
            last.is_none_or(|at| now.saturating_sub(at) >= tuning::SILENCE_QUESTION_INTERVAL)
        };
        let workers = self.workers.iter();
        let due = workers.filter(|(_, worker)| {
            !worker.is_questioned && is_due(worker) && self.needs_evidence(worker, now)
        });
        let mut due: Vec<(Option<Millis>, WorkerKey)> = due
            .map(|(key, worker)| (worker.witness_asked_at, key))
            .collect();
        due.sort_unstable();
        due.truncate(tuning::MAX_SILENCE_QUESTIONS);
        let mut probes = Vec::new();
        for (_, key) in due {
            let worker = &mut self.workers[key];
            worker.witness_asked_at = Some(now);
            worker.is_questioned = true;
            let next = worker.next.as_ref().map(|next| next.entry.address);
            let addresses = [Some(worker.entry.address), next];
            for address in addresses.into_iter().flatten() {
                probes.push(self.probe(key, address, now));
            }
        }
        probes
    }

    /// Returns probes of up to [`tuning::MAX_CONTROL_WORKERS`] workers that this owner has just heard.
    /// A witness that hears one of them can hear workers.
    pub fn control_probes(&mut self, now: Millis) -> Vec<PollOrder> {
        let is_heard = |worker: &Worker| {
            let age = now.saturating_sub(worker.last_heard);
            worker.fenced && !worker.has_uncertain_life() && age <= tuning::CONTROL_HEARD_WITHIN
        };
        let workers = self.workers.iter();
        let mut heard: Vec<(Millis, WorkerKey)> = workers
            .filter(|(_, worker)| is_heard(worker))
            .map(|(key, worker)| (worker.last_heard, key))
            .collect();
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.truncate(tuning::MAX_CONTROL_WORKERS);
        heard
            .into_iter()
            .map(|(_, key)| self.probe(key, self.workers[key].entry.address, now))
            .collect()
    }

    /// Prepares a poll that renews no lease, forgets nothing and does not wait.
    fn probe(&mut self, key: WorkerKey, address: SocketAddr, now: Millis) -> PollOrder {
        PollOrder {
            sequence: self.next_sequence(),
            to: Addressee {
                address,
                ..self.addressee(key)
            },
            sent: now,
            forget: 0,
            due: None,
            wait: 0,
        }
    }

    /// Notes that no witness has reached the worker of a probe, although all of them heard other
    /// workers meanwhile.  That counts for nothing if the worker was heard since the probe was prepared,
    /// or if the probe went to the address of another life.
    pub fn note_unreached(&mut self, order: &PollOrder) {
        let noted = self.next_sequence();
        let Some(worker) = self.workers.get_mut(order.to.worker) else {
            return;
        };
        worker.is_questioned = false;
        let is_present_life = order.to.address == worker.entry.address;
        if is_present_life && worker.last_answer < order.sequence {
            worker.unreached_at = worker.unreached_at.max(Some(order.sent));
            worker.unreached_noted = noted;
        }
    }

    /// Returns whether only evidence is missing for what may be left on a worker to count as over.
    fn needs_evidence(&self, worker: &Worker, now: Millis) -> bool {
        let is_lapsing = worker.is_silent()
            && worker.holds_listed_work()
            && now > worker.lease_end
            && !self.may_be_renewed_by_successor(worker)
            && self.found_evidence(worker, worker.lease_end).is_none();
        let end = self.unreached_until(worker).saturating_sub(1);
        let is_settling = !self.settled
            && self.holds_up_settling(worker, now)
            && self.found_evidence(worker, end).is_none();
        is_lapsing || is_settling
    }

    /// Notes that witnesses have told all that they found out about the worker of a probe.
    pub fn question_closed(&mut self, order: &PollOrder) {
        if let Some(worker) = self.workers.get_mut(order.to.worker) {
            worker.is_questioned = false;
        }
    }

    /// Notes that a poll is sent.
    pub fn poll_opened(&mut self, order: &PollOrder) {
        if let Some(worker) = self.workers.get_mut(order.to.worker) {
            worker.open_polls.push(OpenPoll {
                sequence: order.sequence,
                sent: order.sent,
            });
        }
    }

    /// Notes that the poll of this number is answered, or can't be any more.
    pub fn poll_closed(&mut self, key: WorkerKey, sequence: Sequence) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.open_polls.retain(|poll| poll.sequence != sequence);
        }
    }

    /// Returns the evidence that a worker is cut off or lost since `end`, when everything that may have
    /// run there was over; none if there is none.  It counts for nothing while a question, or a poll that
    /// was sent before, may still be answered: the worker may have told an end in that answer.
    pub(super) fn silence_evidence(&self, worker: &Worker, end: Millis) -> Option<SilenceEvidence> {
        let evidence = self.found_evidence(worker, end)?;
        let gone_at = worker.unlisted_since.unwrap_or_default().max(end);
        let was_sent_before = |poll: &OpenPoll| match evidence {
            SilenceEvidence::Witness => poll.sequence < worker.unreached_noted,
            SilenceEvidence::EntryGone => poll.sent <= gone_at,
        };
        let may_be_answered = worker.is_questioned || worker.open_polls.iter().any(was_sent_before);
        (!may_be_answered).then_some(evidence)
    }

    /// Returns the evidence that was found so far, also while a poll or a question is open.
    pub(super) fn found_evidence(&self, worker: &Worker, end: Millis) -> Option<SilenceEvidence> {
        if worker.unreached_at.is_some_and(|at| at > end) {
            return Some(SilenceEvidence::Witness);
        }
        self.is_entry_gone(worker)
            .then_some(SilenceEvidence::EntryGone)
    }

    /// Returns whether the platform takes a worker as gone.
    pub(super) fn is_entry_gone(&self, worker: &Worker) -> bool {
        let missing = worker.unlisted_since.filter(|_| !worker.entry_outdated);
        missing.is_some_and(|since| self.entry_reads.prove_gone(since))
    }

    /// Notes that another life has answered the probe of a witness at its address.  That counts for
    /// nothing if the worker was heard since the probe was prepared, or is called at another address.
    pub fn witness_found_other_life(&mut self, order: &PollOrder, now: Millis) {
        let worker = self.workers.get(order.to.worker);
        let is_present = worker.is_some_and(|worker| {
            worker.last_answer < order.sequence && worker.entry.address == order.to.address
        });
        if is_present {
            let failure = PollFailure::Refused(Refusal::Gone);
            self.poll_failed(order.to.worker, failure, now);
        }
    }

    /// Processes the answer of a worker to the probe of a witness.
    ///
    /// The worker stays silent if it is: this owner's own calls do not reach it, so nothing is placed
    /// there and no lease is renewed.
    pub fn witness_heard(&mut self, order: &PollOrder, report: &PollReport, now: Millis) {
        self.question_closed(order);
        let worker = self.workers.get(order.to.worker);
        if let Some(worker) = worker.filter(|worker| worker.has_uncertain_life()) {
            self.counts.heard_by_witness += 1;
            tracing::info!(
                worker = %worker.entry.life,
                heard_ms_ago = now.saturating_sub(worker.last_heard),
                running = report.running.len(),
                ended = report.ended.len(),
                "a witness hears a worker that this node does not hear"
            );
        }
        self.process_answer(order, report, HeardBy::Witness, now);
    }
}
