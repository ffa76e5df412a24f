"""Long-running jobs are handed in and cancelled while the leader freezes and wakes again."""

import asyncio
import json
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
import standin  # noqa: E402

DAEMONS = 6
WORKERS = 8
# Jobs a second, less than twice as many as the clients of the site hand in.
RATE = 40
TRAFFIC_S = 24.0
FREEZES_AT = (4.0, 13.0)
FROZEN_S = 4.0
# A job is cancelled up to so long after its acknowledgement.
CANCEL_AFTER_S = 0.4
CLIENT_TIMEOUT_S = 3.0
# Tasks that last may fail at any time; these do after so long.
LASTS_S = 7.0
CALM_S = 16.0


class Client:
    """Hands in one long-running job, and cancels it."""

    def __init__(self, site, number):
        self.site, self.job = site, f"{number + 1:016x}"
        self.accepted_at = self.cancelled_at = self.cancel_status = None
        site.shapes[self.job] = (100, 64, LASTS_S, "failed")

    async def cancel(self):
        """Cancels on a connection that has been open since before the traffic, if one is left; an
        open connection remains with its node. After silence or an error, at any node."""
        if not self.site.open:
            return await self.call("DELETE", b"", (200, 410))
        daemon, reader, writer = self.site.open.pop()
        status = 0
        try:
            async with asyncio.timeout(CLIENT_TIMEOUT_S):
                status, _ = await standin.exchange(
                    reader, writer, "DELETE", standin.PREFIX + self.job, b"",
                    int(CLIENT_TIMEOUT_S * 1000))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()
        self.site.record.add(f"client  DELETE {self.job} at {daemon.name}, open before: {status}")
        return status if status in (200, 410) else await self.call("DELETE", b"", (200, 410))

    async def call(self, method, body, final):
        """Sends a request, at any node that answers probes, until its answer is final."""
        first = random.randrange(DAEMONS)
        for attempt in range(12):
            daemon = self.site.daemons[(first + attempt) % DAEMONS]
            if daemon is self.site.frozen:
                continue
            status, _ = await standin.request(daemon.ip, daemon.front, method,
                                              standin.PREFIX + self.job, body, CLIENT_TIMEOUT_S)
            self.site.record.add(f"client  {method} {self.job} at {daemon.name}: {status}")
            if status in final:
                return status
            await asyncio.sleep(0.3)
        return None

    async def run(self):
        step = {"count": 1, "cpu": 100, "memMb": 64, "estimateMs": 500, "longRunning": True}
        body = json.dumps({"spec": "lasts", "steps": [step]}).encode()
        if await self.call("POST", body, (200,)) is None:
            return
        self.accepted_at = self.site.record.now()
        await asyncio.sleep(random.uniform(0.05, CANCEL_AFTER_S))
        self.cancel_status = await self.cancel()
        if self.cancel_status:
            self.cancelled_at = self.site.record.now()


def find_unasked(site, clients, disrupted_at):
    """Starts later than `cancel_ms` after the acknowledgement of a job's cancelling, and tasks that
    run on `stop_ms` past that point; both with no disruption in the last `contactMs`."""
    contact = standin.BOUNDS["contactMs"] / 1000
    cancel = standin.BOUNDS["cancel_ms"] / 1000
    stop = standin.BOUNDS["stop_ms"] / 1000
    by_job = {client.job: client for client in clients if client.cancelled_at}
    broken = []
    for at, task, run, worker, _ in site.starts:
        client = by_job.get(task.split(".")[0])
        late = client and at > client.cancelled_at + cancel
        if late and not any(at - contact <= moment <= at for moment in disrupted_at):
            broken.append(
                f"UNASKED: {task} (run {run} on {worker}) was started at {at:.3f}; its job was "
                f"accepted at {client.accepted_at:.3f} and its cancelling acknowledged with "
                f"{client.cancel_status} at {client.cancelled_at:.3f}")
    now = site.record.now()
    for task, runs in site.running.items():
        client = by_job.get(task.split(".")[0])
        if runs and client and now > max([client.cancelled_at, *disrupted_at]) + contact + cancel + stop:
            broken.append(
                f"UNASKED: {task} still runs at {now:.3f}, its cancelling was acknowledged with "
                f"{client.cancel_status} at {client.cancelled_at:.3f}")
    return broken


async def main(site, trouble):
    await site.start(DAEMONS, WORKERS)
    await asyncio.sleep(2)
    began = site.record.now()
    clients, tasks, disrupted_at = [], [], []
    site.frozen, site.open = None, []
    for _ in range(int(RATE * TRAFFIC_S / DAEMONS)):
        for daemon in site.daemons:
            site.open.append((daemon, *await asyncio.open_connection(daemon.ip, daemon.front)))
    random.shuffle(site.open)
    freezes = list(FREEZES_AT) if trouble else []
    while site.record.now() - began < TRAFFIC_S:
        client = Client(site, len(clients))
        clients.append(client)
        tasks.append(asyncio.create_task(client.run()))
        if freezes and site.record.now() - began >= freezes[0]:
            freezes.pop(0)
            leader = site.leader()
            site.record.say(f"{leader.name}, which leads, is frozen")
            leader.signal(signal.SIGSTOP)
            site.frozen = leader
            disrupted_at += [site.record.now() + s for s in (0, 1, 2, 3, FROZEN_S)]
            wake_at = site.record.now() + FROZEN_S
        if site.frozen and site.record.now() >= wake_at:
            site.frozen.signal(signal.SIGCONT)
            site.record.say(f"{site.frozen.name} wakes")
            site.frozen = None
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    site.record.say(f"{len(clients)} jobs, {sum(1 for c in clients if c.accepted_at)} accepted, "
                    f"cancels answered 410: {sum(1 for c in clients if c.cancel_status == 410)}, "
                    f"200: {sum(1 for c in clients if c.cancel_status == 200)}")
    await asyncio.sleep(CALM_S)
    return find_unasked(site, clients, disrupted_at)


standin.run(main, FOLDER)
