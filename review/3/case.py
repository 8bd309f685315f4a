"""While its queue is left out of the configuration, a job fails before its queue's attempts are used."""
import json
import os
import sys
import time

CASE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(CASE, "..", "lib"))
import fleet

JOB = "5c0e7a21d94b36f8"
ONCE = "0a47c3d2b1e9f605"
ATTEMPTS = 4
LEFT_OUT_S = 5


def play(f):
    kept = fleet.route("kept", "/kept/", ATTEMPTS)
    quotes = fleet.route("quotes", "/quotes/", ATTEMPTS)
    # Not judged, but recorded: a queue whose tasks may run once.
    charges = fleet.route("charges", "/charges/", 1)
    f.configure([kept, quotes, charges])
    for index in range(5):
        f.start_runner(index)
    f.start_members(3)
    f.wait_ready()
    time.sleep(3)
    # The task fails three times by its runners' fault, and would be done with its fourth run.
    job = {"task_spec": json.dumps({"ms": 640, "failing_runs": ATTEMPTS - 1}),
           "steps": [{"count": 1, "cpu": 880, "mem_mb": 2500, "estimated_ms": 640}]}
    if not f.submit(f"/quotes/{JOB}", job):
        raise fleet.CannotRun("the job isn't accepted")
    if not f.submit(f"/charges/{ONCE}", job):
        raise fleet.CannotRun("the job isn't accepted")
    if fleet.TROUBLE:
        f.configure([kept])
        time.sleep(LEFT_OUT_S)
        f.configure([kept, quotes, charges])
    else:
        time.sleep(LEFT_OUT_S)
    state = None
    for _ in range(10):
        time.sleep(1)
        _, answer = f.call("GET", f"/quotes/{JOB}")
        state = answer.get("state")
        if state in ("failed", "completed"):
            break
    ends = [e["how"] for e in f.runner_events() if e["what"] == "end" and e["task"].startswith(JOB)]
    failed = ends.count("failed")
    f.log("ends of the task", ends=ends)
    once = [e for e in f.runner_events() if e["what"] == "start" and e["task"].startswith(ONCE)]
    f.log("starts of the task with max_attempts = 1, not judged", starts=len(once))
    if state == "failed" and failed < ATTEMPTS:
        return (f"LOST: the accepted job is shown as failed after {failed} ends `failed`; its queue has had "
                f"max_attempts = {ATTEMPTS} in each configuration that held it")
    if state != "completed":
        raise fleet.CannotRun(f"the job is {state}")
    return None


fleet.run(CASE, play)
