//! Accepting, showing and cancelling jobs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future;
use tokio::sync::oneshot;

use crate::backend::VmRole;
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::model::{Dimension, JobSpec, Resources};
use crate::placement::Part;
use crate::placement::intake::IntakeError;
use crate::placement::part::ENDED_PREFIX;
use crate::placement::ranges::Ranges;
use crate::placement::view::{self, JobView};
use crate::routing::Refusal;
use crate::rpc::PeerError;
use crate::rpc::message::{Cancelled, PeerCall, PeerReply, Submitted};

/// How long an acceptance may take, in milliseconds.
const ACCEPT_TIMEOUT: Millis = 5_000;
/// How long another instance may take to show or cancel a job.
const PEER_TIMEOUT: Millis = 1_500;
/// How long a cancellation waits to be recorded, in milliseconds.
const RECORD_TIMEOUT: Millis = 1_000;
/// How often it looks.
const RECORD_LOOK: Duration = Duration::from_millis(20);
/// When to come back after a refusal for want of the store or of workers.
const COME_BACK: Millis = 2_000;

/// Why a job was refused, with what the caller needs to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobAnswer {
    /// The job is durably accepted under this id.
    Accepted(String),
    /// The job was not accepted.
    Refused {
        /// Why.
        reason: Refusal,
        /// The dimension that no VM offers, if that is why.
        dimension: Option<Dimension>,
        /// When coming back may help, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The job may or may not have been accepted.
    Unknown,
}

impl JobAnswer {
    fn refused(reason: Refusal, retry_after_ms: Option<u64>) -> Self {
        JobAnswer::Refused {
            reason,
            dimension: None,
            retry_after_ms,
        }
    }
}

impl Instance {
    /// Accepts a job here or at the instance with the most room.
    pub async fn submit(&self, spec: JobSpec) -> JobAnswer {
        if let Some(refusal) = self.refuse_job(&spec) {
            return refusal;
        }
        let id = format!("{}.{}", spec.team, spec.name);
        let answer = match self.best_acceptor(&spec.resources) {
            Acceptor::Here => self.accept_here(&id, spec).await,
            Acceptor::Peer(addr) => match self.accept_there(addr, &id, spec.clone()).await {
                // It was not asked, so it may as well be accepted here.
                None => self.accept_here(&id, spec).await,
                Some(submitted) => submitted,
            },
            Acceptor::Nobody => return JobAnswer::refused(Refusal::NoCapacity, Some(COME_BACK)),
        };
        match answer {
            Submitted::Accepted => JobAnswer::Accepted(id),
            Submitted::Refused {
                reason,
                retry_after_ms,
            } => JobAnswer::refused(reason, retry_after_ms),
            Submitted::Unknown => JobAnswer::Unknown,
        }
    }

    fn refuse_job(&self, spec: &JobSpec) -> Option<JobAnswer> {
        let now = self.now();
        let state = self.lock();
        if self.is_draining() {
            return Some(JobAnswer::refused(Refusal::Draining, Some(COME_BACK)));
        }
        if !self.is_fresh(&state, now) {
            return Some(JobAnswer::refused(
                Refusal::StaleConfiguration,
                Some(COME_BACK),
            ));
        }
        if !state.configuration.bundle().admits(&spec.team) {
            return Some(JobAnswer::refused(Refusal::UnknownTeam, None));
        }
        let dimension = misfit(&state, &spec.resources)?;
        Some(JobAnswer::Refused {
            reason: Refusal::NeverFits,
            dimension: Some(dimension),
            retry_after_ms: None,
        })
    }

    fn best_acceptor(&self, need: &Resources) -> Acceptor {
        let now = self.now();
        let state = self.lock();
        let (free, capacity) = state.cell.room();
        let owns = capacity.millicores > 0;
        if owns && free.millicores >= need.millicores && free.memory_mib >= need.memory_mib {
            return Acceptor::Here;
        }
        let owners = state
            .members
            .alive(now)
            .filter(|(_, _, beat)| beat.owns_workers);
        let roomiest = owners.max_by_key(|(_, _, beat)| beat.free_millicores);
        match roomiest {
            Some((_, peer, beat)) if !owns || beat.free_millicores >= need.millicores => {
                Acceptor::Peer(peer.rpc)
            }
            _ if owns => Acceptor::Here,
            _ => Acceptor::Nobody,
        }
    }

    async fn accept_there(&self, addr: SocketAddr, id: &str, spec: JobSpec) -> Option<Submitted> {
        let call = PeerCall::Submit {
            job: id.to_owned(),
            spec,
        };
        match self.peers.call(addr, call, ACCEPT_TIMEOUT).await {
            Ok(PeerReply::Submitted(submitted)) => Some(submitted),
            Err(PeerError::NotSent) => None,
            _ => Some(Submitted::Unknown),
        }
    }

    /// Accepts a job here, and answers when its record is durable.
    pub async fn accept_here(&self, id: &str, spec: JobSpec) -> Submitted {
        let Some(ordering) = self.order_job(&spec) else {
            return Submitted::refused(Refusal::BadConfiguration, None);
        };
        let claim = self.draw();
        let rx = {
            let now = self.now();
            let mut state = self.lock();
            match state.cell.submit(id, spec, ordering, claim, now) {
                Ok(_) => {}
                Err(IntakeError::Exists) => return Submitted::refused(Refusal::JobExists, None),
                Err(IntakeError::NoShard) => {
                    return Submitted::refused(Refusal::NoCapacity, Some(COME_BACK));
                }
            }
            let (tx, rx) = oneshot::channel();
            state.submissions.entry(id.to_owned()).or_default().push(tx);
            rx
        };
        self.plan();
        let wait = Duration::from_millis(ACCEPT_TIMEOUT / 2);
        match tokio::time::timeout(wait, rx).await {
            Ok(Ok(submitted)) => submitted,
            _ => self.give_up(id),
        }
    }

    /// Withdraws a job that has never been sent to the store; else its fate is open.
    fn give_up(&self, id: &str) -> Submitted {
        let mut state = self.lock();
        state.submissions.remove(id);
        if state.cell.write_attempted(id) {
            return Submitted::Unknown;
        }
        state.cell.withdraw(id);
        Submitted::refused(Refusal::StoreUnavailable, Some(COME_BACK))
    }

    /// Shows how a job stands, here and everywhere.
    pub async fn view_job(&self, id: &str) -> Option<JobView> {
        let call = PeerCall::ViewJob(id.to_owned());
        let replies = self.ask_all(self.heard_peers(), &call, PEER_TIMEOUT).await;
        let mut views: Vec<JobView> = replies
            .into_iter()
            .filter_map(|reply| match reply {
                Ok(PeerReply::Job(view)) => view,
                _ => None,
            })
            .collect();
        views.extend(self.lock().cell.view(id));
        views.extend(self.ended_views(id).await);
        views.into_iter().reduce(merge)
    }

    async fn ended_views(&self, id: &str) -> Vec<JobView> {
        let prefix = format!("{ENDED_PREFIX}{id}/");
        let rows = self.platform.store.scan(prefix).await.unwrap_or_default();
        let parts = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<Part>(&row.value).ok());
        parts.map(|part| view_of_ended(&part)).collect()
    }

    /// Cancels a job wherever its tasks are.
    pub async fn cancel(&self, id: &str) -> Cancelled {
        let call = PeerCall::CancelJob(id.to_owned());
        let elsewhere = self.ask_all(self.heard_peers(), &call, PEER_TIMEOUT);
        let (here, replies) = future::join(self.cancel_here(id), elsewhere).await;
        let there = replies.into_iter().map(|reply| match reply {
            Ok(PeerReply::Cancelled(cancelled)) => cancelled,
            // One that did not answer may have tasks of the job.
            _ => Cancelled {
                found: false,
                recorded: false,
            },
        });
        there.fold(here, |all, one| Cancelled {
            found: all.found || one.found,
            recorded: all.recorded && one.recorded,
        })
    }

    /// Cancels what this instance has of a job, and waits until that is recorded.
    pub async fn cancel_here(&self, id: &str) -> Cancelled {
        let now = self.now();
        let found = {
            let mut state = self.lock();
            let found = state.cell.cancel(id, now);
            self.publish(&mut state);
            found
        };
        if !found {
            return Cancelled {
                found,
                recorded: true,
            };
        }
        self.wake_records.notify_one();
        self.wake_workers.notify_one();
        Cancelled {
            found,
            recorded: self.recorded(id, now + RECORD_TIMEOUT).await,
        }
    }

    /// Waits until no change of a job is unrecorded, until `deadline` at most.
    async fn recorded(&self, id: &str, deadline: Millis) -> bool {
        while self.now() < deadline {
            {
                let state = self.lock();
                if !state.cell.has_writes_of(id) && !state.writer.holds(id) {
                    return true;
                }
            }
            tokio::time::sleep(RECORD_LOOK).await;
        }
        false
    }
}

enum Acceptor {
    Here,
    Peer(SocketAddr),
    Nobody,
}

/// Returns the dimension in which no listed worker could ever hold `need`.
fn misfit(state: &State, need: &Resources) -> Option<Dimension> {
    let mut closest = None;
    let mut any = false;
    for vm in &state.vms {
        if let VmRole::Worker { capacity } = vm.role {
            any = true;
            match need.first_misfit(&capacity) {
                None => return None,
                Some(dimension) => closest = Some(dimension),
            }
        }
    }
    closest.filter(|_| any)
}

fn view_of_ended(part: &Part) -> JobView {
    let mut counts = BTreeMap::new();
    let mut count = |label: &str, indexes: &Ranges| {
        if !indexes.is_empty() {
            counts.insert(label.to_owned(), indexes.len());
        }
    };
    count("succeeded", &part.succeeded);
    count("failed", &part.failed);
    count("cancelled", &part.cancelled);
    count("unknown", &part.unknown);
    JobView {
        job: part.job.clone(),
        kind: part.spec.kind,
        class: part.ordering.class,
        counts,
        waits_for: None,
        tasks: Vec::new(),
    }
}

fn merge(mut a: JobView, b: JobView) -> JobView {
    for (state, count) in b.counts {
        *a.counts.entry(state).or_default() += count;
    }
    a.waits_for = a.waits_for.or(b.waits_for);
    a.tasks.extend(b.tasks);
    a.tasks.truncate(view::TASKS_IN_VIEW);
    a
}
