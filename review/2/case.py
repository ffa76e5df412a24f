"""Case 2: the leader's machine loses power again and again while many short jobs run."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

DAEMONS = 6
WORKERS = 12
# Jobs like the site's small ones: tasks of 0.8 s on 1.8 cores.
RATE, TASKS, CPU, MEM, WORK_S = 14, 10, 1800, 2048, 0.8
LOSSES, EVERY_S, DARK_S = 5, 7.0, 3.5
CLIENT_TIMEOUT_S = 3.0
FINISH_S = 14.0


async def hand_in(site, number, accepted):
    """Hands in a job, at any node that runs, until it is accepted."""
    job = f"{number + 1:016x}"
    site.shapes[job] = (CPU, MEM, WORK_S, "done")
    step = {"count": TASKS, "cpu": CPU, "memMb": MEM, "estimateMs": int(WORK_S * 1000)}
    body = json.dumps({"spec": "short tasks", "steps": [step]}).encode()
    for _ in range(8):
        daemon = random.choice([daemon for daemon in site.daemons if daemon.is_up()])
        status, _ = await standin.request(
            daemon.ip, daemon.front, "POST", standin.PREFIX + job, body, CLIENT_TIMEOUT_S)
        site.record.add(f"client  POST {job} at {daemon.name}: {status}")
        if status == 200:
            accepted[job] = site.record.now()
            return
        await asyncio.sleep(0.5)


async def state(site, job):
    for daemon in site.daemons:
        status, body = await standin.request(
            daemon.ip, daemon.front, "GET", standin.PREFIX + job, b"", CLIENT_TIMEOUT_S)
        site.record.add(f"client  GET {job} at {daemon.name}: {status} {body.decode()}")
        if status == 200:
            return json.loads(body)["state"]
        if status == 410:
            return "no such job"
    return None


def used_cpu(site):
    return sum(run.cpu for worker in site.machines.values() for run in worker.runs.values())


async def find_lost(site, accepted, losses):
    """Jobs that aren't known, or that have run nothing for 3 s although a task's turn has come and
    under half of the capacity is in use."""
    states = {job: await state(site, job) for job in accepted}
    unfinished = {job for job, known in states.items() if known not in ("succeeded", "failed")}
    began, used = site.record.now(), 0
    while site.record.now() - began < 3:
        await asyncio.sleep(0.05)
        used = max(used, used_cpu(site))
        for task, runs in site.running.items():
            if runs:
                unfinished.discard(task.split(".")[0])
    starts = {task.split(".")[0] for at, task, *_ in site.starts if at >= began}
    capacity = sum(worker.cpu for worker in site.machines.values())
    site.record.say(f"{used / 1000} of {capacity / 1000} cores are in use at most")
    if used * 2 >= capacity:
        return []
    done = {task for _, task, _, how, *_ in site.ends if how == "done"}
    return [
        f"LOST: {job}, accepted at {accepted[job]:.3f}, is {states[job]} and runs nothing from "
        f"{began:.3f} to {site.record.now():.3f}; {sum(t.startswith(job) for t in done)} of {TASKS} "
        f"tasks are done, the last loss of power was at {losses[-1] if losses else 0:.3f}"
        for job in sorted(unfinished - starts)
    ]


async def main(site, trouble):
    await site.start(DAEMONS, WORKERS)
    await asyncio.sleep(2)
    began = site.record.now()
    accepted, tasks, losses = {}, [], []
    number = 0
    while site.record.now() - began < LOSSES * EVERY_S + 6:
        tasks.append(asyncio.create_task(hand_in(site, number, accepted)))
        number += 1
        due = len(losses) * EVERY_S + 3
        if trouble and len(losses) < LOSSES and site.record.now() - began >= due:
            losses.append(site.record.now())
            tasks.append(asyncio.create_task(site.lose_power(site.leader(), DARK_S)))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    site.record.say(f"{number} jobs, {len(accepted)} accepted; the traffic ends")
    await asyncio.sleep(FINISH_S)
    return await find_lost(site, accepted, losses)


standin.run(main, FOLDER)
