//! The path of a short request: from the caller to a target and back.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use crate::backend::store::Op;
use crate::clock::Millis;
use crate::daemon::instance::Instance;
use crate::daemon::keys::{Entry, KeyTable};
use crate::ownership::rendezvous;
use crate::routing::{Outcome, Refusal, RequestSpec};
use crate::rpc::PeerError;
use crate::rpc::message::{PeerCall, PeerReply};

/// How often a request may be handed over between instances.
pub(super) const MAX_HOPS: u8 = 2;
/// The prefix of the rows of marks.
const MARK_PREFIX: &str = "mark/";
/// When to come back after a refusal that a short wait may help, in milliseconds.
pub(super) const COME_BACK: Millis = 1_000;
/// How much longer than the request's own deadline an instance is waited for.
const HOP_ALLOWANCE: Millis = 100;

impl Instance {
    /// Serves a request to its end, whatever becomes of the one who waits for it.
    ///
    /// A request whose caller hangs up still occupies its target, so its slot must
    /// not be given to another before it has ended.
    pub async fn serve_request(&self, spec: RequestSpec, body: Vec<u8>) -> Outcome {
        let Some(instance) = self.me() else {
            return Outcome::refused(Refusal::Draining);
        };
        let (tx, rx) = oneshot::channel();
        self.spawn(async move {
            let _ = tx.send(instance.serve_counted(spec, body).await);
        });
        rx.await.unwrap_or(Outcome::Unknown {
            reason: Refusal::AnswerLost,
        })
    }

    async fn serve_counted(&self, spec: RequestSpec, body: Vec<u8>) -> Outcome {
        let _guard = self.enter();
        let fresh = spec.hops == 0;
        let outcome = self.route(spec, body).await;
        if fresh {
            self.metrics.outcome(outcome.label());
        }
        if let (true, Outcome::NotRun { reason, .. } | Outcome::Unknown { reason }) =
            (fresh, &outcome)
        {
            self.metrics.refusal(reason.code());
        }
        outcome
    }

    async fn route(&self, spec: RequestSpec, body: Vec<u8>) -> Outcome {
        if let Some(refused) = self.refuse_request(&spec) {
            return refused;
        }
        let deadline = self.now() + spec.remaining_ms;
        let Some(key) = home_key(&spec) else {
            return self.dispatch(&spec, &body, deadline).await;
        };
        if spec.hops < MAX_HOPS
            && let Some(addr) = self.home_of(&key)
        {
            match self.forward(addr, &spec, &body, deadline).await {
                Ok(outcome) => return outcome,
                Err(PeerError::NotSent) => self.metrics.retry("home_unreachable"),
                Err(_) => return self.settle_lost(&spec).await,
            }
        }
        let marked = RequestSpec {
            marked: true,
            ..spec
        };
        self.serve_keyed(&marked, &body, deadline).await
    }

    fn refuse_request(&self, spec: &RequestSpec) -> Option<Outcome> {
        let now = self.now();
        let state = self.lock();
        if spec.remaining_ms == 0 {
            return Some(Outcome::refused(Refusal::DeadlineExpired));
        }
        if spec.hops > 0 {
            return None;
        }
        if self.is_draining() {
            return Some(Outcome::come_back(Refusal::Draining, COME_BACK));
        }
        if !self.is_fresh(&state, now) {
            return Some(Outcome::come_back(Refusal::StaleConfiguration, COME_BACK));
        }
        if !state.configuration.bundle().admits(&spec.team) {
            return Some(Outcome::refused(Refusal::UnknownTeam));
        }
        drop(state);
        self.lock().retries.on_fresh();
        None
    }

    /// Returns the other instance that a caller's key leads to, if it is not this one.
    fn home_of(&self, key: &str) -> Option<SocketAddr> {
        let now = self.now();
        let state = self.lock();
        let members = state.members.candidates(self.is_draining(), now);
        let home = rendezvous::home(key, &members)?;
        state.members.get(&home.name).map(|peer| peer.rpc)
    }

    pub(super) async fn forward(
        &self,
        addr: SocketAddr,
        spec: &RequestSpec,
        body: &[u8],
        deadline: Millis,
    ) -> Result<Outcome, PeerError> {
        let remaining = deadline.saturating_sub(self.now());
        if remaining == 0 {
            return Ok(Outcome::refused(Refusal::DeadlinePassed));
        }
        let spec = RequestSpec {
            hops: spec.hops + 1,
            remaining_ms: remaining,
            ..spec.clone()
        };
        let call = PeerCall::Forward {
            spec,
            body: body.to_vec(),
        };
        self.metrics.event("handed_over");
        match self.peers.call(addr, call, remaining + HOP_ALLOWANCE).await {
            Ok(PeerReply::Outcome(outcome)) => Ok(outcome),
            Ok(_) => Err(PeerError::Malformed),
            Err(err) => Err(err),
        }
    }

    /// The home of a key did not answer: if its mark can be taken here, the
    /// request can never run there, and that is provably so.
    async fn settle_lost(&self, spec: &RequestSpec) -> Outcome {
        self.metrics.retry("home_unanswered");
        if spec.repeatable || spec.order.is_some() {
            return Outcome::Unknown {
                reason: Refusal::AnswerLost,
            };
        }
        match self.mark(spec).await {
            Ok(()) => {
                self.unmark(spec).await;
                Outcome::come_back(Refusal::NoOwner, COME_BACK)
            }
            Err(_) => Outcome::Unknown {
                reason: Refusal::AnswerLost,
            },
        }
    }

    /// Serves a request that is ordered or must not be repeated.
    async fn serve_keyed(&self, spec: &RequestSpec, body: &[u8], deadline: Millis) -> Outcome {
        if spec.repeatable {
            return self.serve_ordered(spec, body, deadline).await;
        }
        // The home may be that of a whole stream; the request itself goes by its own key.
        let key = &mark_key(spec);
        match self.keys.enter(key) {
            Entry::Repeat(first) => match KeyTable::wait(first).await {
                Some(outcome @ Outcome::Answered { .. }) => outcome,
                _ => Outcome::Unknown {
                    reason: Refusal::AlreadyMarked,
                },
            },
            Entry::First(tx) => {
                let outcome = self.serve_once(spec, body, deadline).await;
                self.keys.finish(key, &tx, &outcome);
                outcome
            }
        }
    }

    async fn serve_once(&self, spec: &RequestSpec, body: &[u8], deadline: Millis) -> Outcome {
        match self.mark(spec).await {
            Ok(()) => {}
            Err(Refusal::AlreadyMarked) => {
                return Outcome::Unknown {
                    reason: Refusal::AlreadyMarked,
                };
            }
            Err(reason) => return Outcome::come_back(reason, COME_BACK),
        }
        let outcome = match spec.order {
            Some(_) => self.serve_ordered(spec, body, deadline).await,
            None => self.dispatch(spec, body, deadline).await,
        };
        if matches!(outcome, Outcome::NotRun { .. }) {
            self.unmark(spec).await;
        }
        outcome
    }

    async fn serve_ordered(&self, spec: &RequestSpec, body: &[u8], deadline: Millis) -> Outcome {
        let turn = match self.take_turn(spec, deadline).await {
            Ok(turn) => turn,
            Err(reason @ Refusal::OrderPassed) => return Outcome::refused(reason),
            Err(reason) => return Outcome::come_back(reason, COME_BACK),
        };
        let outcome = self.dispatch(spec, body, deadline).await;
        self.end_turn(turn, matches!(outcome, Outcome::NotRun { .. }));
        outcome
    }

    async fn mark(&self, spec: &RequestSpec) -> Result<(), Refusal> {
        let claim = format!("{:016x}", self.draw());
        let value = format!("{} {claim}", self.cfg.name);
        let op = Op::create(mark_key(spec), value);
        self.marks.write(op, claim).await
    }

    /// Removes the mark of a request that was provably not run, so that it may be repeated.
    async fn unmark(&self, spec: &RequestSpec) {
        if self
            .platform
            .store
            .transact(vec![Op::delete(mark_key(spec))])
            .await
            .is_err()
        {
            self.metrics.retry("unmark_failed");
        }
    }
}

/// Requests that are ordered or must not be repeated have one instance as their home.
fn home_key(spec: &RequestSpec) -> Option<String> {
    match (&spec.order, &spec.key) {
        _ if spec.marked => None,
        (Some(order), _) => Some(format!("{}/{}", spec.service, order.stream)),
        (None, Some(key)) if !spec.repeatable => Some(format!("{}/{key}", spec.service)),
        _ => None,
    }
}

fn mark_key(spec: &RequestSpec) -> String {
    let key = spec.key.as_deref().unwrap_or(&spec.id);
    format!("{MARK_PREFIX}{}/{key}", spec.service)
}
