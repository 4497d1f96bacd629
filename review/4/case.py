"""A job whose lasting tasks fail soon after each start; other accepted jobs have to run."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import small_platform as platform  # noqa: E402

FAILING = "4a000000000000ff"
RUNNERS, TASKS = 16, 8
FAILS_AFTER_MS = 200


async def case(cell):
    # The priorities of season-report and hire-track on the sheet of the site.
    await cell.start([platform.route("reports", priority=2), platform.route("tracking", priority=1)])
    lasting = {"spec": json.dumps({"ms": [FAILS_AFTER_MS if cell.trouble else -1],
                                   "fails": cell.trouble}),
               "steps": [{"count": TASKS, "cpu": 1000, "mem_mb": 100, "est_ms": 500,
                          "long_running": True}]}
    status, _ = await cell.ask(0, "POST", f"/tracking/{FAILING}", lasting)
    if status != 200:
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(8)
    job = {"spec": json.dumps({"ms": [500]}),
           "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100, "est_ms": 500}]}
    handed = {}
    for number in range(20):
        name = f"4a{number:014x}"
        status, _ = await cell.ask(number % 3, "POST", f"/reports/{name}", job)
        if status == 200:
            handed[name] = cell.record.now()
        await asyncio.sleep(1)
    await asyncio.sleep(15)
    broken = []
    for name, at in handed.items():
        starts = [when for when, _, task, _ in platform.Runner.starts if task.startswith(name)]
        waited = (min(starts) if starts else cell.record.now()) - at
        cell.record.write("job", name, "accepted at", f"{at:.3f} s, first start after", f"{waited:.3f} s",
                          "" if starts else "(none)")
        if waited > 3.0:
            broken.append(f"LOST: the accepted job {name} had nothing running for {waited:.1f} s")
    failing = sum(task.startswith(FAILING) for _, _, task, _ in platform.Runner.starts)
    cell.record.write(failing, "starts of the failing job")
    return broken


platform.main(os.path.dirname(os.path.abspath(__file__)), case, runners=RUNNERS)
