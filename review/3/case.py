"""A lasting task isn't started again after its runner hung and started again under its id."""
import json
import os
import signal
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import fleet

JOB = "5c0e7a21d94b368f"
RUNNERS = 4
# How long the runner has lived when it hangs. Its task waits for about as long.
UPTIME_S = 45
HANGS_S = 1.2
# Rule LOST: 6 s after the last run (here: after the acceptance, as there was none), then 3 s; and
# 4 s before these are calm. Counted from the runner's return.
LATEST_START_S = 6 + 4 + 3
# The rule also asks `finish_s` after the end of the traffic.
OBSERVED_S = 24


def starts_of(f, task):
    return [e for e in f.runner_events() if e["what"] == "start" and e["task"] == task]


def play(f):
    f.configure([fleet.route("settle", "/settle/", 3)])
    for index in range(RUNNERS):
        f.start_runner(index)
    f.start_members(3)
    f.wait_ready()
    time.sleep(UPTIME_S)
    if fleet.TROUBLE:
        f.signal_runner("i-00", signal.SIGSTOP)
    lasting = {"task_spec": json.dumps({"lasts": True}),
               "steps": [{"count": RUNNERS, "cpu": 1300, "mem_mb": 8700, "estimated_ms": 900,
                          "long_running": True, "anti_affinity": 1, "may_miss": 1}]}
    if not f.submit(f"/settle/{JOB}", lasting):
        raise fleet.CannotRun("the job isn't accepted")
    time.sleep(HANGS_S)
    if fleet.TROUBLE:
        # Its supervisor ends the hung process and starts it again; the machine stays up.
        # It answers calls at once, and writes its entry within a heartbeat interval.
        f.kill_runner("i-00")
        f.start_runner(0, first_entry_s=0.75)
    back_at = time.monotonic() - f.t0
    time.sleep(OBSERVED_S)
    f.call("GET", f"/settle/{JOB}")
    now = time.monotonic() - f.t0
    late = []
    for index in range(RUNNERS):
        task = f"{JOB}.0.0.{index}"
        starts = starts_of(f, task)
        began = starts[0]["at"] if starts else None
        f.log("task", task=task, first_start=began)
        if (began if began is not None else now) - back_at > LATEST_START_S:
            late.append(task)
    if not late:
        return None
    return (f"LOST: {', '.join(late)} of the accepted job had nothing running for "
            f"{now - back_at:.1f} s after its runner was back, with room on it")


fleet.run(CASE, play)
