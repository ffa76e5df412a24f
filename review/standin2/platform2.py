"""Stand-ins of the users' platform for review scripts: store, workers, machines, advice, clients.

They follow the pages (PROTOCOL.md, DEPLOY.md): every server speaks HTTP/1.1 on a loopback address.
Faults are injected by hooks, which a script sets; without hooks they are sound.
"""
import asyncio
import base64
import json
import os
import random
import signal
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.environ.get("REVIEW_ROOT") or os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
START = time.monotonic()


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def line(self, text):
        self.file.write("%8.3f %s\n" % (now(), text))


class Silence(Exception):
    """The call gets no answer, and the connection says nothing further."""


class Reset(Exception):
    """The connection is reset."""


class Server:
    """A small HTTP server: `handler(method, path, query, headers, body)` returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.addr = None

    async def start(self, ip="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.connection, ip, port, backlog=512)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.addr = "%s:%d" % (host, port)
        return self

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                status, answer = await self.handler(method, path, query, headers, body)
                kind = b"application/json"
                if isinstance(answer, (dict, list)):
                    answer = json.dumps(answer).encode()
                else:
                    kind = b"application/octet-stream"
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (status, kind, len(answer)) + answer)
                await writer.drain()
        except Silence:
            # The connection stays open and says nothing further.
            try:
                while await reader.read(65536):
                    pass
            except (ConnectionError, asyncio.CancelledError):
                pass
        except Reset:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Link:
    """A proxy between two daemons; a cut one forwards nothing and says nothing."""

    def __init__(self, target):
        self.target, self.cut = target, False
        self.addr = None

    async def start(self, ip):
        port = 0
        while not 20000 <= port < 30000:  # encoded as long as the ports that the daemons are given
            try:
                server = await asyncio.start_server(self.connection, ip, random.randrange(20000, 30000))
            except OSError:
                continue
            port = server.sockets[0].getsockname()[1]
        self.addr = (ip, port)
        return self

    async def connection(self, reader, writer):
        async def pass_on(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    while self.cut:
                        await asyncio.sleep(0.02)
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, OSError):
                pass
            finally:
                sink.close()
        try:
            while self.cut:
                await asyncio.sleep(0.02)
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(pass_on(reader, other_writer), pass_on(other_reader, writer))


def encoded_address(addr):
    """An address as the daemons write it in their records."""
    ip, port = addr
    raw = bytes([0]) + bytes(int(part) for part in ip.split("."))
    while port >= 0x80:
        raw += bytes([port & 0x7F | 0x80])
        port >>= 7
    return raw + bytes([port])


class Log:
    def __init__(self):
        self.records = []  # (key, value or None)
        self.first = 0
        self.producers = {}
        self.turn = asyncio.Lock()
        self.changed = asyncio.Event()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The metadata store. `fault(node, path, topic, part, body)` returns None, "busy", "silent",
    "reset", "lost", ("late", seconds) or ("slow", seconds)."""

    def __init__(self):
        self.logs = {}
        self.fault = lambda node, path, topic, part, body: None
        self.servers = {}
        self.views = {}
        self.calls = 0
        self.writes = 0

    async def endpoint(self, node):
        async def handle(method, path, query, headers, body):
            return await self.handle(node, path, query, body)
        server = await Server(handle).start()
        self.servers[node] = server
        return server.addr

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, int(part)), Log())

    def put(self, topic, key, value):
        log = self.log(topic)
        log.records.append((key, None if value is None else json.dumps(value).encode()))
        log.wake()

    def get(self, topic, key, part=0):
        for name, value in reversed(self.log(topic, part).records):
            if name == key:
                return value
        return None

    def forget_history(self, topics=None):
        for (topic, _), log in self.logs.items():
            if topics is None or topic in topics:
                log.first = len(log.records)
                log.wake()

    async def handle(self, node, path, query, body):
        self.calls += 1
        topic, part = query.get("topic", ""), int(query.get("part", "0"))
        write = path == "/api/log-append"
        self.writes += write
        fault = self.fault(node, path, topic, part, body)
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            raise Silence
        if fault == "reset":
            raise Reset
        if isinstance(fault, tuple) and fault[0] == "slow":
            await asyncio.sleep(fault[1])
        if isinstance(fault, tuple) and fault[0] == "late" and write:
            async def later():
                await asyncio.sleep(fault[1])
                await self.append(topic, part, query, body)
            asyncio.create_task(later())
            raise Silence
        if write:
            answer = await self.append(topic, part, query, body)
            if fault == "lost":
                raise Silence
            await asyncio.sleep(0.002)
            return answer
        if path == "/api/log-read":
            return await self.read(topic, part, query, self.views.get(node))
        if path == "/api/log-newest":
            return self.newest(topic, part, query, self.views.get(node))
        return 404, {}

    @staticmethod
    def seen(value, view):
        """A record as a daemon sees it that reaches the others through proxies."""
        for real, proxy in view or ():
            value = value.replace(real, proxy)
        return value

    async def append(self, topic, part, query, body):
        log = self.log(topic, part)
        async with log.turn:
            await asyncio.sleep(0.001)
            records = []
            at = 0
            while at < len(body):
                (length,) = struct.unpack_from(">I", body, at)
                key_length = body[at + 4]
                key = body[at + 5:at + 5 + key_length].decode()
                value = body[at + 5 + key_length:at + 4 + length]
                records.append((key, value or None))
                at += 4 + length
            end = len(log.records)
            if "at" in query and int(query["at"]) != end:
                return 412, {"end": end}
            if "producer" in query:
                epoch, seq = int(query["epoch"]), int(query["seq"])
                known = log.producers.get(query["producer"])
                if known and epoch < known["epoch"]:
                    return 409, {"reason": "fenced"}
                if known and epoch == known["epoch"]:
                    if seq in known["answers"]:
                        return 200, known["answers"][seq]
                    if seq != known["seq"] + 1:
                        return 409, {"reason": "seq", "seq": known["seq"] + 1}
                else:
                    known = {"epoch": epoch, "seq": seq, "answers": {}}
                    log.producers[query["producer"]] = known
                known["seq"] = seq
                known["answers"][seq] = {"offset": end, "end": end + len(records)}
                for old in sorted(known["answers"])[:-5]:
                    del known["answers"][old]
            log.records.extend(records)
            log.wake()
            return 200, {"offset": end, "end": len(log.records)}

    async def read(self, topic, part, query, view=None):
        log = self.log(topic, part)
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(log.records) <= start and start >= log.first:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(log.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        if start < log.first:
            return 410, {"first": log.first}
        out = [struct.pack(">QQ", len(log.records), log.first)]
        size = 0
        for key, value in log.records[start:]:
            value = self.seen(value or b"", view if topic in ("keyed.nodes", "keyed.lead") else None)
            raw = key.encode()
            out.append(struct.pack(">IB", 1 + len(raw) + len(value), len(raw)) + raw + value)
            size += len(out[-1])
            if size > 1_000_000:
                break
        return 200, b"".join(out)

    def newest(self, topic, part, query, view=None):
        log = self.log(topic, part)
        newest = {}
        for offset, (key, value) in enumerate(log.records):
            newest[key] = (offset, value)
        items, more, size = [], False, 0
        for key in sorted(newest):
            if key <= query.get("after", "") or newest[key][1] is None:
                continue
            if len(items) >= 500 or size > 1_000_000:
                more = True
                break
            offset, value = newest[key]
            value = self.seen(value, view if topic in ("keyed.nodes", "keyed.lead") else None)
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "more": more, "end": len(log.records)}


class Run:
    def __init__(self, task, run, work, checkpoint, step):
        self.task, self.run, self.work, self.step = task, run, work, step
        self.began = time.monotonic()
        self.base = 0.0
        if checkpoint and step.get("checkpointing"):
            self.base = int(checkpoint.split("-")[-1]) / 1000
        self.stops = None
        self.fails = False
        self.ready = True  # members of a gang wait for the others

    def done_work(self):
        return self.base + (time.monotonic() - self.began if self.ready else 0.0)

    def saved(self):
        if not self.step.get("checkpointing"):
            return ""
        return "%s-%d" % (self.task, int(self.done_work() * 2) * 500)


class Worker:
    """One life of a worker. `fault(path, body)` returns None, "silent", "reset", "busy", "lost" or
    ("late", seconds)."""

    count = 0

    def __init__(self, site, machine, service):
        Worker.count += 1
        self.site, self.machine, self.service = site, machine, service
        self.id = "i-%08x%04d" % (random.getrandbits(32), Worker.count)
        self.name = machine["machine"]
        self.born = time.monotonic()
        self.runs, self.barred, self.ends = {}, {}, []
        self.last_end, self.acked, self.fence, self.lease = 0, 0, 0, 0
        self.alive, self.state = True, "ready"
        self.fault = lambda path, body: None
        self.wake = asyncio.Event()
        self.listed = True
        self.lapsed_at = 0.0

    async def start(self):
        self.server = await Server(self.handle).start()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        self.site.record.line("worker %s (%s) begins on %s" % (self.id, self.service, self.name))
        return self

    def entry(self):
        entry = {"service": self.service, "address": self.server.addr, "zone": self.machine["zone"], "version": "v1", "slots": 8,
                 "state": self.state, "coldRemainingMs": 0, "seq": int((time.monotonic() - self.born) * 2), "capacity": self.machine["capacity"],
                 "labels": self.machine["labels"], "machine": self.name}
        if self.state == "draining":
            entry["remainingMs"] = 2000
        return entry

    async def beat(self):
        while True:
            if self.listed:
                self.site.store.put("keyed.servers", self.id, self.entry())
            await asyncio.sleep(1.5)

    def clock(self):
        return 1000 + int((time.monotonic() - self.born) * 1000)

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.last_end += 1
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        saved = run.saved()
        self.ends.append([self.last_end, run.task, run.run, how, saved])
        self.site.judge.ended(self, run, how)
        self.wake.set()
        self.wake = asyncio.Event()
        if run.step.get("gang") and how not in ("broken", "alone"):
            self.site.gang_ended(run, how)

    async def tick(self):
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock()
            if clock > self.lease:
                self.lapsed_at = time.monotonic()
            for run in list(self.runs.values()):
                if clock > self.lease:
                    self.end(run, "lapsed")
                elif run.stops and time.monotonic() >= run.stops:
                    self.end(run, "stopped")
                elif run.ready and run.work is not None and run.done_work() >= run.work:
                    self.end(run, "failed" if run.fails else "done")
                elif not run.ready and time.monotonic() - run.began > self.site.gang_s:
                    self.end(run, "alone")

    def crash(self, keep_entry_s=3.0):
        """The worker ends and says nothing; its entry goes after three heartbeats of silence."""
        if not self.alive:
            return
        self.alive = False
        self.site.record.line("worker %s ends with %d runs" % (self.id, len(self.runs)))
        for task in self.tasks:
            task.cancel()
        self.server.stop()
        for run in list(self.runs.values()):
            self.site.judge.lost(self, run)
            if run.step.get("gang"):
                self.site.gang_ended(run, "lost")
        self.runs = {}

        async def unlist():
            await asyncio.sleep(keep_entry_s)
            self.site.store.put("keyed.servers", self.id, None)
        if self.listed:
            asyncio.create_task(unlist())

    async def handle(self, method, path, query, headers, body):
        if method == "GET":
            return 200, {}
        message = json.loads(body)
        expected = headers.get("x-expected-instance")
        if expected and expected != self.id:
            return 421, {}
        fault = self.fault(path, message)
        if fault == "silent":
            raise Silence
        if fault == "reset":
            raise Reset
        if fault == "busy":
            return 503, {}
        if isinstance(fault, tuple):
            async def later():
                await asyncio.sleep(fault[1])
                if self.alive:
                    answer = await self.execute(path, message, late=True)
                    self.site.record.line("late %s at %s: %s %s" % (path, self.id, message.get("task"), answer))
            asyncio.create_task(later())
            raise Silence
        answer = await self.execute(path, message)
        if fault == "lost":
            raise Silence
        return answer

    def refuse(self, reason):
        return 409, {"clockMs": self.clock(), "reason": reason}

    async def execute(self, path, message, late=False):
        token = message.get("fencingToken", 0)
        if token < self.fence:
            return self.refuse("fence")
        self.fence = token
        clock = self.clock()
        deadline = message.get("deadlineMs")
        if deadline is not None and path in ("/api/run-start", "/api/hold"):
            if path == "/api/run-start" and deadline <= clock:
                return self.refuse("late")
            self.lease = max(self.lease, min(deadline, clock + 10000))
        if path == "/api/run-start":
            return self.run_start(message, late)
        if path == "/api/run-stop":
            task, run = message["task"], message["run"]
            self.barred[task] = max(self.barred.get(task, 0), run)
            here = self.runs.get(task)
            if here and here.run == run and not here.stops:
                here.stops = time.monotonic() + 0.1
            return 200, {"clockMs": self.clock()}
        if path == "/api/hold":
            seen = message.get("lastSeen", 0)
            if seen > self.acked:
                self.acked = seen
                for end in self.ends:
                    if end[0] <= seen:
                        self.site.judge.noted(self, end)
                self.ends = [end for end in self.ends if end[0] > seen]
            until = time.monotonic() + min(message.get("waitMs", 0), 2000) / 1000
            while not self.ends and self.alive:
                left = until - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.wake.wait(), left)
                except asyncio.TimeoutError:
                    break
            running = []
            for run in self.runs.values():
                percent = 100 if run.work is None else min(99, int(100 * run.done_work() / run.work))
                running.append([run.task, run.run, run.saved(), percent, 500])
            return 200, {"clockMs": self.clock(), "running": running, "ended": self.ends[:500]}
        if path == "/api/pace":
            return 200, {"clockMs": self.clock()}
        return 400, {}

    def run_start(self, message, late):
        task, run = message["task"], message["run"]
        here = self.runs.get(task)
        if here and here.run == run:
            return 200, {"clockMs": self.clock()}
        if here or run <= self.barred.get(task, 0):
            return self.refuse("old")
        step = self.site.step(task)
        if step is None:
            self.site.judge.break_rule("UNASKED", "%s started, which no client sent" % task)
            return 400, {}
        used = [self.site.step(other) for other in self.runs]
        for key in ("cpu", "memMb"):
            total = sum(0 if key == "cpu" and s.get("fills") else s.get(key, 0) for s in used + [step])
            if total > self.machine["capacity"][key]:
                if self.site.guards:
                    return self.refuse("room")
                self.site.judge.break_rule("LIMIT", "%s on %s over its %s" % (task, self.id, key))
        job = self.site.jobs[task.split(".")[0]]
        if step.get("requires") and step["requires"] not in self.machine["labels"]:
            self.site.judge.break_rule("ROUTE", "%s on %s without label" % (task, self.id))
        if job.get("advised") and message.get("ticket") != "t-" + self.id:
            return self.refuse("ticket")
        new = Run(task, run, self.site.work(task), message.get("checkpoint", ""), step)
        new.fails = self.site.fails(task, run)
        self.runs[task] = new
        self.barred[task] = max(self.barred.get(task, 0), run)
        self.site.judge.started(self, new, message, late)
        if step.get("gang"):
            new.ready = False
            self.site.gang_joined(self, new)
        return 200, {"clockMs": self.clock()}


class Site:
    """Everything around the daemons, and the daemons as processes."""

    def __init__(self, record, judge, daemons=4, machines=8, guards=True, services=("work",), labels=lambda n: ["a"], per_rack=4, cpu=8000):
        self.record, self.judge, self.guards = record, judge, guards
        self.store = Store()
        self.jobs, self.gangs = {}, {}
        self.gang_s = 3.0
        self.down_s = {"moving": 1.5, "upkeep": 2.0}
        self.machines = {}
        for n in range(machines):
            service = services[n % len(services)]
            name = "m-%02d" % n
            self.machines[name] = {"machine": name, "pool": service, "state": "up", "zone": "hall-a",
                                   "labels": labels(n) + ["r1-%d" % (n // per_rack)], "capacity": {"cpu": cpu, "memMb": 32000, "gpu": 0}, "worker": None, "fence": 0}
        self.services = services
        self.waves_done = {}
        self.has_links, self.links = False, {}
        self.count = daemons
        self.daemons = []
        self.folder = tempfile.mkdtemp(prefix="spokelift-review-")
        self.version = 0
        self.extra_routes = []
        self.work = lambda task: 0.5
        self.fails = lambda task, run: False
        self.cloud_fault = lambda path, body: None
        self.advice_delay = 0.005

    # Jobs as the clients sent them: what workers know of their tasks.
    def step(self, task):
        job, _, step, index = task.split(".")
        job = self.jobs.get(job)
        if job is None or int(step) >= len(job["steps"]) or int(index) >= job["steps"][int(step)]["count"]:
            return None
        return job["steps"][int(step)]

    def gang_key(self, run):
        job, time_, step, _ = run.task.split(".")
        return (job, time_, step, run.run)

    def gang_joined(self, worker, run):
        gang = self.gangs.setdefault(self.gang_key(run), [])
        gang.append((worker, run))
        live = [(w, r) for w, r in gang if w.runs.get(r.task) is r]
        if len(live) == run.step["count"]:
            for _, member in live:
                member.ready = True
                member.began = time.monotonic()

    def gang_ended(self, run, how):
        for worker, member in self.gangs.get(self.gang_key(run), []):
            if member is not run and worker.alive and worker.runs.get(member.task) is member:
                if member.ready:
                    worker.end(member, "done" if how == "done" else "broken")

    # Machines.
    async def cloud(self, method, path, query, headers, body):
        fault = self.cloud_fault(path, body)
        if fault == "silent":
            raise Silence
        if fault == "busy":
            return 503, {}
        if path == "/api/machines":
            rows = []
            for m in self.machines.values():
                worker = m["worker"]
                rows.append({"machine": m["machine"], "pool": m["pool"], "state": m["state"], "zone": m["zone"], "labels": m["labels"],
                             "capacity": m["capacity"], "id": worker.id if worker and worker.alive else ""})
            return 200, {"machines": rows, "nextToken": None}
        message = json.loads(body)
        m = self.machines.get(message.get("machine"))
        if m is None:
            return 400, {}
        token, holder = int(headers["x-fencing-token"]), headers["x-lease-holder"]
        if token < m["fence"]:
            return 409, {"reason": "fence"}
        m["fence"] = token
        wave = message.get("wave")
        if wave is not None and m["machine"] in self.waves_done.get(wave, set()):
            return 200, {}
        if wave is None and m["pool"] == message["pool"]:
            return 200, {}
        if m["state"] != "up":
            return 409, {"reason": "busy"}
        self.record.line("%s %s by %s token %d" % (path, message, holder, token))
        if wave is None:
            m["pool"], m["state"] = message["pool"], "moving"
        else:
            self.waves_done.setdefault(wave, set()).add(m["machine"])
            m["state"] = "upkeep"
        if m["worker"]:
            m["worker"].crash(0.0)
        asyncio.create_task(self.bring_up(m, self.down_s[m["state"]]))
        return 200, {}

    async def bring_up(self, m, after):
        await asyncio.sleep(after)
        m["state"] = "up"
        m["worker"] = await Worker(self, m, m["pool"]).start()

    async def crash_machine(self, name, down_s):
        m = self.machines[name]
        if m["state"] != "up" or not m["worker"] or not m["worker"].alive:
            return
        m["state"] = "down"
        m["worker"].crash()
        await self.bring_up(m, down_s)

    async def advice(self, method, path, query, headers, body):
        message = json.loads(body)
        await asyncio.sleep(self.advice_delay)
        good = [[worker, "t-" + worker] for worker in message["workers"] if self.advised(message["step"], worker)]
        return 200, {"good": good, "valid_ms": 2000}

    def advised(self, step, worker):
        return hash((step, worker)) % 2 == 0

    def config(self):
        def route(name, **more):
            return dict({"name": name, "host": "site.example", "pathPrefix": "/%s/" % name, "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 600,
                         "priority": 0, "service": self.services[0], "maxAttempts": 3, "stretch": 1.6}, **more)
        routes = [route("q"), route("advised", advice={"decide_ms": 5, "each_ms": 0.1, "valid_ms": 2000})]
        for n, service in enumerate(self.services[1:]):
            routes.append(route("q%d" % (n + 1), service=service))
        self.version += 1
        return {"version": self.version, "routes": routes + [route(n) for n in self.extra_routes],
                "services": [{"name": s, "enforcesCapacity": self.guards, "headroom": False} for s in self.services],
                "limits": {"maxBodyBytes": 262144}}

    async def start(self):
        self.store.put("keyed.op", "config", self.config())
        cloud = await Server(self.cloud).start()
        advice = await Server(self.advice).start()
        for m in self.machines.values():
            m["worker"] = await Worker(self, m, m["pool"]).start()
        base = random.randrange(1, 250)
        for n in range(self.count):
            d = Daemon(self, n, "127.%d.%d.%d" % (random.randrange(2, 250), base, random.randrange(2, 250)))
            await d.prepare(cloud.addr, advice.addr)
            self.daemons.append(d)
        if self.has_links:
            for one in self.daemons:
                for other in self.daemons:
                    if one is not other:
                        self.links[one, other] = await Link(other.peer).start("127.0.0.1")
                self.store.views[one.name] = [(encoded_address(other.peer), encoded_address(self.links[one, other].addr))
                                              for other in self.daemons if other is not one]
        for d in self.daemons:
            d.start()
        while not all([await d.ready() for d in self.daemons]):
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)

    def cut_off(self, daemon, is_cut):
        """Cuts a daemon off from all others, which reach the store, the workers and the clients as before."""
        for (one, other), link in self.links.items():
            if daemon in (one, other):
                link.cut = is_cut
        self.record.line("%s %s the other machines" % (daemon.name, "is cut off from" if is_cut else "reaches"))

    def leader(self):
        """The daemon that holds the lease, by the newest record in the store."""
        raw = self.store.get("keyed.lead", "lead")
        if not raw:
            return None
        for d in self.daemons:
            if raw[1:1 + raw[0]].decode("latin-1") == d.name:
                return d
        return None

    def stop(self):
        for d in self.daemons:
            d.kill()

    def sound(self):
        """Ends all faults."""
        self.store.fault = lambda *_: None
        self.cloud_fault = lambda *_: None
        for m in self.machines.values():
            if m["worker"]:
                m["worker"].fault = lambda path, body: None
        for d in self.daemons:
            d.signal(signal.SIGCONT)
            if not d.running():
                d.start()


def free_ports(ip, count):
    import socket
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((ip, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Daemon:
    def __init__(self, site, number, ip):
        self.site, self.number, self.ip, self.name = site, number, ip, "front-hall-a-%d" % (number + 1)
        self.child = None
        self.starts = 0

    async def prepare(self, cloud, advice):
        front, readiness, control, peers = free_ports(self.ip, 4)
        peers = random.randrange(20000, 30000)
        self.peer = (self.ip, peers)
        self.front, self.readiness = "%s:%d" % (self.ip, front), "%s:%d" % (self.ip, readiness)
        store = await self.site.store.endpoint(self.name)
        self.file = os.path.join(self.site.folder, self.name + ".toml")
        self.log = os.path.join(self.site.folder, self.name + ".log")
        with open(self.file, "w") as out:
            out.write(SETTINGS.format(name=self.name, ip=self.ip, first=peers, last=peers + 15, advice=advice, front=self.front,
                                      readiness=self.readiness, control="%s:%d" % (self.ip, control), store=store, cloud=cloud, status_s=self.site.__dict__.get("status_s", 120)))

    def start(self):
        if self.running():
            return
        self.starts += 1
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["SPOKELIFT_NODE_FILE"] = self.file
        with open(self.log, "a") as log:
            self.child = subprocess.Popen([os.path.join(ROOT, "target/release/spokeliftd"), "--platform"], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.site.record.line("%s starts" % self.name)

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)
            if number != signal.SIGCONT:
                self.site.record.line("%s gets %s" % (self.name, signal.Signals(number).name))

    def kill(self):
        if self.running():
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()
            self.site.record.line("%s is killed" % self.name)

    async def ready(self):
        status, _ = await call(self.readiness, "GET", "/api/readiness", None, 0.5)
        return status == 200


SETTINGS = """node = "{name}"
role = "spokeliftd"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "hall-a"
region = "ulaanbaatar"
portRange = [{first},{last}]
seeds = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
commands = "rpc"
advice = "{advice}"
[zones]
hall-a = "ulaanbaatar"
[listen]
front = "{front}"
readiness = "{readiness}"
control = "{control}"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 10000
stop_ms = 900
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = {status_s}
far_x = 2
save_s = 0.5
restore_ms = 250
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
requireFencing = true
leaseMs = 3000
thawSlackMs = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "log"
writes_per_s = 600
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 20
part_mb = 200
ttl_min_ms = 1000
[cloudApi]
address = "{cloud}"
ratePerS = 64.0
duties = ["move","upkeep"]
dutyPerS = 64.0
"""


async def call(addr, method, path, body, limit_s, host="site.example", headers=()):
    """One call of a client on a connection of its own; (status, body), status 0 without an answer."""
    ip, port = addr.rsplit(":", 1)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(ip, int(port))
        raw = b"" if body is None else json.dumps(body).encode()
        head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n" % (method, path, host, int(limit_s * 1000))
        for name, value in headers:
            head += "%s: %s\r\n" % (name, value)
        if raw:
            head += "Content-Type: application/json\r\n"
        head += "Content-Length: %d\r\n\r\n" % len(raw)
        writer.write(head.encode() + raw)
        await writer.drain()
        answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status = int(answer.split(" ", 2)[1])
        length = 0
        for line in answer.split("\r\n"):
            if line.lower().startswith("content-length:"):
                length = int(line.split(":")[1])
        content = await reader.readexactly(length) if length else b""
        return status, json.loads(content) if content else {}
    try:
        return await asyncio.wait_for(exchange(), limit_s)
    except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer:
            writer.close()


def run_case(main, folder, trouble, limit_s=110, **options):
    """Runs a case and exits: 1 if a rule was broken, 0 if none was, 2 if the case could not run."""
    from judge import Judge
    record = Record(os.path.join(folder, "record.txt"))
    record.line("trouble %s" % ("on" if trouble else "off"))
    judge = Judge(record)
    site = Site(record, judge, **options)
    site.jobs = judge.jobs
    code = 2
    try:
        asyncio.run(asyncio.wait_for(main(site, judge, record), limit_s))
        code = 1 if judge.broken else 0
    except BaseException as error:
        record.line("the case could not run: %r" % (error,))
        print("the case could not run: %r" % (error,))
    finally:
        site.stop()
    verdict = {0: "the rules held", 1: "a rule was broken", 2: "not judged"}[code]
    record.line(verdict)
    for rule, text in judge.broken:
        print("%s: %s" % (rule, text))
    print(verdict)
    sys.stdout.flush()
    import shutil
    if not os.environ.get("KEEP"):
        shutil.rmtree(site.folder, ignore_errors=True)
    os._exit(code)
