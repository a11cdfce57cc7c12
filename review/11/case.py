"""All machines of one zone are lost for good at one moment: the scheduler that
owns the work, and two machines with their runners. The long-running tasks that
ran there have to run again."""
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-3"))
from deployment import Deployment, run_case, troubled  # noqa: E402

SIDES = 6
TASKS = 4
AWAY_S = 6.0    # The rule: "from 6 s after its last run",
NOTHING_S = 3.0  # "for 3 s" nothing running;
CALM_S = 4.0    # "the 3 s and the 4 s before them are calm".
LIMIT_S = 30.0
JOB = "5c0e7a21d94b36f8"


def play(record):
    with Deployment(3, SIDES, record) as d:
        if not d.wait_until_ready():
            record.write("the deployment did not become ready")
            return 2
        owner = d.owner()
        zone = owner.zone
        job = {"taskSpec": "run_ms=3600000",
               "steps": [{"count": TASKS, "cpu": 500, "memMb": 100,
                          "estimatedMs": 400, "longRunning": True,
                          "antiAffinity": 1}]}
        if d.submit(JOB, job) != 200:
            record.write("the job was not accepted")
            return 2
        if not d.wait_for(lambda: d.active(JOB) == TASKS, 10):
            record.write("the job's tasks did not all begin")
            return 2
        lost = [r for r, m in zip(d.runners, d.sides) if m.zone == zone]
        tasks = [t for r in lost for t in r.running if t.startswith(JOB)]
        if not tasks:
            record.write("no task runs in the owner's zone")
            return 2
        time.sleep(4)
        at = record.now()
        if troubled():
            record.write(f"the machines of zone {zone} are lost for good")
            owner.signal(signal.SIGKILL)
            for runner, machine in zip(d.runners, d.sides):
                if machine.zone == zone:
                    runner.crash()
                    machine.signal(signal.SIGKILL)
        over = record.now()
        front = [i for i, m in enumerate(d.fronts) if m.running()][0]
        d.wait_for(lambda: d.active(JOB) == TASKS, LIMIT_S)
        back = record.now()
        left = [r for r, m in zip(d.runners, d.sides) if m.running()]
        record.write(
            f"{d.active(JOB)} of {TASKS} tasks run, {back - at:.1f} s after "
            f"the loss; state {d.state(JOB, front)}; machines left: {len(left)} "
            f"of {SIDES}, each with 16 cores of which at most 0.5 are used")
        # The earliest span of 3 s that is judged begins 6 s after the end of the
        # last run, and has 4 calm seconds before it.
        judged_from = over + max(AWAY_S, CALM_S)
        if back > judged_from + NOTHING_S:
            record.write(f"LOST: nothing of {', '.join(tasks)} ran for 3 s "
                         f"from {judged_from:.1f} s on, and not before "
                         f"{back:.1f} s")
            return 1
        record.write("held")
        return 0


if __name__ == "__main__":
    sys.exit(run_case(play, HERE))
