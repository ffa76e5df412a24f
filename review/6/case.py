"""Case 6: a machine is cut off from the others, then one partition of the store is down; clients cancel jobs meanwhile."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin2"))
from platform2 import call, now, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT_S = 11.0                    # the pages: single machines are cut off for 12 s
DOWN_S = 4.5                    # the pages: so many of the partitions are down for 4.5 s
CANCEL_S, STOP_S, CONTACT_S = 3.0, 0.9, 3.0  # the bounds `cancel_ms`, `stop_ms`, `contactMs`
CANCELS_AFTER_S = 1.0           # when a client cancels its job after it was accepted


async def main(site, judge, record):
    site.work = lambda task: None
    site.has_links = True
    await site.start()
    leader = site.leader()
    others = [daemon for daemon in site.daemons if daemon is not leader]
    node, asked = others[0], others[1]
    used = {}

    def watch(name, path, topic, part, body):
        if name == node.name and path == "/api/log-append" and topic == "keyed.jobs" and body:
            used["part"] = part
        return None

    site.store.fault = watch
    acknowledged, answers = {}, []

    async def client(n):
        job = "%016x" % (0xd000 + n)
        site.jobs[job] = body = {"spec": "lasting", "steps": [{"count": 1, "cpu": 50, "memMb": 10, "estimateMs": 500, "longRunning": True}]}
        status, _ = await call(node.front, "POST", "/q/" + job, body, 3.0)
        record.line("POST %s at %s -> %d" % (job, node.name, status))
        if status != 200:
            return
        await asyncio.sleep(CANCELS_AFTER_S)
        for _ in range(10):
            status, _ = await call(asked.front, "DELETE", "/q/" + job, None, 3.0)
            record.line("DELETE %s at %s -> %d" % (job, asked.name, status))
            if status in (200, 410):
                acknowledged[job] = now()
                answers.append(status)
                return
            await asyncio.sleep(0.3)

    if TROUBLE:
        site.cut_off(node, True)
    cut = now()
    await asyncio.sleep(2.0)
    clients = []
    for n in range(24):
        clients.append(asyncio.create_task(client(n)))
        await asyncio.sleep(0.04)
    down = now()
    if TROUBLE:
        part = used["part"]
        if part == 0:
            raise RuntimeError("the machine writes to the partition of the cancels: nothing to see")
        record.line("partition %d of keyed.jobs is down" % part)
        site.store.fault = lambda name, path, topic, number, body: "busy" if topic == "keyed.jobs" and number == part else None
    await asyncio.sleep(DOWN_S)
    site.store.fault = lambda *_: None
    record.line("all partitions are up again")
    await asyncio.gather(*clients)
    await asyncio.sleep(max(0.0, cut + CUT_S - now()))
    if TROUBLE:
        site.cut_off(node, False)
    judge.cancelled.update(acknowledged)
    # From here on nothing is disturbed any more, and all machines are in touch.
    await asyncio.sleep(max(max(acknowledged.values()) + CANCEL_S + STOP_S, now() + CONTACT_S) + 6.0 - now())
    record.line("%d cancels acknowledged, %s" % (len(acknowledged), sorted(set(answers))))
    for machine in site.machines.values():
        for run in machine["worker"].runs.values():
            job = run.task.split(".")[0]
            if job in acknowledged:
                status, answer = await call(asked.front, "GET", "/q/" + job, None, 3.0)
                record.line("GET %s at %s -> %d %s" % (job, asked.name, status, answer))
                judge.break_rule("UNASKED", "%s is at work %.1f s after the acknowledged cancel" % (run.task, now() - acknowledged[job]))


if __name__ == "__main__":
    run_case(main, os.path.dirname(os.path.abspath(__file__)), TROUBLE, daemons=4, machines=8)
