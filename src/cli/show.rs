//! Tables for people.

use std::fmt::Write;

use crate::daemon::status::{CellStatus, InstanceStatus};
use crate::placement::task::WaitReason;
use crate::placement::view::JobView;
use crate::routing::Refusal;

/// Renders how the cell stands.
pub fn status(cell: &CellStatus) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{:<12} {:<10} {:<9} {:>7} {:>6} {:>8} {:>8} {:>11}",
        "INSTANCE", "HALL", "STATE", "CONFIG", "TASKS", "WAITING", "REQUESTS", "CORES FREE"
    );
    for instance in &cell.instances {
        let _ = writeln!(
            out,
            "{:<12} {:<10} {:<9} {:>7} {:>6} {:>8} {:>8} {:>5}/{}",
            instance.name,
            instance.hall,
            state_of(instance),
            instance.configuration,
            instance.tasks,
            instance.waiting_jobs,
            instance.in_progress,
            instance.free_millicores / 1000,
            instance.millicores / 1000
        );
    }
    let _ = writeln!(
        out,
        "\n{:<28} {:<12} {:>6} {:>10} {:>8} {:>7} {:>7}",
        "SHARD", "OWNER", "EPOCH", "CONFIRMED", "USABLE", "SLOTS", "QUEUED"
    );
    for instance in &cell.instances {
        for shard in &instance.shards {
            let _ = writeln!(
                out,
                "{:<28} {:<12} {:>6} {:>7} ms {:>8} {:>7} {:>7}",
                shard.shard,
                instance.name,
                shard.epoch,
                shard.confirmed_for_ms,
                shard.usable,
                shard.free_slots,
                shard.queued
            );
        }
    }
    for silent in &cell.silent {
        let _ = writeln!(out, "{silent} does not answer.");
    }
    for shard in &cell.unowned {
        let _ = writeln!(out, "{shard} is owned by nobody who answers.");
    }
    out
}

fn state_of(instance: &InstanceStatus) -> &'static str {
    match (instance.draining, instance.fresh) {
        (true, _) => "draining",
        (_, false) => "stale",
        _ => "ready",
    }
}

/// Renders how a job stands.
pub fn job(view: &JobView) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{}  {:?} job, class {}",
        view.job,
        view.kind,
        view.class.label()
    );
    for (state, count) in &view.counts {
        let _ = writeln!(out, "  {state:<10} {count:>6}");
    }
    out
}

/// Explains why a job waits, and what can be done.
pub fn explain(view: &JobView) -> String {
    let Some(reason) = view.waits_for else {
        return format!("{}  Nothing of it waits.\n", job(view));
    };
    let (why, remedy) = match reason {
        WaitReason::NoRoom => (
            "no usable worker has room for one of its tasks",
            "free room, add workers, or ask for less",
        ),
        WaitReason::Quota => (
            "its team has reached its quota",
            "raise the team's quota in the configuration",
        ),
        WaitReason::Headroom => (
            "the room that is left is kept for urgent work",
            "wait, or add workers",
        ),
        WaitReason::HeldForOther => (
            "room is kept for a job that has waited past its patience",
            "wait",
        ),
        WaitReason::GangIncomplete => (
            "not all of its tasks find room at once",
            "wait, or make the gang smaller",
        ),
        WaitReason::Succession => (
            "a former owner may still be running it",
            "wait for a few seconds; if it stays, look for workers that do not answer",
        ),
    };
    format!(
        "{}  It waits because {why}.\n  What to do: {remedy}.\n",
        job(view)
    )
}

/// Renders the reference of all refusals, as `docs/METRICS.md` holds it.
pub fn refusals() -> String {
    let mut out =
        String::from("| code | HTTP status | meaning | remedy |\n| --- | --- | --- | --- |\n");
    for refusal in Refusal::ALL {
        let described = refusal.describe();
        let _ = writeln!(
            out,
            "| {} | {} | {} | {} |",
            described.code, described.status, described.meaning, described.remedy
        );
    }
    out
}
