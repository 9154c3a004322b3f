"""A small installation on loopback for the cases: platform stand-ins and hosts.

The entry hosts are the deployed program, one process each. Store, workers and
machine service are threads of the script. They extend the project's stand-ins
(test/standin/platform_world.py) where PROTOCOL.md says more than these do.
"""
import base64
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

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path.insert(0, os.path.join(ROOT, "test", "standin"))
import platform_world as world  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "oleandergauge")
ROW_BYTES = 65536
TX_ENTRIES = 100
TX_BYTES = 1000000
TX_S = 0.008
HOST_CALL = "cell.example"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be brought about."""


class Record:
    """What was sent, answered and run, in record.txt."""

    def __init__(self, folder):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text, at=None):
        with self.lock:
            self.out.write("%9.3f %s\n" % ((at or time.monotonic()) - self.begin, text))
            self.out.flush()


class Store(world.Store):
    """The project's store, with the limits of a transaction and of a row."""

    def __init__(self, record):
        self.record = record
        self.refused = 0  # Transactions with a row that is too large.
        super().__init__()

    def transact(self, body):
        time.sleep(TX_S - self.delay_s)
        entries = len(body["expect_rev"]) + len(body["writes"]) + len(body["remove"])
        largest = max([len(base64.b64decode(r["value"])) for r in body["writes"]] or [0])
        if entries > TX_ENTRIES or largest > ROW_BYTES or len(json.dumps(body)) > TX_BYTES:
            self.refused += 1
            if self.refused in (1, 10, 100, 1000):
                self.record.write("store: 400 to a transaction, row of %d bytes, time %d"
                                  % (largest, self.refused))
            return 400, {}
        return super().transact(body)


class Worker(world.Worker):
    """The project's worker, with a capacity, a kind and the end of its life."""

    def __init__(self, ident, store, run_s, cpu=64000, mem=131072, labels=("a", "r1"),
                 machine="", zone="z1"):
        self.size = {"cpu": cpu, "mem_mb": mem, "gpu": 0}
        self.labels = list(labels)
        self.machine = machine
        self.state = "ready"
        self.zone = zone
        super().__init__(ident, store, run_s)

    def entry(self):
        out = dict(super().entry(), capacity=self.size, labels=self.labels,
                   state=self.state, zone=self.zone)
        if self.machine:
            out["machine"] = self.machine
        return out

    def leave(self, store):
        """Planned: drains, then leaves; the entry is removed."""
        self.state = "draining"
        store.put("servers", self.ident, dict(self.entry(), remaining_ms=2000))
        time.sleep(2.2)
        store.put("servers", self.ident, None)
        self.cut = True
        self.stop()
        self.server.server_close()


class Host:
    """One process as deployed, with its own address."""

    def __init__(self, folder, number, net, store_address, machines="", bounds=None,
                 share=0.25):
        self.number = number
        self.name = "edge-z1-%d" % number
        self.ip = "127.%d.%d.%d" % (net[0], net[1], 10 + number)
        self.port, self.ready_port = free_port(self.ip), free_port(self.ip)
        self.log = os.path.join(folder, self.name + ".out")
        self.settings = os.path.join(folder, self.name + ".conf")
        peer = net[2]
        values = {"hold_max_ms": 6000, "stop_ms": 200, "gang_timeout_ms": 3000,
                  "lease_ms": 3000, "maint_s": 2, "grace_s": 6, "status_s": 120}
        values.update(bounds or {})
        lines = ["node_name=" + self.name, "role=host", "machine_class=edge", "serves=edge",
                 "ip=" + self.ip, "zone=z1", "region=r",
                 "listen.frontend=%s:%d" % (self.ip, self.port),
                 "listen.ready=%s:%d" % (self.ip, self.ready_port),
                 "port_range=%d,%d" % (peer, peer + 15), "limits.cpu_share=%g" % share,
                 "limits.memory_mb=260", "commands=rpc", "platform.addr=" + store_address,
                 "platform.form=table", "platform.row_bytes=%d" % ROW_BYTES]
        if machines:
            lines += ["cloud_api.addr=" + machines]
        lines += ["bounds.%s=%s" % each for each in values.items()]
        with open(self.settings, "w") as out:
            out.write("\n".join(lines) + "\n")
        self.process = None
        self.start()

    def start(self):
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        environment["OLEANDERGAUGE_NODE_FILE"] = self.settings
        self.process = subprocess.Popen([PROGRAM, "host"], cwd=ROOT, env=environment,
                                        stdout=open(self.log, "a"),
                                        stderr=subprocess.STDOUT)

    def alive(self):
        return self.process.poll() is None

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def signal(self, number):
        self.process.send_signal(number)

    def owns(self):
        """Whether its log says that it became, and still is, the owner."""
        with open(self.log, errors="replace") as lines:
            text = lines.read()
        return text.rfind('"owner of the cell"') > max(
            text.rfind(line) for line in ('"started"', '"no longer owner"',
                                          '"ownership handed over"'))

    def call(self, method, path, body=None, key="key-1", timeout=4):
        """Status and body, or (0, "") without an answer."""
        link = http.client.HTTPConnection(self.ip, self.port, timeout=timeout)
        try:
            headers = {"Host": HOST_CALL, "X-Deadline-Ms": "3000", "Api-Key": key}
            if body is not None:
                headers["Content-Type"] = "application/json"
            link.request(method, path, body, headers)
            answer = link.getresponse()
            return answer.status, answer.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            link.close()

    def ready(self):
        link = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            link.close()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_net():
    """A part of the loopback range for the hosts, and a port for their links."""
    for second in range(20, 250):
        net = (os.getpid() % 200 + 20, second)
        ip = "127.%d.%d.10" % net
        try:
            with socket.socket() as metrics:
                metrics.bind((ip, 9464))
            return net + (free_port(ip),)
        except OSError:
            continue
    raise NotRun("no free loopback addresses")


def wait_for(holds, seconds, what, pause=0.02):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if holds():
            return
        time.sleep(pause)
    raise NotRun("not within %s s: %s" % (seconds, what))


class Installation:
    """Hosts, workers and a store; calls go to the hosts in turn, as retries do."""

    def __init__(self, record, config, hosts=3, bounds=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.store.put("op", "config", config)
        self.workers = []
        self.hosts = []
        self.bounds = bounds
        self.machines = None
        self.host_count = hosts

    def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise NotRun("target/oleandergauge is missing; run the build line first")
        net = free_net()
        address = self.machines.address if self.machines else ""
        for number in range(self.host_count):
            self.hosts.append(Host(self.folder, number, net, self.store.address, address,
                                   self.bounds))
        wait_for(lambda: all(h.ready() for h in self.hosts), 15, "hosts ready")

    def owner(self):
        found = []

        def look():
            found[:] = [h for h in self.hosts if h.alive() and h.owns()]
            return len(found) == 1
        wait_for(look, 15, "one owner")
        return found[0]

    def call(self, method, path, body=None, key="key-1", tries=5, quiet=False):
        """A client's call, repeated at the next host while it has no final answer."""
        status, text = 0, ""
        for attempt in range(tries):
            live = [h for h in self.hosts if h.alive()]
            host = live[attempt % len(live)]
            status, text = host.call(method, path, body, key)
            if not quiet:
                self.record.write("client: %s %s -> %s %s" % (method, path, status, text[:60]))
            if status not in (0, 429, 502, 503, 504):
                break
            time.sleep(0.3)
        return status, text

    def state(self, path):
        status, text = self.call("GET", path, tries=3, quiet=True)
        return json.loads(text).get("state") if status == 200 else str(status)

    def write_runs(self):
        events = [(e[3], w.ident) + e[:3] for w in self.workers for e in list(w.history)]
        for at, worker, task, attempt, what in sorted(events):
            self.record.write("worker %s: %s run %d %s" % (worker, task, attempt, what), at)

    def stop(self):
        for host in self.hosts:
            host.end()
        for host in self.hosts:
            with open(host.log, errors="replace") as lines:
                kept = [l.strip() for l in lines if '"owner' in l or "owner" in l.lower()]
            for line in kept[:40]:
                self.record.write("log of %s: %s" % (host.name, line[:200]))
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, services=("svc",), attempts=2, body_bytes=262144, queues=None,
           limit=None):
    """A desired state with a queue without advice for each service."""
    out = world.desired_state(version)
    route = dict(out["routes"][0], attempts=attempts)
    del route["hint"]
    out["routes"] = []
    for name, prefix, service in queues or [("q-" + s, "/%s/" % s, s) for s in services]:
        out["routes"].append(dict(route, name=name, prefix=prefix, service=service))
    out["services"] = [{"name": s, "rejects_overload": False, "standby": False}
                       for s in services]
    out["limits"]["max_body_bytes"] = body_bytes
    if limit:
        out["tenants"][0]["max_count"] = limit
    return out


def run(folder, play, limit_s=115):
    """Runs play(record, trouble), which returns whether the rule was broken."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def too_long(*_):
        raise NotRun("the case took longer than %d s" % limit_s)
    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, too_long)
    signal.alarm(limit_s)
    code = NOT_RUN
    try:
        record.write("disruption: %s" % ("yes" if trouble else "no"))
        code = BROKEN if play(record, trouble) else HELD
    except NotRun as why:
        record.write("could not run: %s" % why)
    except Exception as why:  # A fault of the script itself shows nothing.
        record.write("could not run: %r" % why)
    finally:
        signal.alarm(0)
    record.write("result: %s" % {HELD: "the rule held", BROKEN: "the rule is broken",
                                 NOT_RUN: "the case could not run"}[code])
    record.out.flush()
    os._exit(code)
