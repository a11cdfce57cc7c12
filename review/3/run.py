"""The owner of the work freezes and wakes just after another one took over."""
import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from standins import CANNOT_RUN, Deployment, run_script  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONTS, SIDES = 4, 4
LAST_CYCLE_S = 90       # No cycle begins later than this.
CYCLES = 16
SETTLE_S = 0.5
LONGEST_FREEZE_S = 4.0  # The site's largest.
AFTER_WAKING_S = 1.5
# The rule: a tenth of the machines in use, two at least, three times.
MACHINES = max(2, (FRONTS + SIDES) // 10)
TIMES = 3
# An end counts if nothing has disturbed its machine for this long.
UNDISTURBED_S = 1.0


class Freeze:
    """Stops the owner, and wakes it when the store has a new owner's claim."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.frozen = None
        self.disturbed_at = {}  # By process.
        deployment.store.on_commit = self.on_commit

    def begin(self, owner):
        self.deployment.record(f"{owner} freezes")
        self.frozen = owner
        self.disturbed_at[owner] = time.monotonic()
        self.deployment.processes[owner].signal(signal.SIGSTOP)

    def end(self):
        if self.frozen is None:
            return
        self.deployment.record(f"{self.frozen} wakes")
        self.disturbed_at[self.frozen] = time.monotonic()
        self.deployment.processes[self.frozen].signal(signal.SIGCONT)
        self.frozen = None

    def on_commit(self, process, body):
        claims = any(row["table"] == "owner" for row in body.get("put", []))
        if self.frozen and claims and process != self.frozen:
            self.deployment.record(f"{process} has taken the work over")
            self.end()


async def cycle(deployment, freeze):
    owner = await deployment.wait_ready(15)
    if owner is None:
        return False
    await asyncio.sleep(SETTLE_S)
    if TROUBLE:
        freeze.begin(owner)
    began = time.monotonic()
    while freeze.frozen and time.monotonic() - began < LONGEST_FREEZE_S:
        await asyncio.sleep(0.01)
    freeze.end()
    await asyncio.sleep(AFTER_WAKING_S)
    return True


async def main():
    deployment = Deployment(FRONTS, SIDES, pathlib.Path(__file__).parent)
    await deployment.start()
    try:
        freeze = Freeze(deployment)
        ends = {name: 0 for name in deployment.processes}

        def on_end(name, _):
            quiet = time.monotonic() - freeze.disturbed_at.get(name, 0)
            if quiet >= UNDISTURBED_S:
                ends[name] += 1
                deployment.record(f"{name}: end {ends[name]} of its own")
        deployment.on_end = on_end
        for _ in range(CYCLES):
            if time.monotonic() - deployment.began > LAST_CYCLE_S:
                break
            if not await cycle(deployment, freeze):
                return CANNOT_RUN
            often = [name for name, count in ends.items() if count >= TIMES]
            if len(often) >= MACHINES:
                deployment.record(f"FAULT: {often} ended by themselves "
                                  f"{TIMES} times each, undisturbed")
                return 1
        deployment.record(f"held; ends of their own: {ends}")
        return 0
    finally:
        await deployment.stop()


run_script(main)
