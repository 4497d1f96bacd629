//! Between the typed messages and Cap'n Proto.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use capnp::{Error, Result};

use crate::model::Resources;
use crate::placement::reserve::Reserved;
use crate::routing::{Outcome, Refusal};
use crate::rpc::message::{
    Beat, Cancelled, Fence, FenceReply, PeerCall, PeerReply, PoolEpoch, ServiceLoad, Submitted,
};
use crate::rpc::peer_capnp as wire;

/// Writes a call.
pub fn write_call(call: &PeerCall, mut to: wire::request::Builder<'_>) -> Result<()> {
    match call {
        PeerCall::Beat(beat) => write_beat(beat, to.init_beat()),
        PeerCall::Fence(fence) => write_fence(fence, to.init_fence()),
        PeerCall::Forward { spec, body } => {
            let mut to = to.init_forward();
            to.set_spec(&to_json(spec)?);
            to.set_body(body);
        }
        PeerCall::Submit { job, spec } => {
            let mut to = to.init_submit();
            to.set_job(job);
            to.set_spec(&to_json(spec)?);
        }
        PeerCall::ViewJob(job) => to.set_view_job(job),
        PeerCall::CancelJob(job) => to.set_cancel_job(job),
        PeerCall::Reserve { need, count, ttl } => {
            let mut to = to.init_reserve();
            to.set_millicores(need.millicores);
            to.set_memory_mib(need.memory_mib);
            to.set_accelerators(need.accelerators);
            to.set_count(*count);
            to.set_ttl_ms(*ttl);
        }
        PeerCall::Adopt {
            shard,
            job,
            reservation,
        } => {
            let mut to = to.init_adopt();
            to.set_shard(shard);
            to.set_job(job);
            to.set_reservation(*reservation);
        }
        PeerCall::NewVersion { version } => to.set_new_version(*version),
        PeerCall::Status => to.set_status(()),
        PeerCall::Release(id) => to.set_release(*id),
    }
    Ok(())
}

/// Reads a call.
pub fn read_call(from: wire::request::Reader<'_>) -> Result<PeerCall> {
    use wire::request::Which;
    Ok(match from.which()? {
        Which::Beat(beat) => PeerCall::Beat(read_beat(beat?)?),
        Which::Fence(fence) => PeerCall::Fence(read_fence(fence?)?),
        Which::Forward(forward) => {
            let forward = forward?;
            PeerCall::Forward {
                spec: from_json(forward.get_spec()?)?,
                body: forward.get_body()?.to_vec(),
            }
        }
        Which::Submit(submit) => {
            let submit = submit?;
            PeerCall::Submit {
                job: text(submit.get_job()?)?,
                spec: from_json(submit.get_spec()?)?,
            }
        }
        Which::ViewJob(job) => PeerCall::ViewJob(text(job?)?),
        Which::CancelJob(job) => PeerCall::CancelJob(text(job?)?),
        Which::Reserve(reserve) => {
            let reserve = reserve?;
            PeerCall::Reserve {
                need: Resources::new(
                    reserve.get_millicores(),
                    reserve.get_memory_mib(),
                    reserve.get_accelerators(),
                ),
                count: reserve.get_count(),
                ttl: reserve.get_ttl_ms(),
            }
        }
        Which::Adopt(adopt) => {
            let adopt = adopt?;
            PeerCall::Adopt {
                shard: text(adopt.get_shard()?)?,
                job: text(adopt.get_job()?)?,
                reservation: adopt.get_reservation(),
            }
        }
        Which::NewVersion(version) => PeerCall::NewVersion { version },
        Which::Status(()) => PeerCall::Status,
        Which::Release(id) => PeerCall::Release(id),
    })
}

/// Writes a reply.
pub fn write_reply(reply: &PeerReply, mut to: wire::reply::Builder<'_>) -> Result<()> {
    match reply {
        PeerReply::Beat(beat) => write_beat(beat, to.init_beat()),
        PeerReply::Fence(fence) => {
            let mut to = to.init_fence();
            to.set_boot(fence.boot);
            to.set_epoch(fence.epoch);
            to.set_owner_silence(fence.owner_silence);
        }
        PeerReply::Outcome(outcome) => write_outcome(outcome, to.init_outcome()),
        PeerReply::Submitted(submitted) => write_submitted(submitted, to.init_submitted()),
        PeerReply::Job(Some(view)) => to.set_job(&to_json(view)?),
        PeerReply::Job(None) => to.set_job(&[]),
        PeerReply::Cancelled(cancelled) => {
            let mut to = to.init_cancelled();
            to.set_found(cancelled.found);
            to.set_recorded(cancelled.recorded);
        }
        PeerReply::Reserved(reserved) => write_reserved(reserved, to.init_reserved()),
        PeerReply::Done => to.set_done(()),
        PeerReply::Status(json) => to.set_status(json),
    }
    Ok(())
}

/// Reads a reply.
pub fn read_reply(from: wire::reply::Reader<'_>) -> Result<PeerReply> {
    use wire::reply::Which;
    Ok(match from.which()? {
        Which::Beat(beat) => PeerReply::Beat(read_beat(beat?)?),
        Which::Fence(fence) => {
            let fence = fence?;
            PeerReply::Fence(FenceReply {
                boot: fence.get_boot(),
                epoch: fence.get_epoch(),
                owner_silence: fence.get_owner_silence(),
            })
        }
        Which::Outcome(outcome) => PeerReply::Outcome(read_outcome(outcome?)?),
        Which::Submitted(submitted) => PeerReply::Submitted(read_submitted(submitted?)?),
        Which::Job(json) => {
            let json = json?;
            let view = if json.is_empty() {
                None
            } else {
                Some(from_json(json)?)
            };
            PeerReply::Job(view)
        }
        Which::Cancelled(cancelled) => {
            let cancelled = cancelled?;
            PeerReply::Cancelled(Cancelled {
                found: cancelled.get_found(),
                recorded: cancelled.get_recorded(),
            })
        }
        Which::Reserved(reserved) => PeerReply::Reserved(read_reserved(reserved?)?),
        Which::Done(()) => PeerReply::Done,
        Which::Status(json) => PeerReply::Status(json?.to_vec()),
    })
}

fn write_beat(beat: &Beat, mut to: wire::beat::Builder<'_>) {
    to.set_name(&beat.name);
    to.set_incarnation(beat.incarnation);
    to.set_hall(&beat.hall);
    to.set_rpc(beat.rpc.to_string().as_str());
    to.set_draining(beat.draining);
    to.set_version(beat.version);
    to.set_free_millicores(beat.free_millicores);
    to.set_free_memory_mib(beat.free_memory_mib);
    to.set_waiting_jobs(beat.waiting_jobs);
    to.set_owns_workers(beat.owns_workers);
    let mut services = to.reborrow().init_services(beat.services.len() as u32);
    for (index, load) in beat.services.iter().enumerate() {
        let mut to = services.reborrow().get(index as u32);
        to.set_service(&load.service);
        to.set_free(load.free);
        to.set_queued(load.queued);
    }
    write_pools(
        &beat.pools,
        to.reborrow().init_pools(beat.pools.len() as u32),
    );
    write_pools(
        &beat.superseded,
        to.init_superseded(beat.superseded.len() as u32),
    );
}

fn write_pools(
    pools: &[PoolEpoch],
    mut to: capnp::struct_list::Builder<'_, wire::pool_epoch::Owned>,
) {
    for (index, pool) in pools.iter().enumerate() {
        let mut to = to.reborrow().get(index as u32);
        to.set_shard(&pool.shard);
        to.set_epoch(pool.epoch);
    }
}

fn read_beat(from: wire::beat::Reader<'_>) -> Result<Beat> {
    let services = from.get_services()?.iter().map(|load| {
        Ok(ServiceLoad {
            service: text(load.get_service()?)?,
            free: load.get_free(),
            queued: load.get_queued(),
        })
    });
    Ok(Beat {
        name: text(from.get_name()?)?,
        incarnation: from.get_incarnation(),
        hall: text(from.get_hall()?)?,
        rpc: address(from.get_rpc()?)?,
        draining: from.get_draining(),
        version: from.get_version(),
        free_millicores: from.get_free_millicores(),
        free_memory_mib: from.get_free_memory_mib(),
        waiting_jobs: from.get_waiting_jobs(),
        owns_workers: from.get_owns_workers(),
        services: services.collect::<Result<_>>()?,
        pools: read_pools(from.get_pools()?)?,
        superseded: read_pools(from.get_superseded()?)?,
    })
}

fn read_pools(
    from: capnp::struct_list::Reader<'_, wire::pool_epoch::Owned>,
) -> Result<Vec<PoolEpoch>> {
    from.iter()
        .map(|pool| {
            Ok(PoolEpoch {
                shard: text(pool.get_shard()?)?,
                epoch: pool.get_epoch(),
            })
        })
        .collect()
}

fn write_fence(fence: &Fence, mut to: wire::fence::Builder<'_>) {
    to.set_shard(&fence.shard);
    to.set_epoch(fence.epoch);
    to.set_owner(&fence.owner);
}

fn read_fence(from: wire::fence::Reader<'_>) -> Result<Fence> {
    Ok(Fence {
        shard: text(from.get_shard()?)?,
        epoch: from.get_epoch(),
        owner: text(from.get_owner()?)?,
    })
}

fn write_outcome(outcome: &Outcome, mut to: wire::outcome::Builder<'_>) {
    match outcome {
        Outcome::Answered {
            status,
            target,
            via,
            body,
        } => {
            let mut to = to.init_answered();
            to.set_status(*status);
            to.set_target(target);
            to.set_via(via);
            to.set_body(body);
        }
        Outcome::NotRun {
            reason,
            retry_after_ms,
        } => write_not_run(*reason, *retry_after_ms, to.init_not_run()),
        Outcome::Unknown { reason } => to.set_unknown(reason.code()),
    }
}

fn read_outcome(from: wire::outcome::Reader<'_>) -> Result<Outcome> {
    use wire::outcome::Which;
    Ok(match from.which()? {
        Which::Answered(answered) => {
            let answered = answered?;
            Outcome::Answered {
                status: answered.get_status(),
                target: text(answered.get_target()?)?,
                via: text(answered.get_via()?)?,
                body: answered.get_body()?.to_vec(),
            }
        }
        Which::NotRun(not_run) => {
            let (reason, retry_after_ms) = read_not_run(not_run?)?;
            Outcome::NotRun {
                reason,
                retry_after_ms,
            }
        }
        Which::Unknown(reason) => Outcome::Unknown {
            reason: refusal(reason?)?,
        },
    })
}

fn write_not_run(reason: Refusal, retry_after_ms: Option<u64>, mut to: wire::not_run::Builder<'_>) {
    to.set_reason(reason.code());
    to.set_has_retry_after(retry_after_ms.is_some());
    to.set_retry_after_ms(retry_after_ms.unwrap_or(0));
}

fn read_not_run(from: wire::not_run::Reader<'_>) -> Result<(Refusal, Option<u64>)> {
    let retry_after_ms = from
        .get_has_retry_after()
        .then(|| from.get_retry_after_ms());
    Ok((refusal(from.get_reason()?)?, retry_after_ms))
}

fn write_submitted(submitted: &Submitted, mut to: wire::submitted::Builder<'_>) {
    match submitted {
        Submitted::Accepted => to.set_accepted(()),
        Submitted::Refused {
            reason,
            retry_after_ms,
        } => write_not_run(*reason, *retry_after_ms, to.init_refused()),
        Submitted::Unknown => to.set_unknown(()),
    }
}

fn read_submitted(from: wire::submitted::Reader<'_>) -> Result<Submitted> {
    use wire::submitted::Which;
    Ok(match from.which()? {
        Which::Accepted(()) => Submitted::Accepted,
        Which::Refused(refused) => {
            let (reason, retry_after_ms) = read_not_run(refused?)?;
            Submitted::Refused {
                reason,
                retry_after_ms,
            }
        }
        Which::Unknown(()) => Submitted::Unknown,
    })
}

fn write_reserved(reserved: &Reserved, mut to: wire::reserved::Builder<'_>) {
    to.set_id(reserved.id);
    let mut shards = to.init_shards(reserved.shards.len() as u32);
    for (index, (shard, count)) in reserved.shards.iter().enumerate() {
        let mut to = shards.reborrow().get(index as u32);
        to.set_shard(shard);
        to.set_count(*count);
    }
}

fn read_reserved(from: wire::reserved::Reader<'_>) -> Result<Reserved> {
    let mut shards = BTreeMap::new();
    for entry in from.get_shards()?.iter() {
        shards.insert(text(entry.get_shard()?)?, entry.get_count());
    }
    Ok(Reserved {
        id: from.get_id(),
        shards,
    })
}

fn text(from: capnp::text::Reader<'_>) -> Result<String> {
    Ok(from.to_str()?.to_owned())
}

fn address(from: capnp::text::Reader<'_>) -> Result<SocketAddr> {
    let text = from.to_str()?;
    text.parse()
        .map_err(|_| Error::failed(format!("`{text}` is not an address")))
}

fn refusal(from: capnp::text::Reader<'_>) -> Result<Refusal> {
    let code = from.to_str()?;
    let found = Refusal::ALL
        .into_iter()
        .find(|refusal| refusal.code() == code);
    found.ok_or_else(|| Error::failed(format!("`{code}` is not a reason")))
}

fn to_json<T: serde::Serialize>(value: &T) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|err| Error::failed(err.to_string()))
}

fn from_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|err| Error::failed(err.to_string()))
}
