//! Sending a request to a target: here, by another instance, or after a wait.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::backend::{LinkError, TargetRequest, VmRole};
use crate::clock::Millis;
use crate::daemon::instance::{Instance, State};
use crate::daemon::requests::{COME_BACK, MAX_HOPS};
use crate::daemon::shards;
use crate::routing::pool::SlotEnd;
use crate::routing::{Grant, Outcome, Refusal, RequestSpec};
use crate::rpc::PeerError;
use crate::rpc::message::Beat;

/// How many attempts are made at most.
const MAX_TRIES: u32 = 4;
/// The status by which a leaving target refuses a request without running it.
const LEAVING_STATUS: u16 = 503;

/// Where a request may go next.
enum Way {
    /// To a target of ours, whose slot has been taken.
    Here(String, Grant),
    /// To another instance that owns targets of the service.
    There(SocketAddr),
    /// Into our own queue.
    Queue(String),
    /// Nowhere.
    Refused(Outcome),
}

/// How one attempt ended.
enum Attempt {
    /// There is nothing more to try.
    Final(Outcome),
    /// Nothing reached a target.
    NotSent(Refusal),
    /// It may have run.
    Lost,
}

/// The attempts at one request so far.
#[derive(Default)]
struct Tries {
    count: u32,
    unreachable: Vec<SocketAddr>,
    lost: bool,
}

impl Tries {
    /// Once an attempt may have run, no later refusal can say that nothing did.
    fn conclude(&self, outcome: Outcome) -> Outcome {
        match outcome {
            Outcome::NotRun { .. } if self.lost => Outcome::Unknown {
                reason: Refusal::AnswerLost,
            },
            outcome => outcome,
        }
    }
}

/// A slot in use: it is given back even if the request is dropped half way.
struct Slot<'a> {
    instance: &'a Instance,
    shard: &'a str,
    grant: &'a Grant,
    end: SlotEnd,
}

impl Slot<'_> {
    fn end(mut self, end: SlotEnd) {
        self.end = end;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.instance.finish_slot(self.shard, self.grant, self.end);
    }
}

impl Instance {
    /// Sends a request to a target, here or by another instance, trying again where that is safe.
    pub(super) async fn dispatch(
        &self,
        spec: &RequestSpec,
        body: &[u8],
        deadline: Millis,
    ) -> Outcome {
        let mut tries = Tries::default();
        loop {
            let reason = match self.attempt(spec, body, deadline, &mut tries).await {
                Attempt::Final(outcome) => return tries.conclude(outcome),
                Attempt::NotSent(reason) => reason,
                Attempt::Lost => {
                    tries.lost = true;
                    Refusal::AnswerLost
                }
            };
            tries.count += 1;
            // An ordered request that may still be running must not be overtaken by itself.
            let safe = !tries.lost || (spec.repeatable && spec.order.is_none());
            if !safe || tries.count >= MAX_TRIES {
                return tries.conclude(Outcome::come_back(reason, COME_BACK));
            }
            if !self.lock().retries.try_retry() {
                return tries.conclude(Outcome::come_back(Refusal::RetryBudget, COME_BACK));
            }
            self.metrics.retry(reason.code());
        }
    }

    /// Makes one attempt: finds a way, waits for a slot if need be, and sends.
    async fn attempt(
        &self,
        spec: &RequestSpec,
        body: &[u8],
        deadline: Millis,
        tries: &mut Tries,
    ) -> Attempt {
        if self.now() >= deadline {
            return Attempt::Final(Outcome::refused(Refusal::DeadlinePassed));
        }
        let (shard, grant) = match self.find_way(spec, &tries.unreachable) {
            Way::Here(shard, grant) => (shard, grant),
            Way::There(addr) => return self.attempt_there(addr, spec, body, deadline, tries).await,
            Way::Queue(shard) => match self.wait_in_queue(shard, spec, deadline).await {
                Ok(granted) => granted,
                Err(outcome) => return Attempt::Final(outcome),
            },
            Way::Refused(outcome) => return Attempt::Final(outcome),
        };
        self.try_target(&shard, &grant, spec, body, deadline).await
    }

    async fn attempt_there(
        &self,
        addr: SocketAddr,
        spec: &RequestSpec,
        body: &[u8],
        deadline: Millis,
        tries: &mut Tries,
    ) -> Attempt {
        match self.forward(addr, spec, body, deadline).await {
            Ok(outcome) => Attempt::Final(outcome),
            Err(PeerError::NotSent) => {
                tries.unreachable.push(addr);
                Attempt::NotSent(Refusal::NoOwner)
            }
            Err(_) => Attempt::Lost,
        }
    }

    fn find_way(&self, spec: &RequestSpec, unreachable: &[SocketAddr]) -> Way {
        let now = self.now();
        let mut state = self.lock();
        let own = own_pools(&state, &spec.service, now);
        for shard in &own {
            if let Some(grant) = state
                .pools
                .get_mut(shard)
                .and_then(|pool| pool.try_grant(now))
            {
                return Way::Here(shard.clone(), grant);
            }
        }
        if spec.hops < MAX_HOPS
            && let Some(addr) =
                best_owner(&mut state, &spec.service, own.is_empty(), unreachable, now)
        {
            return Way::There(addr);
        }
        let shortest = own.into_iter().min_by_key(|shard| {
            let pool = state.pools.get(shard);
            pool.map_or(Millis::MAX, |pool| pool.expected_wait(spec.class))
        });
        match shortest {
            Some(shard) => Way::Queue(shard),
            None => Way::Refused(no_way(&state, &spec.service)),
        }
    }

    async fn wait_in_queue(
        &self,
        shard: String,
        spec: &RequestSpec,
        deadline: Millis,
    ) -> Result<(String, Grant), Outcome> {
        let ticket = self.next_ticket();
        let (tx, rx) = oneshot::channel();
        let now = self.now();
        {
            let mut state = self.lock();
            let Some(pool) = state.pools.get_mut(&shard) else {
                return Err(Outcome::come_back(Refusal::NoOwner, COME_BACK));
            };
            if let Err((reason, wait)) = pool.enqueue(ticket, spec.class, deadline, now) {
                return Err(Outcome::come_back(reason, wait.max(1)));
            }
            state.waiters.insert(ticket, tx);
        }
        let wait = Duration::from_millis(deadline.saturating_sub(now));
        let granted = tokio::time::timeout(wait, rx).await;
        if let Ok(Ok(granted)) = granted {
            return Ok(granted);
        }
        let mut state = self.lock();
        state.waiters.remove(&ticket);
        if let Some(pool) = state.pools.get_mut(&shard) {
            pool.forget(ticket);
        }
        match granted {
            Err(_) => Err(Outcome::refused(Refusal::DeadlinePassed)),
            Ok(_) => Err(Outcome::come_back(Refusal::NoOwner, COME_BACK)),
        }
    }

    async fn try_target(
        &self,
        shard: &str,
        grant: &Grant,
        spec: &RequestSpec,
        body: &[u8],
        deadline: Millis,
    ) -> Attempt {
        let sent_at = self.now();
        let slot = Slot {
            instance: self,
            shard,
            grant,
            end: SlotEnd::Failed,
        };
        // A slot that was waited for may come after the deadline or after the shard was lost.
        if sent_at >= deadline || !Self::pool_open(&self.lock(), shard, sent_at) {
            slot.end(SlotEnd::Unused);
            return Attempt::NotSent(Refusal::NoTarget);
        }
        let req = TargetRequest {
            id: spec.id.clone(),
            path: spec.path.clone(),
            body: body.to_vec(),
            timeout_ms: deadline - sent_at,
        };
        let reply = self
            .platform
            .targets
            .send(grant.endpoint.clone(), req)
            .await;
        let took = self.now() - sent_at;
        match reply {
            Ok(reply) if reply.leaving && reply.status == LEAVING_STATUS => {
                slot.end(SlotEnd::Leaving);
                Attempt::NotSent(Refusal::NoTarget)
            }
            Ok(reply) => {
                slot.end(match reply.leaving {
                    true => SlotEnd::Leaving,
                    false => SlotEnd::Answered { took },
                });
                self.metrics.wait(
                    spec.class.label(),
                    spec.remaining_ms.saturating_sub(deadline - sent_at),
                );
                Attempt::Final(Outcome::Answered {
                    status: reply.status,
                    target: grant.name.clone(),
                    via: self.cfg.name.clone(),
                    body: reply.body,
                })
            }
            Err(LinkError::NotSent) => {
                slot.end(SlotEnd::Failed);
                Attempt::NotSent(Refusal::TargetUnreachable)
            }
            Err(_) => {
                slot.end(SlotEnd::Failed);
                Attempt::Lost
            }
        }
    }

    /// Gives free slots of all groups to those who wait for them.
    pub fn grant_all(&self) {
        let now = self.now();
        let mut state = self.lock();
        let shards: Vec<String> = state.pools.keys().cloned().collect();
        for shard in shards {
            self.grant_waiting(&mut state, &shard, now);
        }
    }

    fn finish_slot(&self, shard: &str, grant: &Grant, end: SlotEnd) {
        let now = self.now();
        let mut state = self.lock();
        if let Some(pool) = state.pools.get_mut(shard) {
            pool.finish(grant.key, end, now);
        }
        self.grant_waiting(&mut state, shard, now);
    }

    /// Gives free slots of a group to those who wait for them.
    pub fn grant_waiting(&self, state: &mut State, shard: &str, now: Millis) {
        if !Self::pool_open(state, shard, now) {
            return;
        }
        let granted = state
            .pools
            .get_mut(shard)
            .map(|pool| pool.grant_waiting(now))
            .unwrap_or_default();
        for (ticket, grant) in granted {
            let waiter = state.waiters.remove(&ticket);
            let lost = match waiter {
                Some(tx) => tx
                    .send((shard.to_owned(), grant))
                    .err()
                    .map(|(_, grant)| grant),
                None => Some(grant),
            };
            if let (Some(grant), Some(pool)) = (lost, state.pools.get_mut(shard)) {
                pool.finish(grant.key, SlotEnd::Unused, now);
            }
        }
    }
}

fn own_pools(state: &State, service: &str, now: Millis) -> Vec<String> {
    let pools = state
        .pools
        .keys()
        .filter(|shard| shards::service_of(shard) == service);
    pools
        .filter(|shard| Instance::pool_open(state, shard, now))
        .cloned()
        .collect()
}

/// Returns the owner with the most free slots by its last word, and notes the use of one.
///
/// With nothing free anywhere, an instance that owns no targets of the service
/// hands the request to the owner with the shortest queue.
fn best_owner(
    state: &mut State,
    service: &str,
    must: bool,
    unreachable: &[SocketAddr],
    now: Millis,
) -> Option<SocketAddr> {
    let load_of = |beat: &Beat| {
        let load = beat.services.iter().find(|load| load.service == service)?;
        Some((load.free, load.queued))
    };
    let owners: Vec<(String, SocketAddr, u32, u32)> = state
        .members
        .alive(now)
        .filter(|(_, peer, _)| !unreachable.contains(&peer.rpc))
        .filter_map(|(name, peer, beat)| {
            let (free, queued) = load_of(beat)?;
            Some((name.clone(), peer.rpc, free, queued))
        })
        .collect();
    let best = owners
        .iter()
        .filter(|owner| owner.2 > 0)
        .max_by_key(|owner| owner.2);
    let best = best.or_else(|| owners.iter().filter(|_| must).min_by_key(|owner| owner.3))?;
    state.members.use_slot(&best.0, service);
    Some(best.1)
}

fn no_way(state: &State, service: &str) -> Outcome {
    let listed = state
        .vms
        .iter()
        .any(|vm| matches!(&vm.role, VmRole::Target { service: of, .. } if of == service));
    match (state.listed, listed) {
        (true, false) => Outcome::refused(Refusal::NoSuchService),
        _ => Outcome::come_back(Refusal::NoOwner, COME_BACK),
    }
}
