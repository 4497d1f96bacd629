"""An owner that is cut off goes on, while a successor runs its tasks a second time."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as deployment  # noqa: E402
import links as paths  # noqa: E402

# How long the trouble lasts.
TROUBLE_S = 10
# How many of the 16 runners lose the path to some nodes.
CUT_RUNNERS = 6
TASKS = 20
TASK_MS = 40_000
# By then no runner counts any more as one that may have a long lease since it has just started.
SETTLE_S = 15
# How many nodes are left on the side of the owner, itself included.
NEAR = 4


def case(cell, trouble):
    links = paths.Links()
    cell.start(links)
    owner = None
    until = time.monotonic() + 5
    while owner is None and time.monotonic() < until:
        owner = cell.owner()
        time.sleep(0.1)
    if owner is None:
        raise deployment.CannotRun("no node owns the cell")
    cell.log("owner: %s" % owner["name"])

    job = "00000000000000a0"
    body = {"spec": str(TASK_MS), "steps": [{
        "count": TASKS, "cpu": 8000, "mem_mb": 1024, "est_ms": TASK_MS}]}
    if not cell.submit(job, body, 0):
        raise deployment.CannotRun("the job was not accepted")
    until = time.monotonic() + 5
    while len(cell.runs()) < TASKS and time.monotonic() < until:
        time.sleep(0.1)
    if len(cell.runs()) < TASKS:
        raise deployment.CannotRun("the tasks do not run")
    time.sleep(SETTLE_S)

    names = [node["name"] for node in cell.nodes]
    others = [name for name in names if name != owner["name"]]
    near, far = [owner["name"]] + others[: NEAR - 1], others[NEAR - 1 :]
    if trouble:
        busy = sorted({run["worker"] for run in cell.runs()})
        runners = busy[:CUT_RUNNERS]
        cell.log("the store turns %s away" % ", ".join(near))
        cell.log("partition between %s and %s" % (", ".join(near), ", ".join(far)))
        cell.log("runners %s lose the path to %s" % (", ".join(runners), ", ".join(far)))
        cuts = [(a, b) for a in near for b in far] + [(b, a) for a in near for b in far]
        cuts += [(name, runner) for name in far for runner in runners]
        links.cut(cuts, [(name, "store") for name in near])
    until = time.monotonic() + TROUBLE_S
    while time.monotonic() < until:
        owners = [node["name"] for node in cell.nodes if cell.owns(node)]
        cell.log("owners: %s; %d runs" % (", ".join(owners), len(cell.runs())))
        time.sleep(1)
    links.heal()
    cell.log("all paths are whole again")
    time.sleep(5)
    return twice(cell)


def twice(cell):
    """Returns the tasks of which two runs were at work at the same time."""
    faults = []
    by_task = {}
    for run in cell.runs():
        cell.log("run %s" % run)
        by_task.setdefault(run["task"], []).append(run)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run["from"])
        for former, later in zip(runs, runs[1:]):
            if former["until"] is None or former["until"] > later["from"]:
                faults.append("TWICE: %s runs on %s since %d ms and on %s from %d ms on, until %s"
                              % (task, former["worker"], former["from"], later["worker"],
                                 later["from"], former["until"]))
    return faults


if __name__ == "__main__":
    sys.exit(deployment.play(FOLDER, case, starts=False))
