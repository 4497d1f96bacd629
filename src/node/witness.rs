//! Witnesses: nodes that ask workers on behalf of an owner that does not hear them.
//!
//! An owner whose link is full hears no worker although they answer.  Whether a worker is cut off or
//! lost, other nodes can tell ("Silence" in `docs/DESIGN.md`).  That a witness does not hear a worker
//! counts only if it has heard another one meanwhile.  The call is carried like one to the store, as
//! JSON: a node that does not know it answers that it is unavailable, and has asked nobody.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::cell::WorkerKey;
use crate::cell::life::Life;
use crate::cell::order::{Addressee, PollFailure, PollOrder, PollReport, Refusal};
use crate::cell::sequence::Sequence;
use crate::cell::tuning;
use crate::node::links::Workers;
use crate::node::shared::Shared;
use crate::rpc::node::NodeReply;
use crate::timeout;

/// The most addresses that one call names: up to two of each worker.
pub const MAX_PROBES: usize = 2 * tuning::MAX_SILENCE_QUESTIONS + tuning::MAX_CONTROL_WORKERS;
/// The most calls that a witness carries out at a time; it polls up to [`MAX_PROBES`] workers for each.
pub const MAX_PROBE_CALLS: usize = 16;
/// How often a worker that does not answer is asked: one answer may be lost.
const ATTEMPTS: usize = 2;
/// How long a worker may take, as a multiple of the limit of calls to workers: so long for a connection,
/// and as long for the answer.
const ANSWER_LIMITS: u32 = 2;
/// How many workers that have answered are asked again beside those that have not.
const MAX_CONTROLS: usize = tuning::MAX_CONTROL_WORKERS;
/// The most bytes of an answer to an owner.  A worker whose list does not fit is asked again.
const MAX_REPLY_BYTES: usize = 256 * 1_024;

/// A call of an owner to a witness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeCall {
    /// The workers that are to be asked.
    pub probes: Vec<Probe>,
}

/// A worker that a witness is to ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The life that is meant.
    pub life: Life,
    /// The address at which it answers.
    pub address: SocketAddr,
    /// The epoch under which the owner addresses it.
    pub epoch: u64,
}

impl Probe {
    /// Describes the worker of a poll.
    pub fn of(order: &PollOrder) -> Self {
        Self {
            life: order.to.life.clone(),
            address: order.to.address,
            epoch: order.to.epoch,
        }
    }

    /// Builds a poll that renews no lease, forgets nothing and does not wait.
    fn poll(&self) -> PollOrder {
        PollOrder {
            to: Addressee {
                worker: WorkerKey::default(),
                life: self.life.clone(),
                address: self.address,
                epoch: self.epoch,
            },
            sequence: Sequence::default(),
            sent: 0,
            forget: 0,
            due: None,
            wait: 0,
        }
    }
}

/// What a witness has found out about a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// Nothing: the witness has not asked it, or has heard no worker at all meanwhile.
    Unknown,
    /// It does not answer, though others do.
    Unreached,
    /// Another life of a worker answers at its address.
    OtherLife,
    /// It has answered.
    Heard(PollReport),
}

/// Carries out the call of an owner.
pub async fn serve(shared: &Arc<Shared>, call: &ProbeCall) -> NodeReply {
    let Ok(_permit) = shared.probe_calls.try_acquire() else {
        return NodeReply::Unavailable;
    };
    if call.probes.len() > MAX_PROBES {
        tracing::warn!(probes = call.probes.len(), "too many workers to ask");
        return NodeReply::Unavailable;
    }
    let findings = ask(&*shared.workers, &call.probes).await;
    encode(findings).map_or(NodeReply::Unavailable, NodeReply::Relayed)
}

/// Asks the workers side by side; those that do not answer are asked again.
pub async fn ask(workers: &dyn Workers, probes: &[Probe]) -> Vec<Finding> {
    let mut findings: Vec<Finding> = vec![Finding::Unreached; probes.len()];
    for _ in 0..ATTEMPTS {
        let places = next_places(&findings);
        let polls = places.iter().map(|&place| poll(workers, &probes[place]));
        let answers = future::join_all(polls).await;
        let can_hear = answers
            .iter()
            .any(|answer| matches!(answer, Finding::Heard(_)));
        for (&place, answer) in places.iter().zip(answers) {
            let is_heard = matches!(findings[place], Finding::Heard(_));
            match answer {
                // What a worker has told is not lost because its next answer is late.
                Finding::Unknown if is_heard => {}
                Finding::Unreached if is_heard || can_hear => {}
                Finding::Unreached => findings[place] = Finding::Unknown,
                _ => findings[place] = answer,
            }
        }
    }
    findings
}

/// The places of the workers that are asked next: those that have not answered, and some that have,
/// whose answers show that this node can hear.
fn next_places(findings: &[Finding]) -> Vec<usize> {
    let is_heard = |place: &usize| matches!(findings[*place], Finding::Heard(_));
    let is_open = |place: &usize| findings[*place] == Finding::Unreached;
    let open: Vec<usize> = (0..findings.len()).filter(is_open).collect();
    if open.is_empty() {
        return open;
    }
    let controls = (0..findings.len()).filter(is_heard).take(MAX_CONTROLS);
    open.iter().copied().chain(controls).collect()
}

async fn poll(workers: &dyn Workers, probe: &Probe) -> Finding {
    let order = probe.poll();
    let deadline = Instant::now() + ANSWER_LIMITS * workers.answer_timeout();
    let Some(answer) = timeout::wait_until(deadline, workers.poll(&order)).await else {
        // The worker may have answered, and told an end: its connection is still open.
        return Finding::Unknown;
    };
    match answer {
        Ok(report) => Finding::Heard(report),
        Err(PollFailure::Unanswered | PollFailure::Refused(Refusal::NotSent)) => Finding::Unreached,
        // It says that it has done nothing, so it has told nothing either.
        Err(PollFailure::Refused(Refusal::Unhealthy)) => Finding::Unreached,
        Err(PollFailure::Refused(Refusal::Gone)) => Finding::OtherLife,
        Err(PollFailure::Refused(_)) => Finding::Unknown,
    }
}

/// Encodes findings.  Reports beyond [`MAX_REPLY_BYTES`] are left out.
pub fn encode(mut findings: Vec<Finding>) -> Option<Vec<u8>> {
    let mut bytes = 0;
    for finding in &mut findings {
        let encoded = serde_json::to_vec(finding).ok()?;
        if bytes + encoded.len() > MAX_REPLY_BYTES {
            *finding = Finding::Unknown;
        } else {
            bytes += encoded.len();
        }
    }
    serde_json::to_vec(&findings).ok()
}

/// Decodes the findings of a witness on `probes` workers; none if they can't be used.
pub fn decode(body: &[u8], probes: usize) -> Option<Vec<Finding>> {
    let findings: Vec<Finding> = serde_json::from_slice(body).ok()?;
    (findings.len() == probes).then_some(findings)
}
