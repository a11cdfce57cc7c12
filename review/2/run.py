"""Schedulers restart while the owner still stores what they relayed before."""
import asyncio
import os
import pathlib
import re
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from standins import CANNOT_RUN, Deployment, run_script  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONTS = ("front-1", "front-2", "front-3", "front-4")
LAST_CYCLE_S = 85       # No cycle begins later than this.
KILL_AFTER_S = 0.03     # After the jobs were sent.
RESTART_AFTER_S = 0.01
SLOW_S = 0.12           # An answer of the slow store; 30 times the usual 4 ms.
DOWN_S = 0.3
SETTLE_S = 0.4          # After the schedulers have started.
RETRY_S = 0.1           # From the end of the trouble until jobs are asked for.
LATE_S = 2.0            # A transaction whose answer is lost is done then.
CALM_S = 8.0            # Longer than contactMs and visible_ms together.


class StoreTrouble:
    """The store loses an answer, then is slow, then is down for a moment."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.store = deployment.store
        self.record = deployment.record
        self.owner = None
        self.phase = "none"
        self.resent = asyncio.Event()
        self.store.fault = self.fault
        self.store.on_commit = self.on_commit

    def begin(self, owner):
        self.owner, self.phase = owner, "loses answers"
        self.resent = asyncio.Event()

    @staticmethod
    def jobs_in(body):
        return [row["privateKey"] for row in body.get("put", [])
                if row["table"] == "workflows"]

    async def done_late(self, body):
        await asyncio.sleep(LATE_S)
        status, _ = await self.store.transact(body)
        self.record(f"store: does the transaction without an answer: {status}")

    async def fault(self, process, request):
        if self.phase == "down":
            if request.path == "/api/rows-tx" and self.jobs_in(request.json()):
                self.record(f"store: 503 to {process} for "
                            f"{self.jobs_in(request.json())}")
            return 503, None
        submission = (request.path == "/api/rows-tx" and process == self.owner
                      and self.jobs_in(request.json()))
        if submission and self.phase == "loses answers":
            self.record(f"store: no answer to {process} for {submission}")
            self.phase = "awaits the repetition"
            asyncio.create_task(self.done_late(request.json()))
            return "lost"
        if submission and self.phase == "awaits the repetition":
            self.record(f"store: slow from now on; {process} sends {submission}")
            self.phase = "slow"
            self.resent.set()
        if self.phase == "slow":
            await asyncio.sleep(SLOW_S)
        return None

    def on_commit(self, process, body):
        jobs = self.jobs_in(body)
        if not jobs:
            return
        self.record(f"store: {process} has stored {jobs}")
        if self.phase == "slow" and process == self.owner:
            self.record("store: down, answers 503")
            self.phase = "down"
            asyncio.get_running_loop().call_later(DOWN_S, self.end)

    def end(self):
        if self.phase != "none":
            self.record("store: serves everyone again")
        self.phase = "none"


async def restart(deployment, fronts):
    """Kills the schedulers, starts them again, and waits until they are back."""
    for front in fronts:
        deployment.record(f"{front} is killed")
        deployment.processes[front].restarts = False
        deployment.processes[front].signal(signal.SIGKILL)
    await asyncio.sleep(RESTART_AFTER_S)
    for front in fronts:
        await deployment.processes[front].start()
        deployment.processes[front].restarts = True


async def wait_until_followed(deployment, owner, schedulers):
    """Waits until the others are connected to the owner again."""
    end = time.monotonic() + 1.0
    while time.monotonic() < end:
        peers = re.search(r" peers (\d+)", await deployment.dump(owner))
        if peers and int(peers.group(1)) >= schedulers:
            break
        await asyncio.sleep(0.003)
    await asyncio.sleep(0.01)  # For the first heartbeats.


def submit_at(deployment, fronts, number, group):
    """Sends a job to each scheduler; returns {job: call}."""
    calls = {}
    for i, front in enumerate(fronts):
        job = f"{number:08x}{group}{i:07x}"
        calls[job] = asyncio.create_task(deployment.submit(front, job))
    return calls


async def cycle(deployment, trouble, number):
    """Returns the jobs that were accepted and then were not there."""
    owner = await deployment.wait_ready(15)
    if owner is None:
        return None
    fronts = [front for front in FRONTS if front != owner]
    if TROUBLE:
        await restart(deployment, fronts)
        if await deployment.wait_ready(10) != owner:
            return []
    await asyncio.sleep(SETTLE_S)
    if TROUBLE:
        trouble.begin(owner)
    unanswered = submit_at(deployment, fronts, number, "a")
    await asyncio.sleep(KILL_AFTER_S)
    if TROUBLE:
        await restart(deployment, fronts)
        await wait_until_followed(deployment, owner, len(fronts))
        try:
            await asyncio.wait_for(trouble.resent.wait(), 1.0)
        except asyncio.TimeoutError:
            pass
    calls = submit_at(deployment, fronts, number, "b")
    accepted = [job for job, call in calls.items() if await call == 200]
    while trouble.phase == "down":
        await asyncio.sleep(0.02)
    trouble.end()
    for job, call in unanswered.items():
        if await call == 0:  # The caller sends the job again.
            await deployment.submit(owner, job)
    await asyncio.sleep(RETRY_S)
    return [job for job in accepted
            if (await deployment.state(owner, job))[0] == 410]


async def main():
    deployment = Deployment(len(FRONTS), 2, pathlib.Path(__file__).parent)
    await deployment.start()
    try:
        trouble = StoreTrouble(deployment)
        number = 0
        while time.monotonic() - deployment.began < LAST_CYCLE_S:
            number += 1
            missing = await cycle(deployment, trouble, number)
            if missing is None:
                return CANNOT_RUN
            if not missing:
                continue
            deployment.record(f"{CALM_S} s without any disruption begin")
            await asyncio.sleep(CALM_S)
            for job in missing:
                for front in FRONTS:
                    status, _ = await deployment.state(front, job)
                    if status == 410:
                        deployment.record(f"LOST: {job} was accepted and "
                                          f"is not known (cycle {number})")
                        return 1
        deployment.record(f"held for {number} cycles")
        return 0
    finally:
        await deployment.stop()


run_script(main)
