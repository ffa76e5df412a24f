"""Case 5: the store leaves the writes of one job unanswered for 1.8 s; the client gets 504, cancels and gets 410."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin2"))
from platform2 import call, now, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LATE_S = 6.0                    # the pages: done 1 to 6 s later
MAX_SHARE, MAX_WINDOW_S = 0.3, 4.5  # the pages: a share of 0.3 of the writes, for 4.5 s
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0  # the bounds `cancel_ms`, `stop_ms`, `contactMs`
JOB = "5c0e7a21d94b36f8"


async def main(site, judge, record):
    site.work = lambda task: None if task.startswith(JOB) else 0.3
    await site.start()
    leader = site.leader()
    others = [daemon for daemon in site.daemons if daemon is not leader]
    node, asked = others[0], others[1]
    writes, lost = [], []

    def fault(name, path, topic, part, body):
        if path != "/api/log-append":
            return None
        writes.append(now())
        if topic == "keyed.jobs" and JOB.encode() in body:
            lost.append(now())
            record.line("the store leaves a write of %s unanswered and takes it %.1f s later" % (name, LATE_S))
            return ("late", LATE_S)
        return None

    async def traffic():
        """Other clients, at the other nodes."""
        while True:
            job = "%016x" % random.getrandbits(64)
            site.jobs[job] = {"spec": "other", "steps": [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 300}]}
            daemon = random.choice(others[1:] + [leader])
            asyncio.create_task(call(daemon.front, "POST", "/q/" + job, site.jobs[job], 3.0))
            await asyncio.sleep(0.05)

    background = asyncio.create_task(traffic())
    await asyncio.sleep(1.0)
    if TROUBLE:
        site.store.fault = fault
    began = now()
    site.jobs[JOB] = body = {"spec": "lasting", "steps": [{"count": 2, "cpu": 500, "memMb": 100, "estimateMs": 500, "longRunning": True}]}
    status, _ = await call(node.front, "POST", "/q/" + JOB, body, 3.0)
    record.line("POST %s at %s -> %d" % (JOB, node.name, status))
    window = now() - began
    site.store.fault = lambda *_: None
    if lost:
        share = len(lost) / len(writes)
        record.line("%d of %d writes in %.1f s were left unanswered (%.2f)" % (len(lost), len(writes), window, share))
        if share > MAX_SHARE or window > MAX_WINDOW_S:
            raise RuntimeError("more writes were lost than the pages allow")
    acknowledged = None
    for _ in range(10):
        status, _ = await call(asked.front, "DELETE", "/q/" + JOB, None, 3.0)
        record.line("DELETE %s at %s -> %d" % (JOB, asked.name, status))
        if status in (200, 410):
            acknowledged = now()
            break
        await asyncio.sleep(0.3)
    if acknowledged is None:
        raise RuntimeError("the cancel was not acknowledged")
    judge.cancelled[JOB] = acknowledged  # a start more than cancel_ms after this breaks UNASKED
    # From here on nothing is disturbed any more, and all machines are in touch.
    await asyncio.sleep(max(acknowledged + CANCEL_S + STOP_S, began + window + CONTACT_S) + 8.0 - now())
    status, answer = await call(asked.front, "GET", "/q/" + JOB, None, 3.0)
    record.line("GET %s at %s -> %d %s" % (JOB, asked.name, status, answer))
    background.cancel()
    for machine in site.machines.values():
        for run in machine["worker"].runs.values():
            if run.task.startswith(JOB):
                judge.break_rule("UNASKED", "%s is at work %.1f s after the acknowledged cancel" % (run.task, now() - acknowledged))


if __name__ == "__main__":
    run_case(main, os.path.dirname(os.path.abspath(__file__)), TROUBLE, daemons=4, machines=8)
