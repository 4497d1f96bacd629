//! The owner's questions to witnesses about workers that it does not hear.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures::StreamExt;
use futures::stream::FuturesUnordered;

use crate::cell::order::PollOrder;
use crate::clock::Millis;
use crate::node::engine::Engine;
use crate::node::witness::{self, Finding, Probe, ProbeCall};
use crate::rpc::PeerError;
use crate::rpc::node::{NodeCall, NodeReply};
use crate::store;

/// The most questions that are open at a time, each about up to
/// [`MAX_SILENCE_QUESTIONS`](crate::cell::tuning::MAX_SILENCE_QUESTIONS) workers.
pub(super) const MAX_QUESTIONS: usize = 8;
/// How many witnesses are asked each question.
const WITNESSES: usize = 2;
/// Only nodes that were heard within this time, in milliseconds, are asked.
const WITNESS_HEARD_WITHIN: Millis = 1_000;
/// Time limit of a question, in milliseconds: two polls at the witness, 0.25 to 2 s each, and 0.5 s on
/// the way.
const QUESTION_TIMEOUT: Millis = 4_500;

/// What a witness has answered.
enum Answer {
    /// Its findings, one for each worker.
    Findings(Vec<Finding>),
    /// It has asked no worker: it was not reached, has too much to do, or does not know the call.
    NotAsked,
    /// It may have asked workers, and what they answered is lost.
    Lost,
}

impl Engine {
    /// Asks witnesses about silent workers, if that is due.
    pub(super) fn ask_witnesses(self: &Arc<Self>, now: Millis) {
        let Ok(permit) = Arc::clone(&self.questions).try_acquire_owned() else {
            return;
        };
        let mut witnesses = self.shared.members().witnesses(now, WITNESS_HEARD_WITHIN);
        if witnesses.is_empty() {
            return;
        }
        // If the strongest ones don't help, others are asked.
        let first = self.vain_questions.load(Ordering::Relaxed) * WITNESSES % witnesses.len();
        witnesses.rotate_left(first);
        witnesses.truncate(WITNESSES);
        let orders = {
            let mut cell = self.cell();
            let mut orders = cell.take_silence_questions(now);
            if orders.is_empty() {
                return;
            }
            orders.extend(cell.control_probes(now));
            orders
        };
        let engine = Arc::clone(self);
        self.spawn(async move {
            let _permit = permit;
            engine.question(&witnesses, &orders).await;
        });
    }

    /// Asks these witnesses about the workers of `orders`, and passes what they have found to the core.
    async fn question(&self, witnesses: &[SocketAddr], orders: &[PollOrder]) {
        let probes = orders.iter().map(Probe::of).collect();
        let body = store::encode(&ProbeCall { probes }).into_bytes();
        let calls = witnesses.iter();
        let mut calls: FuturesUnordered<_> = calls
            .map(|&address| self.ask_witness(address, body.clone(), orders.len()))
            .collect();
        let mut unreached = Unreached::new(orders.len());
        while let Some(answer) = calls.next().await {
            unreached.apply(&answer);
            if let Answer::Findings(findings) = answer {
                self.take_findings(orders, &findings);
            }
        }
        let mut cell = self.cell();
        orders.iter().for_each(|order| cell.question_closed(order));
        for place in unreached.places() {
            cell.note_unreached(&orders[place]);
        }
        drop(cell);
        if unreached.is_in_vain() {
            self.vain_questions.fetch_add(1, Ordering::Relaxed);
        }
        self.record.notify_one();
        self.wake.notify_one();
    }

    async fn ask_witness(&self, address: SocketAddr, body: Vec<u8>, probes: usize) -> Answer {
        let call = NodeCall::Relay(body);
        match self
            .shared
            .peers
            .call(address, call, QUESTION_TIMEOUT)
            .await
        {
            Ok(NodeReply::Relayed(body)) => {
                witness::decode(&body, probes).map_or(Answer::Lost, Answer::Findings)
            }
            Ok(_) | Err(PeerError::NotSent) => Answer::NotAsked,
            Err(err) => {
                tracing::debug!(%err, %address, "a witness does not answer");
                self.shared.metrics.retry("witness_unanswered");
                Answer::Lost
            }
        }
    }

    /// Passes on the answers of workers that a witness has heard.
    fn take_findings(&self, orders: &[PollOrder], findings: &[Finding]) {
        let now = self.shared.now();
        let mut cell = self.cell();
        for (order, finding) in orders.iter().zip(findings) {
            match finding {
                Finding::Heard(report) => cell.witness_heard(order, report, now),
                Finding::OtherLife => cell.witness_found_other_life(order, now),
                Finding::Unknown | Finding::Unreached => {}
            }
        }
    }
}

/// The workers that no witness has reached.
///
/// All witnesses that have asked workers must say so: one whose answer is lost may have been told an
/// end.
struct Unreached {
    /// For each worker, whether each finding so far is that it does not answer.
    agreed: Vec<bool>,
    /// For each worker, whether a witness has heard it.
    heard: Vec<bool>,
    findings: usize,
    is_lost: bool,
}

impl Unreached {
    fn new(workers: usize) -> Self {
        Self {
            agreed: vec![true; workers],
            heard: vec![false; workers],
            findings: 0,
            is_lost: false,
        }
    }

    fn apply(&mut self, answer: &Answer) {
        match answer {
            Answer::NotAsked => {}
            Answer::Lost => self.is_lost = true,
            Answer::Findings(findings) => {
                self.findings += 1;
                for (place, finding) in findings.iter().enumerate() {
                    self.agreed[place] &= *finding == Finding::Unreached;
                    self.heard[place] |= matches!(finding, Finding::Heard(_) | Finding::OtherLife);
                }
            }
        }
    }

    /// The places of the workers that are unreached.
    fn places(&self) -> Vec<usize> {
        if self.is_lost || self.findings == 0 {
            return Vec::new();
        }
        let places = 0..self.agreed.len();
        places.filter(|&place| self.agreed[place]).collect()
    }

    /// Returns whether nothing is known of some worker.
    fn is_in_vain(&self) -> bool {
        let is_valid = self.findings > 0 && !self.is_lost;
        let is_decided = |place: usize| self.heard[place] || (is_valid && self.agreed[place]);
        !(0..self.agreed.len()).all(is_decided)
    }
}
