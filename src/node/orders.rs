//! Carries out the core's orders (starts, stops, advice questions), and polls the workers.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::pin::Pin;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use futures::future;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::cell::WorkerKey;
use crate::cell::order::{
    AdviceOrder, Order, PollFailure, PollOrder, PollReport, Refusal, StartOrder, StartOutcome,
    StopOrder,
};
use crate::cell::sequence::Sequence;
use crate::clock::Millis;
use crate::node::call_times::CallKind;
use crate::node::engine::Engine;
use crate::node::link_load::{self, Call, Ending, Peer};
use crate::node::links::Tickets;
use crate::node::probes;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::timeout;

/// How often it is checked whether an owner that may not give orders may do so again.
const STANDBY_PAUSE: Duration = Duration::from_millis(250);
/// How long a worker's next poll is put off at most while its ends wait to be recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause between two polls of a worker that lists held ends, whose jobs are not read yet.  Such
/// a poll returns at once, without waiting for further ends.  Urgent jobs have 0.9 s to spare.
const HELD_ENDS_PAUSE: Duration = Duration::from_millis(100);
/// Minimum pause between two polls of a worker, so that ends in quick succession cost one poll.
const POLL_PAUSE: Duration = Duration::from_millis(15);
/// Maximum time for which a poll from a worker's loop waits for an end.  It is above
/// `tuning::MAX_POLL_WAIT`, so that the core alone decides how long the poll waits.
const POLL_WAIT_LIMIT: Duration = Duration::from_secs(2);
/// How many polls of a worker are awaited after their time limit.  Of the three connections to it one is
/// left for the next poll.
const MAX_LATE_POLLS: usize = 2;
/// How much longer than expected an advice question may take, also through a peer, in
/// milliseconds.
const ADVICE_SLACK: Millis = 500;

/// The outcome of a poll.
enum PollResult {
    Answered,
    Failed,
    /// The core no longer knows the worker.
    Gone,
}

/// The number of late polls by worker, each with what tells that one is answered.
pub(super) type LatePolls = HashMap<WorkerKey, (usize, Arc<Notify>)>;
/// A poll whose answer is awaited, with its order.
type PendingPoll =
    Pin<Box<dyn Future<Output = (PollOrder, Result<PollReport, PollFailure>)> + Send>>;

impl Engine {
    pub(super) async fn execute(self: Arc<Self>, order: Order) {
        match order {
            Order::Start(order) => self.start_run(order).await,
            Order::Stop(order) => self.stop_run(order).await,
            Order::Advise(order) => self.advise(order).await,
        }
    }

    /// Notes a call to a worker that took `took` milliseconds, of which the worker may have held the
    /// answer back for `wait`: for the log, and as evidence about the own link.
    fn note_call(
        &self,
        (kind, worker): (CallKind, WorkerKey),
        took: Millis,
        wait: Millis,
        is_answered: bool,
        refusal: Option<Refusal>,
    ) {
        self.calls
            .note(kind, is_answered.then_some(took.saturating_sub(wait)));
        let ending = match refusal {
            Some(Refusal::Busy) => Ending::NotMade,
            // Without a connection for so long, it is not a port that nobody listens at.
            Some(Refusal::NotSent) if took > link_load::LATE_AFTER => Ending::Unanswered,
            Some(Refusal::NotSent) => Ending::NotMade,
            _ if is_answered => Ending::Answered,
            _ => Ending::Unanswered,
        };
        let call = Call { took, wait, ending };
        self.shared.load.note_call(Peer::Worker(worker), call);
    }

    async fn start_run(&self, order: StartOrder) {
        let sent = self.shared.now();
        let (outcome, clock) = self.shared.workers.start(&order).await;
        let now = self.shared.now();
        let is_answered = outcome != StartOutcome::Unanswered;
        let refusal = match outcome {
            StartOutcome::Refused(refusal) => Some(refusal),
            _ => None,
        };
        let call = (CallKind::Start, order.to.worker);
        self.note_call(call, now - sent, 0, is_answered, refusal);
        if let StartOutcome::Refused(refusal) = outcome {
            self.shared.metrics.refusal(refusal.code());
        }
        let has_room = {
            let mut cell = self.cell();
            cell.start_answered(order.run, outcome, clock, now);
            cell.has_room_for_held_starts()
        };
        if has_room || outcome != StartOutcome::Started {
            self.wake.notify_one();
        }
    }

    async fn stop_run(self: Arc<Self>, order: StopOrder) {
        let sent = self.shared.now();
        let answer = self.shared.workers.stop(&order).await;
        let now = self.shared.now();
        let is_answered = answer != Err(None);
        let refusal = answer.err().flatten();
        let call = (CallKind::Stop, order.to.worker);
        self.note_call(call, now - sent, 0, is_answered, refusal);
        match (answer, order.run) {
            (Ok(()), Some(run)) => {
                self.cell().stop_confirmed(run);
                let is_doubtful = self.cell().is_doubtful(run);
                if is_doubtful {
                    // Poll now to find out whether the run has started: the poll of the worker's
                    // own loop may be waiting for an end.
                    self.poll_worker(order.to.worker, Duration::ZERO).await;
                }
            }
            (Ok(()), None) => {}
            (Err(Some(Refusal::Gone)), _) => {
                self.cell()
                    .poll_failed(order.to.worker, PollFailure::Refused(Refusal::Gone), now);
                self.wake.notify_one();
            }
            (Err(refusal), _) => {
                let reason = refusal.map_or("stop_unanswered", Refusal::code);
                self.shared.metrics.retry(reason);
            }
        }
    }

    async fn advise(&self, order: AdviceOrder) {
        let asked = self.shared.now();
        let tickets = self.ask_lane(&order).await;
        let took = self.shared.now().saturating_sub(asked);
        self.shared.metrics.wait("advice", took);
        if tickets.is_none() {
            self.shared.metrics.retry("advice_failed");
        }
        let now = self.shared.now();
        self.cell().advice_answered(&order, tickets, now);
        self.wake.notify_one();
    }

    async fn ask_lane(&self, order: &AdviceOrder) -> Option<Tickets> {
        let step = order.name.to_string();
        let workers: Vec<String> = order.workers.iter().map(|(_, id)| id.clone()).collect();
        let limit = order.expected + ADVICE_SLACK;
        let Some(address) = self.lane_member(order.lane) else {
            let advisor = self.shared.advisor.as_ref()?;
            let answer = advisor.advise(&step, &workers);
            return tokio::time::timeout(Duration::from_millis(limit), answer)
                .await
                .ok()
                .flatten();
        };
        let call = NodeCall::Advise { step, workers };
        match self.shared.peers.call(address, call, limit).await {
            Ok(NodeReply::Tickets(tickets)) => Some(tickets),
            _ => None,
        }
    }

    /// Polls one worker repeatedly until it is gone or the ownership ends.
    pub(super) async fn poll_loop(self: Arc<Self>, key: WorkerKey) {
        let mut failures = 0;
        loop {
            if !self.is_active() {
                tokio::time::sleep(STANDBY_PAUSE).await;
                continue;
            }
            if self.cell().is_parked(key) {
                self.wait_until_unparked(key).await;
            }
            let probe = match failures {
                0 => None,
                _ => self.probes.acquire().await,
            };
            let result = self.poll_worker(key, POLL_WAIT_LIMIT).await;
            drop(probe);
            match result {
                PollResult::Gone => {
                    // Another life may have taken its place, which needs a poll loop of its own.
                    self.poll_new_workers();
                    return;
                }
                PollResult::Answered => {
                    failures = 0;
                    self.pause_after_poll(key).await;
                }
                PollResult::Failed => {
                    failures += 1;
                    self.pause_after_failure(key, failures).await;
                    if !self.cell().is_silent(key) {
                        failures = 0;
                    }
                }
            }
        }
    }

    /// Polls a worker once.  The poll may wait for an end, but no longer than `max_wait`.
    async fn poll_worker(self: &Arc<Self>, key: WorkerKey, max_wait: Duration) -> PollResult {
        let Some(mut order) = self.open_poll(key) else {
            return PollResult::Gone;
        };
        order.wait = order.wait.min(max_wait.as_millis() as Millis);
        let (to, sequence) = (order.to.clone(), order.sequence);
        let (sent, wait) = (order.sent, order.wait);
        let limit = self.shared.workers.answer_timeout() + Duration::from_millis(wait);
        let deadline = Instant::now() + limit;
        let mut poll = self.send_poll(order);
        let answer = timeout::wait_until(deadline, &mut poll).await;
        let took = self.shared.now().saturating_sub(sent);
        let Some((order, answer)) = answer else {
            self.shared.workers.note_late(&to);
            self.note_call((CallKind::Poll, key), took, wait, false, None);
            self.poll_failed(key, PollFailure::Unanswered);
            self.await_late_answer(key, sequence, poll);
            return PollResult::Failed;
        };
        let is_answered = !matches!(answer, Err(PollFailure::Unanswered));
        let refusal = match answer {
            Err(PollFailure::Refused(refusal)) => Some(refusal),
            _ => None,
        };
        self.note_call((CallKind::Poll, key), took, wait, is_answered, refusal);
        let result = match answer {
            Ok(report) => {
                self.poll_answered(&order, &report);
                if max_wait.is_zero() {
                    self.wake.notify_one();
                }
                PollResult::Answered
            }
            Err(failure) => {
                self.poll_failed(key, failure);
                PollResult::Failed
            }
        };
        // Only now: what the answer tells must be known before the poll counts as closed.
        self.close_poll(key, sequence);
        result
    }

    /// Prepares a poll, which counts as open until [`Engine::close_poll`].
    fn open_poll(&self, key: WorkerKey) -> Option<PollOrder> {
        let mut cell = self.cell();
        let order = cell.poll_order(key, self.shared.now())?;
        cell.poll_opened(&order);
        Some(order)
    }

    fn close_poll(&self, key: WorkerKey, sequence: Sequence) {
        self.cell().poll_closed(key, sequence);
    }

    fn send_poll(&self, order: PollOrder) -> PendingPoll {
        let workers = Arc::clone(&self.shared.workers);
        Box::pin(async move {
            let answer = workers.poll(&order).await;
            (order, answer)
        })
    }

    fn poll_answered(&self, order: &PollOrder, report: &PollReport) {
        let has_news = !report.ended.is_empty() || order.due.is_none();
        self.cell().poll_answered(order, report, self.shared.now());
        if has_news {
            self.record.notify_one();
            self.wake.notify_one();
        }
    }

    fn poll_failed(&self, key: WorkerKey, failure: PollFailure) {
        self.cell().poll_failed(key, failure, self.shared.now());
        if failure == PollFailure::Refused(Refusal::Epoch) {
            self.shared.metrics.refusal(Refusal::Epoch.code());
        }
        self.wake.notify_one();
    }

    /// Takes in the answer to a poll that is late: the worker has told the ends in it, and on a full
    /// link each further answer is as late.  [`MAX_LATE_POLLS`] of a worker are awaited at a time, since
    /// each holds a connection.
    fn await_late_answer(self: &Arc<Self>, key: WorkerKey, sequence: Sequence, poll: PendingPoll) {
        let Some(answered) = self.add_late_poll(key) else {
            self.close_poll(key, sequence);
            return;
        };
        let engine = Arc::clone(self);
        self.spawn(async move {
            let (order, answer) = poll.await;
            engine.remove_late_poll(key);
            if let Ok(report) = answer {
                engine.shared.metrics.event("late_answer");
                let took = engine.shared.now().saturating_sub(order.sent);
                engine.note_call((CallKind::Poll, key), took, order.wait, true, None);
                engine.poll_answered(&order, &report);
                answered.notify_one();
            }
            engine.close_poll(key, sequence);
            engine.wake.notify_one();
        });
    }

    /// Adds a late poll of a worker, and returns what tells that such a poll is answered; none if there
    /// are too many.
    fn add_late_poll(&self, key: WorkerKey) -> Option<Arc<Notify>> {
        let mut late_polls = self.late_polls();
        let (count, answered) = late_polls.entry(key).or_default();
        if *count >= MAX_LATE_POLLS {
            return None;
        }
        *count += 1;
        Some(Arc::clone(answered))
    }

    fn remove_late_poll(&self, key: WorkerKey) {
        let mut late_polls = self.late_polls();
        if let Entry::Occupied(mut entry) = late_polls.entry(key) {
            entry.get_mut().0 -= 1;
            if entry.get().0 == 0 {
                entry.remove();
            }
        }
    }

    /// Pauses after a failed poll, the last of so many in a row.  A late answer ends the pause: the
    /// lease of a worker that answers should be renewed.
    async fn pause_after_failure(&self, key: WorkerKey, failures: u32) {
        let late_poll = self.late_polls().get(&key).cloned();
        let answered = late_poll.map(|(_, answered)| answered);
        let late_answer = async {
            match answered {
                Some(answered) => answered.notified().await,
                None => future::pending().await,
            }
        };
        let pause = probes::pause_after(failures, key);
        // Either way it is time for the next poll.
        let _ = tokio::time::timeout(pause, late_answer).await;
    }

    fn late_polls(&self) -> MutexGuard<'_, LatePolls> {
        self.late_polls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Pauses before the next poll of a worker.  Waits until its ends are recorded, since the
    /// worker would list them again at once otherwise.
    async fn pause_after_poll(&self, key: WorkerKey) {
        tokio::time::sleep(POLL_PAUSE).await;
        let recorded = async {
            loop {
                let recorded = self.recorded.notified();
                if !self.cell().has_ends_to_record(key) {
                    return;
                }
                recorded.await;
            }
        };
        // The worker is polled all the same if the store is unavailable.
        let _ = tokio::time::timeout(RECORD_TIMEOUT, recorded).await;
        if self.cell().holds_ends(key) {
            tokio::time::sleep(HELD_ENDS_PAUSE).await;
        }
    }
}
