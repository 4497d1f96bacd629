"""One job with many due times stops the whole cell: accepted jobs are never answered again."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import cell as deployment  # noqa: E402

# A run each second, since about 14 hours ago.
RUNS = 50_000
INTERVAL_MS = 1_000
# The same job with few runs, as the control.
FEW_RUNS = 20
TRAFFIC_S = 20
# `finish_s` of the small sites.
FINISH_S = 14
# How long an answer to one question is awaited after that, at all nodes in turn.
PATIENCE_S = 12
# No further job is asked for after this time since the start.
ASKING_ENDS_S = 100

ORDINARY = {"spec": "200", "steps": [{"count": 4, "cpu": 500, "mem_mb": 256, "est_ms": 200}]}


def case(cell, trouble):
    accepted = []
    for number in range(4):
        job = "00000000000000a%x" % number
        if not cell.submit(job, ORDINARY, number):
            raise deployment.CannotRun("a job was not accepted before the trouble")
        if cell.await_state(job, "succeeded", 5) != "succeeded":
            raise deployment.CannotRun("a job did not succeed before the trouble")
        accepted.append(job)

    runs = RUNS if trouble else FEW_RUNS
    recurring = {
        "spec": "20", "max_runs": runs, "interval_ms": INTERVAL_MS,
        "first_ms": int(time.time() * 1000) - runs * INTERVAL_MS,
        "steps": [{"count": 1, "cpu": 100, "mem_mb": 16, "est_ms": 20}],
    }
    recurring_accepted = cell.submit("00000000000000b0", recurring, 0)
    cell.log("the recurring job with %d runs: accepted %s" % (runs, recurring_accepted))

    until = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < until:
        job = "00000000000001%02x" % number
        if cell.submit(job, ORDINARY, number):
            accepted.append(job)
        number += 1
        time.sleep(1)
    time.sleep(FINISH_S)

    faults = []
    hung = []
    for node in cell.nodes:
        if node["process"].poll() is not None:
            cell.log("%s has ended with %s" % (node["name"], node["process"].returncode))
        elif not cell.is_ready(node):
            hung.append(node["name"])
        cell.log("%s holds %d MB" % (node["name"], cell.memory_mb(node)))
    cell.log("nodes that do not answer their health check: %s" % (", ".join(hung) or "none"))
    for job in accepted:
        if time.monotonic() - cell.began > ASKING_ENDS_S:
            break
        state = cell.state(job, PATIENCE_S)
        if state != "succeeded":
            faults.append("LOST: accepted job %s is answered with %s" % (job, state))
        if len(faults) >= 3:
            break
    return faults


if __name__ == "__main__":
    sys.exit(deployment.play(FOLDER, case))
