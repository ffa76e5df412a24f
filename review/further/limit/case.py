"""An order for upkeep gets no answer and is carried out late, and the leader that gave it
is killed at once."""

import asyncio
import json
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(os.path.dirname(FOLDER)))
import standin  # noqa: E402

DAEMONS = 6
WORKERS = 24
WAVE = 1
MAXIMUM = 1
TRIES = 5
# An order is carried out 2 to 12 s later.
LATE_S = (2.0, 12.0)
PAUSE_S = 3.0


class Delay:
    """Holds back one order in each try, and carries it out late."""

    def __init__(self, site):
        self.site, self.is_armed = site, False
        self.held = None

    def __call__(self, order):
        """Whether the order is held back."""
        if self.held is not None and order == self.held[1]:
            # The second copy of the same order is lost.
            return True
        if not self.is_armed:
            return False
        self.is_armed = False
        self.held = (self.site.record.now(), order)
        self.site.record.say(f"the order for upkeep of {order[0]} by {order[2]} token {order[3]} "
                             "gets no answer")
        leader = next(daemon for daemon in self.site.daemons if daemon.name == order[2])
        leader.signal(signal.SIGKILL)
        self.site.record.say(f"{leader.name}, which gave it, is killed")
        return True

    async def carry_out(self):
        """Carries the held order out, within its time, while another machine is down if one is."""
        at, order = self.held
        while self.site.record.now() - at < LATE_S[1] - 0.1:
            await asyncio.sleep(0.02)
            is_late = self.site.record.now() - at >= LATE_S[0]
            if is_late and self.site.cloud.down_for(WAVE):
                break
        status, body = self.site.cloud.execute(order)
        self.held = None
        self.site.record.say(f"the late order for {order[0]} is carried out: {status} "
                             f"{body.decode()}")


def find_limit(site):
    return [
        f"LIMIT: the upkeep of {order[0]} begins at {at:.3f} by {order[2]} token {order[3]} while "
        f"{down} of its wave are down, with a maximum of {MAXIMUM}"
        for at, order, down in site.upkeeps if len(down) >= MAXIMUM
    ]


async def main(site, trouble):
    await site.start(DAEMONS, WORKERS)
    await asyncio.sleep(2)
    machines = sorted(site.machines)
    site.cloud.waves[WAVE] = set(machines)
    delay = Delay(site)
    site.cloud.delays = delay
    wave = {"wave": WAVE, "machines": machines, "durationS": 60, "maximum": MAXIMUM}
    site.store.put("keyed.op", f"wave/{WAVE}", standin.dump(wave))
    site.record.say(f"a wave of {len(machines)} machines, {MAXIMUM} at once")
    for _ in range(TRIES):
        await asyncio.sleep(PAUSE_S)
        if not trouble:
            continue
        delay.is_armed = True
        while delay.held is None:
            await asyncio.sleep(0.02)
        await delay.carry_out()
        if find_limit(site):
            break
    if not trouble:
        await asyncio.sleep(PAUSE_S * TRIES)
    site.record.say(f"{len(site.upkeeps)} upkeeps have begun")
    return find_limit(site)


standin.run(main, FOLDER)
