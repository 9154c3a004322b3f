"""Parts that the scripts of the third review share: entry hosts as deployed, on
free loopback addresses, beside the project's stand-in of the platform, and the
record of what was sent, answered and run."""
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "test", "standin"))
import platform_world as world  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "oleandergauge")
CALLER_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, METRICS_PORT = 18183, 18184, 18180, 17420, 9464
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
WORKER_LOCK = threading.Lock()


class NotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of record.txt, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.out.write("%8.3f %s\n" % (time.monotonic() - self.begin, text))
            self.out.flush()


def free_net():
    """The first three numbers of loopback addresses of which no port is in use."""
    for _ in range(50):
        net = "127.%d.%d" % (random.randint(1, 250), random.randint(1, 250))
        try:
            for number in range(10, 14):
                for port in (CALLER_PORT, READY_PORT, PEER_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("%s.%d" % (net, number), port))
            return net
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


class Host:
    """An entry host, started with the command of the deploy file."""

    def __init__(self, cell, number):
        self.cell = cell
        self.name = "edge-z%d-1" % (number + 1)
        self.ip = "%s.%d" % (cell.net, 10 + number)
        self.door = world.StoreDoor(cell.store)
        self.settings = os.path.join(cell.folder, self.name + ".conf")
        self.log = os.path.join(cell.folder, self.name + ".out")
        lines = [
            "node_name=" + self.name, "role=host", "machine_class=edge", "serves=edge",
            "ip=" + self.ip, "zone=z%d" % (number + 1), "region=r",
            "listen.frontend=%s:%d" % (self.ip, CALLER_PORT),
            "listen.ready=%s:%d" % (self.ip, READY_PORT),
            "listen.control_plane=%s:%d" % (self.ip, CONTROL_PORT),
            "port_range=%d,%d" % (PEER_PORT, PEER_PORT + 15),
            "bootstrap=true", "limits.cpu_share=0.25", "limits.cores=1",
            "limits.memory_mb=260", "limits.max_fds=4200", "discovery=platform", "entry=vip",
            "heartbeat_ms=1500", "commands=rpc", "platform.form=table",
            "platform.addr=" + self.door.address, "platform.row_bytes=65536",
            "platform.history_s=20", "hint=" + cell.advice.address,
            "cloud_api.addr=" + cell.machines.address]
        lines += ["bounds.%s=%s" % each for each in sorted(cell.bounds.items())]
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")
        self.process = None

    def start(self):
        environment = {"PATH": os.environ["PATH"], "HOME": self.cell.folder,
                       "OLEANDERGAUGE_NODE_FILE": self.settings}
        self.process = subprocess.Popen([PROGRAM, "host"], cwd=ROOT, env=environment,
                                        stdout=open(self.log, "a"), stdin=subprocess.DEVNULL)

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def ready(self):
        link = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    def call(self, method, path, body=None, key="key-1", timeout=5):
        """One call of a client; status 0 if there was no answer."""
        link = http.client.HTTPConnection(self.ip, CALLER_PORT, timeout=timeout)
        try:
            link.request(method, path, body, {
                "Host": "cell.example", "X-Deadline-Ms": "3000", "Api-Key": key})
            answer = link.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            link.close()

    def owns(self):
        with open(self.log) as lines:
            text = lines.read()
        return text.rfind('"owner of the cell"') > max(
            text.rfind(line) for line in ('"started"', '"no longer owner"',
                                          '"ownership handed over"'))


DEFAULT_BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "stable_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "downgrade_slack_ms": 250, "max_skew_ms": 5000, "quota_overrun": 0.1, "evac_ms": 5000,
    "recovery_s": 12, "hold_max_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remote_factor": 3, "checkpoint_s": 1, "restore_ms": 250, "notice_ms": 4500,
    "move_s": 1.5, "maint_s": 2, "fencing_enforced": "false", "lease_ms": 3000,
    "thaw_ms": 300, "pace_ms": 100, "impact_ms": 4000}


class Cell:
    """Three entry hosts, the store, the advice service, machines and workers."""

    def __init__(self, record, state, make_workers, make_machines=world.MachineService, hosts=3):
        self.record = record
        self.net = free_net()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.bounds = DEFAULT_BOUNDS
        self.store = world.Store()
        self.advice = world.AdviceService("127.0.0.1", 0)
        self.store.put("op", "config", state)
        self.workers = make_workers(self)
        self.machines = make_machines(self.store, self.workers)
        self.hosts = [Host(self, number) for number in range(hosts)]

    def start(self):
        for host in self.hosts:
            host.start()
        self.wait_for(lambda: all(h.ready() for h in self.hosts), 15, "all hosts are ready")

    def owner(self):
        alive = [h for h in self.hosts if h.process.poll() is None]
        self.wait_for(lambda: any(h.owns() for h in alive), 10, "a host owns the cell")
        return next(h for h in alive if h.owns())

    def wait_for(self, holds, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if holds():
                return
            time.sleep(0.02)
        raise NotRun("not within %s s: %s" % (seconds, what))

    def call(self, host, method, path, body=None, key="key-1"):
        """A client's call, written to the record."""
        begin = time.monotonic()
        status, text = host.call(method, path, body, key)
        self.record("client: %s %s at %s -> %d %s (%d ms)" % (
            method, path, host.name, status, text, (time.monotonic() - begin) * 1000))
        return status, text

    def stop(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.send(signal.SIGCONT)
                host.kill()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Worker(world.Worker):
    """A worker whose runs take as many milliseconds as their spec says. It writes
    what it starts and how it ends to the record."""

    def __init__(self, record, ident, store, cpu=64000, mem_mb=131072, kind="a", zone="z1",
                 on_start=None):
        self.record = record
        self.cpu, self.mem_mb, self.kind, self.zone = cpu, mem_mb, kind, zone
        self.on_start = on_start
        super().__init__(ident, store, 0)

    def entry(self):
        return {"service": "svc", "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0},
                "labels": [self.kind, "r1"], "born": self.born, "seq": 1}

    def end_where_due(self, task):
        if time.monotonic() > self.runs[task][1] + self.runs[task][2]:
            self.end(task, "done")

    def end(self, task, how):
        attempt = self.runs.pop(task)[0]
        self.last_end += 1
        self.ends.append([self.last_end, task, attempt, how, ""])
        self.spent[task] = max(self.spent.get(task, 0), attempt)
        self.record("worker %s: run %s %d ends %s" % (self.ident, task, attempt, how))
        self.lock.notify_all()

    def listed(self, task):
        return [task, self.runs[task][0], "", 50]

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        now = {"clock_ms": self.clock(), "born": self.born}
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, now
        if task in self.runs or attempt <= self.spent.get(task, 0):
            return 409, dict(now, reason="old")
        if body["deadline_ms"] < self.clock():
            return 409, dict(now, reason="late")
        self.runs[task] = (attempt, time.monotonic(), int(body["spec"].split()[0]) / 1000)
        self.record("worker %s: run %s %d starts, fence %d" % (
            self.ident, task, attempt, body["fence"]))
        if self.on_start:
            self.on_start(self, task, attempt, body)
        return 200, now

    def hold(self, body):
        self.ends = [e for e in self.ends if e[0] > body["ack_seq"]]
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < end and not self.cut:
            self.lock.wait(max(0.0, end - time.monotonic()))
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [self.listed(t) for t in self.runs],
                     "finished": self.ends[:500]}


def route(name, prefix, priority, slack=4.0, slo_ms=3000, attempts=3):
    return {"name": name, "host": "cell.example", "prefix": prefix, "kind": "mutating",
            "timeout_ms": 3000, "slo_ms": slo_ms, "priority": priority, "service": "svc",
            "attempts": attempts, "slack_factor": slack, "public": False}


def desired_state(version, routes, max_count=None):
    limit = dict({"cpu": 0, "mem_mb": 0, "gpu": 0}, **(max_count or {}))
    return {"version": version, "routes": routes,
            "services": [{"name": "svc", "rejects_overload": False, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t1", "api_keys": ["key-1"], "weight": 100,
                         "max_count": limit}]}


def job(run_ms, **phase):
    """A job of one step; phase holds the step's fields."""
    step = dict({"count": 1, "cpu": 1000, "mem_mb": 100, "est_ms": run_ms}, **phase)
    return json.dumps({"spec": "%d" % run_ms, "phases": [step]})


def run(folder, body):
    """Runs a case and exits with its outcome. Body gets the record and a list to
    which it adds the cells that are to be stopped."""
    record = Record(folder)
    record("TROUBLE=%d" % TROUBLE)
    cells = []
    try:
        outcome = body(record, cells)
    except Exception as why:  # Also an error of the script: no verdict on the rule.
        record("could not run: %r" % why)
        print("could not run: %r" % why)
        outcome = NOT_RUN
    finally:
        for cell in cells:
            cell.stop()
    record({HELD: "the rule held", BROKEN: "the rule was broken",
            NOT_RUN: "the case could not run"}[outcome])
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[outcome])
    sys.stdout.flush()
    os._exit(outcome)
