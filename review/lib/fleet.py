"""A small deployment on loopback: the project's daemon as separate processes, the platform, runners.

The daemon is started with the command of deploy/system.toml. Everything else is a stand-in that
follows PROTOCOL.md and DEPLOY.md.
"""
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler

import store as platform_store
import wire

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-w"
HOST = "h.example"
BOUNDS = dict(
    seed_lag_s=3, addr_reuse_s=2, contact_ms=3000, ack_timeout_ms=4000, catch_up_s=4, drain_ms=2000, grace_s=6,
    loss_slack_ms=200, config_apply_ms=2000, rollback_slack_ms=250, max_stretch_ms=5000, recovery_s=12,
    hold_max_ms=6000, stop_grace_ms=900, gang_timeout_ms=3000, cancel_ms=3000, visible_ms=3000, early_ms=250,
    finish_s=14, status_s=120, checkpoint_interval_s=2, restore_ms=600, notice_ms=4500, move_s=1.5,
    maintenance_s=2, lease_ms=3000, thaw_slack_ms=300, pace_ms=100, harm_ms=4000)


_next_port = 12_000 + (os.getpid() * 97) % 18_000


def free_ports(count):
    """Adjacent free ports below the range that the system assigns to outgoing connections."""
    global _next_port
    while True:
        first = _next_port = _next_port if _next_port + count < 32_000 else 12_000
        probes = []
        try:
            for port in range(first, first + count):
                probes.append(socket.socket())
                probes[-1].bind(("127.0.0.1", port))
            _next_port = first + count
            return list(range(first, first + count))
        except OSError:
            _next_port += 1
        finally:
            for probe in probes:
                probe.close()


class CannotRun(Exception):
    """The case can't run here."""


class Fleet:
    def __init__(self, case):
        self.case = case
        self.record_file = open(os.path.join(case, "record.txt"), "w", buffering=1)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.events = os.path.join(self.folder, "events.jsonl")
        open(self.events, "w").close()
        self.t0 = time.monotonic()
        self.lock = threading.Lock()
        self.processes = []
        self.members, self.runners = [], {}
        self.version = 0
        self.store = platform_store.Store(self.log)
        self.store_addr = platform_store.serve(self.store)
        self.machines_addr = self.serve_machines()

    # -- the record

    def log(self, what, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.t0:8.3f} s  {what}  {text}\n")

    def runner_events(self):
        with open(self.events) as file:
            events = [json.loads(line) for line in file if line.endswith("\n")]
        for event in events:
            event["at"] -= self.t0
        return sorted(events, key=lambda e: e["at"])

    # -- the platform

    def serve_machines(self):
        fleet = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                pass

            def reply(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def do_GET(self):
                with fleet.lock:
                    machines = [fleet.machine(r) for r in fleet.runners.values()]
                self.reply(200, {"machines": machines})

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                self.reply(400, {})

        return platform_store.start_server(Handler)

    def machine(self, runner):
        cfg = runner["cfg"]
        up = runner["process"] is not None
        entry = {"machine": runner["machine"], "pool": cfg["service"], "state": "up" if up else "down",
                 "zone": cfg["zone"], "labels": cfg["labels"], "capacity": cfg["capacity"]}
        if up:
            entry["id"] = cfg["id"]
        return entry

    def configure(self, routes, services=("pool",), upper_bound=None):
        """A version of the operator's configuration; the store's answer acknowledges it."""
        self.version += 3
        tenant = {"name": "w", "api_keys": [KEY], "weight": 1}
        if upper_bound:
            tenant["upper_bound"] = upper_bound
        config = {"version": self.version, "routes": routes, "services": [{"name": s} for s in services],
                  "tenants": [tenant], "limits": {}}
        wire.put(self.store_addr, "keyed.op", "config", config)
        self.log("operator: configuration acknowledged", version=self.version,
                 routes=[(r["name"], r["max_attempts"]) for r in routes])

    # -- runners

    def start_runner(self, index, service="pool", cpu=16000, **extra):
        identity = f"i-{index:02d}"
        runner = self.runners.get(identity)
        if runner is None:
            (port,) = free_ports(1)
            cfg = {"id": identity, "address": f"127.0.0.1:{port}", "service": service, "zone": "z-a",
                   "labels": ["a", f"r{index // 4}"], "capacity": {"cpu": cpu, "mem_mb": 65536, "gpu": 0},
                   "bounds": BOUNDS, "store": self.store_addr, "events": self.events, "heartbeat_ms": 1500}
            runner = {"cfg": cfg, "machine": f"m-{index:02d}", "process": None}
            self.runners[identity] = runner
        runner["cfg"].update(extra)
        path = os.path.join(self.folder, f"{identity}.json")
        with open(path, "w") as file:
            json.dump(runner["cfg"], file)
        process = self.spawn([sys.executable, os.path.join(HERE, "runner.py"), path], f"{identity}.log")
        with self.lock:
            runner["process"] = process
        self.log("runner starts", runner=identity)
        return identity

    def kill_runner(self, identity):
        runner = self.runners[identity]
        process = runner["process"]
        process.kill()
        process.wait()
        with self.lock:
            runner["process"] = None
        self.log("runner crashes", runner=identity)

    def signal_runner(self, identity, number):
        self.runners[identity]["process"].send_signal(number)
        self.log("signal to runner", runner=identity, signal=signal.Signals(number).name)

    # -- the project's daemon

    def start_members(self, count):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = next(iter(tomllib.load(file)["roles"].values()))["run"].split(" ")
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} isn't built")
        for index in range(count):
            front, ready, control, first, *_ = free_ports(7)
            name = f"front-z-a-{index + 1}"
            bounds = "\n".join(f"{k} = {v}" for k, v in BOUNDS.items())
            text = f"""node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "z-a"
region = "z"
internal_ports = [{first},{first + 3}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","upkeep"]
orders = "invocation"
[zones]
z-a = "z"
[listen]
front = "127.0.0.1:{front}"
readiness_addr = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
{bounds}
[platform]
address = "{self.store_addr}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
record_bytes = 262144
call_bytes = 2097152
[cloud_api]
address = "{self.machines_addr}"
rate_per_s = 64.0
duties_per_s = 64.0
"""
            path = os.path.join(self.folder, f"{name}.toml")
            with open(path, "w") as file:
                file.write(text)
            env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
            env["POMELOHITCH_CONFIG"] = path
            process = self.spawn([program, *command[1:]], f"{name}.log", env=env)
            self.members.append({"name": name, "front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}",
                                 "process": process, "log": os.path.join(self.folder, f"{name}.log")})

    def wait_ready(self, timeout=15.0):
        deadline = time.monotonic() + timeout
        for member in self.members:
            while True:
                try:
                    if wire.call(member["ready"], "GET", "/-/ready", timeout=1.0)[0] == 200:
                        break
                except (OSError, http.client.HTTPException):
                    pass
                if time.monotonic() > deadline:
                    raise CannotRun(f"{member['name']} isn't ready")
                time.sleep(0.1)
        self.log("all members are ready")

    def spawn(self, command, log, env=None):
        out = open(os.path.join(self.folder, log), "a")
        process = subprocess.Popen(command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=out, stderr=out)
        self.processes.append(process)
        return process

    # -- clients

    def call(self, method, path, body=None, member=0, timeout=3.0, quiet=False):
        """One attempt of a client; the status, or None if there was no whole answer."""
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "Deadline-Ms": str(int(timeout * 1000))}
        data = None
        if body is not None:
            data = json.dumps(body)
            headers["Content-Type"] = "application/json"
        address = self.members[member % len(self.members)]["front"]
        try:
            status, answer = wire.call(address, method, path, data, headers, timeout)
            answer = json.loads(answer) if answer else {}
        except (OSError, http.client.HTTPException, ValueError):
            status, answer = None, {}
        if not quiet:
            self.log(f"client: {method} {path}", answered=status, body=answer)
        return status, answer

    def submit(self, path, body, tries=6):
        """Hands a job in as a client does, with the same ID again after no answer, 502 or 504."""
        for attempt in range(tries):
            status, _ = self.call("POST", path, body, member=attempt)
            if status is not None and 200 <= status < 300:
                return True
            time.sleep(0.5)
        return False

    # -- the end

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        for event in self.runner_events():
            fields = {k: v for k, v in event.items() if k not in ("at", "what")}
            text = " ".join(f"{k}={v}" for k, v in fields.items())
            self.record_file.write(f"{event['at']:8.3f} s  runner: {event['what']}  {text}\n")
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def route(name="q", prefix="/q/", max_attempts=4, **fields):
    return {"name": name, "host": HOST, "path_prefix": prefix, "service": "pool", "max_attempts": max_attempts,
            "priority": 0, "stretch": 1.6, "slo_ms": 600, **fields}


TIME_LIMIT_S = 116


def run(case, play):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `play` returns what broke the rule, or None.
    """
    fleet = Fleet(case)
    code = 2

    def interrupted(number, _frame):
        raise CannotRun(f"ended by {signal.Signals(number).name}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, interrupted)
    signal.alarm(TIME_LIMIT_S)
    try:
        broken = play(fleet)
        code = 1 if broken else 0
        fleet.log("RULE BROKEN: " + broken if broken else "the rule held")
        print("rule broken: " + broken if broken else "the rule held")
    except CannotRun as error:
        fleet.log(f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # a fault of the case itself
        fleet.log(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        fleet.close()
    sys.exit(code)
