"""Case 3: the store is down for some seconds while workers finish many short tasks."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

DAEMONS = 6
WORKERS = 2
JOBS = 30
TASKS = 200
# A task takes two thirds of a core for a quarter of a second: a worker runs 50 of them at a time.
CPU, MEM, WORK_S = 640, 256, 0.25
# The outages of the store on the site last 4.5 s; this is less than twice as long.
OUTAGE_S = 7.0


async def hand_in(site, number):
    job = f"{number + 1:016x}"
    site.shapes[job] = (CPU, MEM, WORK_S, "done")
    step = {"count": TASKS, "cpu": CPU, "memMb": MEM, "estimateMs": int(WORK_S * 1000)}
    body = json.dumps({"spec": "short tasks", "steps": [step]}).encode()
    for attempt in range(20):
        daemon = site.daemons[(number + attempt) % DAEMONS]
        status, _ = await standin.request(
            daemon.ip, daemon.front, "POST", standin.PREFIX + job, body, 3)
        site.record.add(f"client  POST {job} at {daemon.name}: {status}")
        if status == 200:
            return job
        await asyncio.sleep(0.2)
    raise RuntimeError(f"job {job} was not accepted")


async def state(site, job):
    for daemon in site.daemons:
        status, body = await standin.request(
            daemon.ip, daemon.front, "GET", standin.PREFIX + job, b"", 3)
        if status == 200:
            return json.loads(body)["state"]
    return None


def find_twice(site):
    """Starts after a run of the task ended `done`, where that end was taken note of at any time."""
    seen = {}
    for worker, told in site.seen_at.items():
        seen[worker] = max(number for _, number in told)
    done = {}
    lapsed = {worker for _, _, _, how, worker, _ in site.ends if how == "lapsed"}
    for at, task, run, how, worker, number in site.ends:
        noted = number <= seen.get(worker, 0) and worker not in lapsed
        if how == "done" and noted:
            done.setdefault(task, (at, run, worker, number))
    broken = [
        f"TWICE: {task} was started at {at:.3f} (run {run} on {worker}) beside run {other} on {on}"
        for at, task, run, worker, other, on in site.overlaps
    ]
    for at, task, run, worker, token in site.starts:
        if task in done and at > done[task][0]:
            ended, before, on, number = done[task]
            broken.append(
                f"TWICE: {task} ended done at {ended:.3f} (run {before} on {on}, end {number}, taken "
                f"note of) and was started again at {at:.3f} (run {run} on {worker})")
    return broken


async def main(site, trouble):
    await site.start(DAEMONS, WORKERS)
    await asyncio.sleep(2)
    jobs = await asyncio.gather(*(hand_in(site, number) for number in range(JOBS)))
    site.record.say(f"{len(jobs)} jobs of {TASKS} tasks are accepted")
    if trouble:
        await asyncio.sleep(0.3)
        site.store.down = "busy"
        site.record.say("the store is down")
        await asyncio.sleep(OUTAGE_S)
        site.store.down = None
        site.record.say("the store is back")
    left = list(jobs)
    for _ in range(300):
        left = [job for job in left if await state(site, job) != "succeeded"]
        if not left:
            break
        await asyncio.sleep(0.2)
    site.record.say(f"{len(jobs) - len(left)} of {len(jobs)} jobs are shown as succeeded, "
                    f"{len(site.starts)} starts for {JOBS * TASKS} tasks")
    return find_twice(site)


standin.run(main, FOLDER)
