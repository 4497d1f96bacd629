"""Most nodes and a runner are lost for good; what was accepted before has to go on."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import small_platform as platform  # noqa: E402

JOBS = ("7a00000000000001", "7a00000000000002")
LATER = "7a00000000000003"
TASKS = 8  # of each job
KEPT = 2  # of seven nodes
REPLACED_AFTER = 4.0  # replace_core, x = 4.0: the new machine comes 4 s later
WATCHED_SECONDS = 50


async def lose_most_nodes_and_a_runner(cell, alive):
    runner = next(r for r in cell.runners if f"{JOBS[0]}.0.0.0" in r.running)
    owner = cell.owner()
    asyncio.ensure_future(runner.crash())
    await asyncio.sleep(0.3)
    lost = [node for node in cell.nodes if node not in alive]
    for node in lost:
        node.lose()
    cell.record.write("lost for good:", [node.name for node in lost], "- the owner was", owner.name)
    await asyncio.sleep(REPLACED_AFTER)
    for number in range(len(lost)):
        await cell.replace(len(cell.nodes) + 1)
    cell.record.write("replaced at other addresses by", [n.name for n in cell.nodes[-len(lost):]])


async def case(cell):
    await cell.start([platform.route("reports")])
    step = {"count": 6, "cpu": 1000, "mem_mb": 100, "est_ms": 4000, "anti_affinity": 1}
    spec = {"spec": json.dumps({"ms": [4000, 1000]}),
            "steps": [step, {"count": 2, "cpu": 1000, "mem_mb": 100, "est_ms": 1000, "after": [0]}]}
    for job in JOBS:
        status, _ = await cell.ask(0, "POST", f"/reports/{job}", spec)
        if status != 200:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2)
    owner = cell.owner()
    alive = [node for node in cell.nodes if node is not owner][:KEPT]
    if cell.trouble:
        await lose_most_nodes_and_a_runner(cell, alive)
    # The 3 s without a run and the 4 s before them have to be calm.
    calm_from = cell.record.now() + 4.0
    asker = cell.nodes.index(alive[0])
    # A job that comes later shows that the cell works.
    await cell.ask(asker, "POST", f"/reports/{LATER}", spec)
    idle_since, longest = {}, {job: 0.0 for job in JOBS}
    for tick in range(WATCHED_SECONDS * 10):
        await asyncio.sleep(0.1)
        now = cell.record.now()
        for job in JOBS:
            runs = any(task.startswith(job) for runner in cell.runners for task in runner.running)
            ended = len({task for task in cell.done if task.startswith(job)}) == TASKS
            if runs or ended:
                idle_since.pop(job, None)
            else:
                since = max(idle_since.setdefault(job, now), calm_from)
                longest[job] = max(longest[job], now - since)
        if tick % 100 == 99:
            await cell.ask(asker, "GET", f"/reports/{JOBS[0]}")
            await cell.ask(asker, "GET", f"/reports/{LATER}")
    sound = sum(not runner.gone for runner in cell.runners)
    return [f"LOST: the accepted job {job} had nothing running for {span:.1f} s on end while the turn "
            f"of its tasks had come; {sound} runners were sound and idle, and no disruption "
            "was nearer than 4 s" for job, span in longest.items() if span > 3.0]


platform.main(os.path.dirname(os.path.abspath(__file__)), case, nodes=7, runners=8)
