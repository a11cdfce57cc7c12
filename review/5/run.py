"""Jobs whose clients leave before the answer to the submission and cancel.

The store is slow for 4.5 s (platform_slow). Meanwhile clients hand in jobs,
leave after 100 ms without an answer (give_up) and cancel the same jobs at the
other scheduler. With TROUBLE=0 the store is not slow.

Broken if a task of a job starts more than cancel_ms after the answer (200 or
410) to the job's cancelling, at a time when the store has been without
disruption for more than contactMs, so that all machines are in touch.
"""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
from standins2 import (  # noqa: E402
    Deployment, Record, call, config, exit_with, queue)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "case.example"
SLOW_FACTOR = 60.0  # The site's largest x of platform_slow.
SLOW_S = 4.5        # Its longest for_s.
LEAVE_S = 0.1       # Half the queue's objective of 250 ms is 125 ms.
CANCEL_S = 3.0      # cancel_ms
CONTACT_S = 3.0     # contactMs
SLACK_S = 0.2
PAIRS = 6


def job(step_ms):
    """Two steps of two tasks, one after the other."""
    step = {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": step_ms}
    return {"taskSpec": json.dumps({"cpu": 500, "ms": [step_ms, step_ms],
                                    "fails": [False, False]}),
            "steps": [step, dict(step, afterRevision=[0])]}


async def submit_and_cancel(d, record, number):
    """Hands in jobs of two other clients and, 10 ms later, the one that is
    cancelled, all at the same scheduler. Returns the cancelled job's ID, the
    answer to the cancelling and its time."""
    fronts = sorted(d.callers)
    front, other = fronts[number % 2], fronts[1 - number % 2]
    cancelled = "%016x" % (100 + number)
    others = ["%016x" % (200 + 2 * number + i) for i in range(2)]
    other_clients = [asyncio.create_task(call(
        *d.callers[front], "POST", "/jobs/" + o, job(200), HOST))
        for o in others]
    await asyncio.sleep(0.01)
    status, _ = await call(*d.callers[front], "POST", "/jobs/" + cancelled,
                           job(6000), HOST, leave=LEAVE_S)
    record.line(f"job {cancelled}: POST at {front}: "
                f"{status or 'no answer, the client leaves'}")
    status, _ = await call(*d.callers[other], "DELETE", "/jobs/" + cancelled,
                           None, HOST)
    at = record.at()
    record.line(f"job {cancelled}: DELETE at {other}: {status}")
    for other_job, client in zip(others, other_clients):
        record.line(f"job {other_job} of another client: POST at {front}: "
                    f"{(await client)[0]}")
    return cancelled, status, at


async def play(d, record):
    await asyncio.sleep(4)
    for i, front in enumerate(sorted(d.callers)):
        status, _ = await call(*d.callers[front], "POST", "/jobs/%016x" % i,
                               job(200), HOST)
        record.line(f"warm-up job at {front}: {status}")
        if status != 200:
            return 2
    await asyncio.sleep(1)
    if TROUBLE:
        d.store.factor = SLOW_FACTOR
        record.line(f"the store answers {SLOW_FACTOR:.0f} times as slowly")
    slow_until = record.at() + SLOW_S
    await asyncio.sleep(0.8)
    cancels = []
    for number in range(PAIRS):
        if record.at() > slow_until - 0.5:
            break
        cancels.append(await submit_and_cancel(d, record, number))
    await asyncio.sleep(max(0.0, slow_until - record.at()))
    d.store.factor = 1.0
    record.line("the store is as quick as usual")
    in_touch_at = record.at() + (CONTACT_S if TROUBLE else 0)
    await asyncio.sleep(20)
    broken = 0
    for cancelled, status, at in cancels:
        bound = max(at + CANCEL_S, in_touch_at) + SLACK_S
        late = [s for s in d.starts(cancelled) if s[0] > bound]
        state = await call(*d.callers["front-1"], "GET", "/jobs/" + cancelled,
                           None, HOST)
        record.line(f"job {cancelled}: cancelling answered {status} at "
                    f"{at:.3f}; state now {state}; starts after {bound:.3f}: "
                    f"{[(round(s[0], 3), s[1], s[3]) for s in late]}")
        broken += status in (200, 410) and bool(late)
    if d.ended_by_themselves():
        record.line(f"ended by themselves: {d.ended_by_themselves()}")
        return 2
    record.line(f"cancelled {len(cancels)}, started all the same: {broken}")
    return 1 if broken else 0


async def main(folder):
    record = Record(os.path.join(folder, "record.txt"))
    d = Deployment(record, fronts=2, sides=3)
    try:
        if not await d.up(config([queue("q", "/jobs/", "svc")], "svc")):
            record.line("the deployment did not get ready")
            return 2
        return await play(d, record)
    finally:
        d.down()


exit_with(main(sys.argv[1]))
