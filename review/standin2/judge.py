"""Checks the rules by what workers and clients saw."""
import time
from platform2 import now

class Judge:
    def __init__(self, record):
        self.record, self.broken = record, []
        self.live = {}      # task -> list of (worker, run)
        self.done = {}      # task -> list of dicts
        self.pending = []   # (done entry, text): breaks TWICE if the end is noted later
        self.failed = {}
        self.cancelled = {} # job -> time of ack
        self.jobs = {}
        self.starts = 0
        self.started_jobs = {}
        self.ends = {}

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.record.line("BROKEN %s: %s" % (rule, text))

    def started(self, worker, run, message, late):
        self.starts += 1
        task = run.task
        self.record.line("start %s run %d on %s%s token %s" % (task, run.run, worker.id, " late" if late else "", message.get("fencingToken")))
        job_id, k, step_no, index = task.split(".")
        job = self.jobs[job_id]
        self.started_jobs.setdefault(job_id, now())
        if message.get("spec") != job["spec"]:
            self.break_rule("UNASKED", "%s with another spec" % task)
        cp = message.get("checkpoint", "")
        if cp:
            own = cp.rsplit("-", 1)[0]
            base = ".".join(own.split(".")[:3])
            if own != task and not (run.step.get("gang") and base == ".".join(task.split(".")[:3])):
                self.break_rule("UNASKED", "%s with checkpoint %s" % (task, cp))
        spec = run.step.get("speculative")
        for other, r in self.live.get(task, []):
            if other.alive and other.runs.get(task) is r and not spec and r is not run:
                self.break_rule("TWICE", "%s run %d on %s beside run %d on %s" % (task, run.run, worker.id, r.run, other.id))
        self.live.setdefault(task, []).append((worker, run))
        if not spec:
            for d in self.done.get(task, []):
                if d["noted"]:
                    self.break_rule("TWICE", "%s run %d after the noted end of run %d" % (task, run.run, d["run"]))
                else:
                    d["later"] = "%s run %d after the end done of run %d on %s, noted later" % (task, run.run, d["run"], d["worker"].id)
        steps = job["steps"]
        for before in steps[int(step_no)].get("after", []):
            gang = steps[before].get("gang")
            names = ["%s.%s.%d.%d" % (job_id, k, before, i) for i in range(steps[before]["count"])]
            missing = [n for n in names if not self.done.get(n)]
            if missing and not (gang and len(missing) < len(names)):
                self.break_rule("ORDER", "%s before %s" % (task, missing[0]))
        if job.get("firstRunMs"):
            due = job["firstRunMs"] + int(k) * job["intervalMs"]
            if time.time() * 1000 < due - 250:
                self.break_rule("ORDER", "%s %d ms before its time" % (task, due - time.time() * 1000))
        if len(self.failed.get(task, ())) >= 3 and not run.step.get("longRunning"):
            self.break_rule("BUDGET", "%s started after %d failed runs" % (task, len(self.failed[task])))
        ack = self.cancelled.get(job_id)
        if ack is not None and now() > ack + 3.0 and not late:
            self.break_rule("UNASKED", "%s started %.1f s after the acknowledged cancel" % (task, now() - ack))

    def ended(self, worker, run, how):
        self.ends[how] = self.ends.get(how, 0) + 1
        self.record.line("end %s run %d on %s %s" % (run.task, run.run, worker.id, how))
        if how == "done":
            self.done.setdefault(run.task, []).append({"worker": worker, "n": worker.last_end, "run": run.run, "noted": False, "at": time.monotonic()})

    def lost(self, worker, run):
        self.record.line("lost %s run %d on %s" % (run.task, run.run, worker.id))

    def noted(self, worker, end):
        n, task, run, how, _ = end
        if how == "failed":
            self.failed.setdefault(task, set()).add(run)
        if how == "done":
            for d in self.done.get(task, []):
                if d["worker"] is worker and d["n"] == n and worker.lapsed_at < d["at"]:
                    d["noted"] = True
                    if d.get("later"):
                        self.break_rule("TWICE", d["later"])
