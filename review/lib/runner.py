"""A runner (server) of the users' platform, as PROTOCOL.md describes it. One process is one life.

usage: runner.py CONFIG.json   (id, address, service, zone, labels, capacity, bounds, store, events)

What a task does stands in its `task_spec`, as JSON: {"ms": 500} works that long and ends `done`;
with "failing_runs": N its first N runs end `failed`. {"lasts": true} works until it is stopped;
with "first_fails_after_ms" its first run ends `failed` by itself after that time.
"""
import json
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import wire

CFG = json.load(open(sys.argv[1]))
BOUNDS = CFG["bounds"]
BEGAN = time.monotonic()
BORN = int(time.time() * 1000)
STARTUP_MS = 100


def clock_ms():
    return int((time.monotonic() - BEGAN) * 1000)


class Runner:
    def __init__(self):
        self.cond = threading.Condition()
        self.token = 0
        self.lease = 0
        self.runs = {}  # (task, run) -> dict
        self.closed = {}  # task -> highest run that was stopped or has ended here
        self.ended = []  # [N, task, run, how, saved]
        self.last_end = 0
        self.seq_no = 0
        self.events = open(CFG["events"], "a", buffering=1)

    def log(self, what, **fields):
        fields = {"at": round(time.monotonic(), 4), "what": what, "runner": CFG["id"], "born": BORN, **fields}
        self.events.write(json.dumps(fields) + "\n")

    def end(self, key, how):
        run = self.runs.pop(key)
        task, number = key
        self.closed[task] = max(self.closed.get(task, 0), number)
        self.last_end += 1
        self.ended.append([self.last_end, task, number, how, run["saved"]])
        self.log("end", task=task, run=number, how=how, number=self.last_end)
        self.cond.notify_all()

    def advance(self):
        while True:
            time.sleep(0.005)
            with self.cond:
                now = clock_ms()
                lapsed = now > self.lease
                for key, run in list(self.runs.items()):
                    if lapsed:
                        self.end(key, "lapsed")
                    elif run["stop_at"] is not None and now >= run["stop_at"]:
                        self.end(key, "stopped")
                    elif run["ends_at"] is not None and now >= run["ends_at"]:
                        self.end(key, run["how"])

    def percent(self, run):
        if run["lasts"]:
            return 100 if clock_ms() - run["began"] >= STARTUP_MS else 0
        length = max(run["ends_at"] - run["began"], 1)
        return min(99, (clock_ms() - run["began"]) * 100 // length)

    def fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def extend(self, body):
        if "deadline_ms" in body:
            self.lease = max(self.lease, min(body["deadline_ms"], clock_ms() + BOUNDS["hold_max_ms"]))

    def answer(self, path, body):
        with self.cond:
            if self.fenced(body):
                return 409, {"clock_ms": clock_ms(), "reason": "fence"}
            if path == "/-/hold":
                return self.hold(body)
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                key = (body["task"], body["run"])
                if key in self.runs:
                    run = self.runs[key]
                    if run["stop_at"] is None:
                        run["stop_at"] = clock_ms() + BOUNDS["stop_grace_ms"] // 2
                        self.log("stop", task=key[0], run=key[1])
                else:
                    self.closed[key[0]] = max(self.closed.get(key[0], 0), key[1])
                return 200, {"clock_ms": clock_ms()}
            if path == "/-/pace":
                return 200, {"clock_ms": clock_ms()}
            return 404, {}

    def start(self, body):
        task, number = body["task"], body["run"]
        now = clock_ms()
        if (task, number) in self.runs:
            self.extend(body)
            return 200, {"clock_ms": now}
        if number <= self.closed.get(task, 0):
            self.extend(body)
            return 409, {"clock_ms": now, "reason": "old"}
        if now > body["deadline_ms"]:
            return 409, {"clock_ms": now, "reason": "late"}
        self.extend(body)
        spec = json.loads(body["task_spec"])
        ends_at, how = now + spec.get("ms", 500), "done"
        if spec.get("lasts"):
            fails_after = spec.get("first_fails_after_ms") if number == 1 else None
            ends_at, how = (now + fails_after, "failed") if fails_after else (None, "done")
        elif number <= spec.get("failing_runs", 0):
            how = "failed"
        self.runs[(task, number)] = {
            "began": now, "lasts": spec.get("lasts", False), "how": how, "saved": "", "stop_at": None,
            "ends_at": ends_at}
        self.log("start", task=task, run=number, token=body["fencing_token"])
        return 200, {"clock_ms": now}

    def hold(self, body):
        self.extend(body)
        seen = body.get("last_seen", 0)
        for end in [e for e in self.ended if e[0] <= seen]:
            self.ended.remove(end)
            self.log("noted", task=end[1], run=end[2], how=end[3])
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        self.cond.wait_for(lambda: self.ended, timeout=wait)
        running = [[t, n, r["saved"], self.percent(r), 0] for (t, n), r in self.runs.items()]
        return 200, {"clock_ms": clock_ms(), "born": BORN, "running": running, "ended": self.ended[:500]}

    def register(self):
        time.sleep(CFG.get("first_entry_s", 0))
        while True:
            with self.cond:
                self.seq_no += 1
                entry = {"service": CFG["service"], "address": CFG["address"], "zone": CFG["zone"],
                         "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                         "seq_no": self.seq_no, "capacity": CFG["capacity"], "labels": CFG["labels"],
                         "born": BORN, "clock_ms": clock_ms()}
            wire.put(CFG["store"], "keyed.servers", CFG["id"], entry)
            time.sleep(CFG["heartbeat_ms"] / 1000)


RUNNER = Runner()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        wanted = self.headers.get("Expect-Instance", CFG["id"])
        if wanted != CFG["id"]:
            status, reply = 421, {}
        else:
            status, reply = RUNNER.answer(self.path, json.loads(body))
        data = json.dumps(reply).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A caller that has closed its connection is no error."""


host, port = CFG["address"].split(":")
server = Server((host, int(port)), Handler)
RUNNER.log("up")
threading.Thread(target=RUNNER.advance, daemon=True).start()
threading.Thread(target=RUNNER.register, daemon=True).start()
server.serve_forever()
