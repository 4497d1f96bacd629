//! Rendering of the node's responses as text for people.

use std::fmt::Write;

use crate::cell::spec::Demand;
use crate::cell::view::JobView;
use crate::cell::wait::WaitReason;
use crate::node::status::NodeStatus;
use crate::refusal::Refusal;

/// Renders a node's status: a head, then a table of the nodes and one of the queues.
pub fn status(status: &NodeStatus) -> String {
    let mut out = format!(
        "{}  {}, {}\n  epoch {}, owner {}, configuration {}, store {}\n",
        status.node,
        if status.ready { "ready" } else { "not ready" },
        if status.owns {
            "owns the cell"
        } else {
            "does not own the cell"
        },
        status.epoch,
        status.owner.as_deref().unwrap_or("unknown"),
        status.configuration,
        store_state(status.reaches_store),
    );
    let _ = writeln!(out, "  configuration: {}", freshness(status));
    let _ = writeln!(out, "  evacuated halls: {}", halls(status));
    let _ = writeln!(
        out,
        "\n{:<20} {:<22} {:>12} {:>8} {:>7} {:<8}",
        "NODE", "ADDRESS", "HEARD", "CONFIG", "STORE", "STATE"
    );
    for member in &status.members {
        let heard = match member.heard_ms_ago {
            Some(age) => format!("{age} ms ago"),
            None => String::from("never"),
        };
        let _ = writeln!(
            out,
            "{:<20} {:<22} {heard:>12} {:>8} {:>7} {:<8}",
            member.name,
            member.address,
            member.configuration,
            store_state(member.reaches_store),
            if member.leaving { "leaving" } else { "" },
        );
    }
    let _ = writeln!(out, "\n{:<30} {:>8} {:>8}", "QUEUE", "PRIORITY", "PENDING");
    for queue in &status.queues {
        let pending = queue
            .pending
            .map_or_else(|| String::from("unknown"), |jobs| jobs.to_string());
        let _ = writeln!(out, "{:<30} {:>8} {pending:>8}", queue.name, queue.priority);
    }
    out
}

fn freshness(status: &NodeStatus) -> String {
    let own = match (status.newer_configuration, status.configuration_age_ms) {
        (Some(newer), _) => format!("version {newer} is known and not in force here"),
        (None, Some(age)) => format!("known to be the newest {age} ms ago"),
        (None, None) => String::from("not known whether it is the newest"),
    };
    let behind: Vec<&str> = status.behind().map(|node| node.name.as_str()).collect();
    match behind.as_slice() {
        [] => own,
        names => format!("{own}; nodes behind: {}", names.join(", ")),
    }
}

fn halls(status: &NodeStatus) -> String {
    match &status.evacuated {
        None => String::from("not known"),
        Some(halls) if halls.is_empty() => String::from("none"),
        Some(halls) => Vec::from_iter(halls.iter().map(String::as_str)).join(", "),
    }
}

fn store_state(reached: bool) -> &'static str {
    if reached { "reached" } else { "away" }
}

/// Renders the state of a job and of its steps.
pub fn job(view: &JobView) -> String {
    let mut out = format!("{}  {:?}  {}\n", view.id, view.state, view.queue);
    if let Some(workspace) = &view.workspace {
        let _ = writeln!(
            out,
            "  workspace {}: holds {}, may hold {} (configuration {})",
            workspace.name,
            room(&workspace.held),
            room(&workspace.cap),
            workspace.configuration
        );
    }
    for step in &view.steps {
        let _ = writeln!(
            out,
            "  step {}.{}: {} of {} done, {} running, {} failed runs",
            step.time, step.step, step.done, step.tasks, step.running, step.failed_runs
        );
    }
    out
}

fn room(demand: &Demand) -> String {
    let (millicores, memory, gpus) = (demand.millicores, demand.memory, demand.gpus);
    format!("{millicores} millicores, {memory} MiB, {gpus} accelerators")
}

/// Renders the state of a job, why each waiting step waits, and what can be done about it.
pub fn explain(view: &JobView) -> String {
    let mut out = job(view);
    if view.steps.is_empty() && !view.state.is_final() {
        out.push_str(
            "  The owner of the cell could not be asked, so it is not known what it waits for.\n\
             \x20   What to do: ask again; if it persists, look at `crossweir status`.\n",
        );
        return out;
    }
    let waiting = view
        .steps
        .iter()
        .filter_map(|step| Some((step, step.reason()?)));
    let mut any_waits = false;
    for (step, reason) in waiting {
        let (why, remedy) = describe(reason);
        let _ = writeln!(
            out,
            "  Step {}.{} waits because {why}.\n    What to do: {remedy}.",
            step.time, step.step
        );
        any_waits = true;
    }
    if !any_waits {
        out.push_str("  Nothing of it waits.\n");
    }
    out
}

/// Returns why a step waits and what can be done about it.
fn describe(reason: WaitReason) -> (&'static str, &'static str) {
    match reason {
        WaitReason::EarlierSteps => ("steps before it are not done", "wait"),
        WaitReason::NoQueue => (
            "the configuration in force does not have its queue",
            "add the queue to the configuration again, or update the owner",
        ),
        WaitReason::Settling => (
            "a former owner may still be running it",
            "wait for some seconds; if it persists, look for workers that do not answer",
        ),
        WaitReason::Quota => (
            "its queue holds as many processors as the policy allows",
            "wait, or raise the quota in the policy",
        ),
        WaitReason::Cap => (
            "its workspace has as much running as its cap allows",
            "wait, or have the operator raise the cap",
        ),
        WaitReason::AfterCrash => (
            "workers were lost when its tasks began, so these are tried one at a time",
            "wait; look for `worker crashed under a task` in the owner's log",
        ),
        WaitReason::Advice => (
            "the advice service has not said which workers may run it",
            "wait; if it persists, look for `advice failed` in the owner's log",
        ),
        WaitReason::Evacuated => (
            "there is room for it in evacuated halls only",
            "wait, free room elsewhere, or have the operator put a hall back into use",
        ),
        WaitReason::Share => (
            "its workspace already has its share of the contended capacity",
            "wait, send less at a time, or have the operator raise the weight or add workers",
        ),
        WaitReason::NoRoom => (
            "no worker that may run it has room",
            "free room, add workers, or ask for less",
        ),
        WaitReason::Soon => ("it is about to start", "nothing"),
    }
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
