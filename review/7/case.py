"""A node freezes; clients that get no answer from it cancel their jobs at another node."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import small_platform as platform  # noqa: E402

FROZEN_SECONDS = 4.0  # node_freeze, count = 1, for_s = 4.0
DEADLINE_SECONDS = 3.0  # what the sheet gives for all kinds of request
JOBS = 5


async def client(cell, node, other, number, cancelled):
    """Hands a job in and waits until its deadline.  Then it gives up, and cancels the job at
    another node until that is acknowledged."""
    job = f"6a{number:014x}"
    spec = {"spec": json.dumps({"ms": [7000, 1000]}),
            "steps": [{"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": 7000},
                      {"count": 1, "cpu": 500, "mem_mb": 100, "est_ms": 1000, "after": [0]}]}
    began = cell.record.now()
    await cell.ask(node, "POST", f"/reports/{job}", spec, timeout=DEADLINE_SECONDS)
    await asyncio.sleep(max(0.0, began + DEADLINE_SECONDS - cell.record.now()))
    for _ in range(10):
        status, _ = await cell.ask(other, "DELETE", f"/reports/{job}")
        if status in (200, 410):
            cancelled[job] = (status, cell.record.now())
            return
        await asyncio.sleep(0.3)


async def case(cell):
    await cell.start([platform.route("reports")])
    owner = cell.owner()
    # Neither the owner nor the node that is asked later is touched.
    node, other = [n for n, each in enumerate(cell.nodes) if each is not owner][:2]
    if cell.trouble:
        cell.nodes[node].signal(signal.SIGSTOP)
        cell.record.write(cell.nodes[node].name, "freezes for", FROZEN_SECONDS, "s")
    frozen = cell.record.now()
    cancelled, clients = {}, []
    for number in range(JOBS):
        await asyncio.sleep(0.1)
        clients.append(asyncio.ensure_future(client(cell, node, other, number, cancelled)))
    await asyncio.sleep(frozen + FROZEN_SECONDS - cell.record.now())
    if cell.trouble:
        cell.nodes[node].signal(signal.SIGCONT)
        cell.record.write(cell.nodes[node].name, "goes on")
    woken = cell.record.now()
    await asyncio.gather(*clients)
    if len(cancelled) < JOBS:
        raise RuntimeError("not all cancellations were acknowledged")
    await asyncio.sleep(16)
    broken = []
    for at, runner, task, run in platform.Runner.starts:
        status, acknowledged = cancelled[task.split(".")[0]]
        if at > woken + platform.CONTACT and at > acknowledged + platform.CANCEL:
            broken.append(f"UNASKED: {task} starts at {at:.3f} s on {runner}, "
                          f"{at - acknowledged:.1f} s after {status} to the DELETE of its job")
    return broken


platform.main(os.path.dirname(os.path.abspath(__file__)), case)
