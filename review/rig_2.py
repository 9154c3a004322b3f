"""Stand-ins and processes of the scripts in review/6, review/8, review/9 and review/10.

Hosts are started with the command of the deploy file. The store and the advice
service are the project's stand-ins. Workers and the machine service are new
ones, which follow the platform's pages and record what they were sent.
"""
import base64
import http.client
import json
import os
import random
import select
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "standin"))
import platform_world as world  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "oleandergauge")
METRICS_PORT = 9464  # Fixed in the program.
ENDS_PER_ANSWER = 500
# BROKEN differs from what Python exits with after an error; run.sh makes it 1.
HELD, BROKEN, COULD_NOT_RUN = 0, 11, 2


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, script):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        folder = os.path.dirname(os.path.abspath(script))
        self.out = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.begin

    def note(self, what, *fields):
        at = self.now()
        with self.lock:
            self.out.write("%8.3f %s\n" % (at, " ".join([what, *map(str, fields)])))
        return at

    def close(self):
        self.out.close()


class Cut:
    """A TCP proxy for one address. While `active`, it holds the bytes that arrive,
    in both directions, and opens nothing, as a partition does. Held bytes are
    delivered afterwards, also those of a sender that has closed its end; those of
    a sender that has reset it are lost."""

    def __init__(self, target, on_bytes=None):
        self.target = parse(target)
        self.active = False
        self.on_bytes = on_bytes  # Sees the bytes of callers before they pass.
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(near,), daemon=True).start()

    def serve(self, near):
        try:
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # A partition loses the first packet; the caller's kernel sends it again.
            self.wait_for_end(near)
            far = socket.create_connection(self.target, timeout=5)
            far.settimeout(None)
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            reset(near)
            return
        back = threading.Thread(target=self.pump, args=(far, near, None), daemon=True)
        back.start()
        self.pump(near, far, self.on_bytes)
        back.join()
        near.close()
        far.close()

    def pump(self, source, sink, on_bytes):
        try:
            while True:
                data = source.recv(65536)
                if data and on_bytes:
                    on_bytes(data)
                self.wait_for_end(source)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            reset(sink)

    def wait_for_end(self, source):
        """Raises an error where the sender resets its end during the cut."""
        errors = select.poll()
        errors.register(source, 0)
        while self.active:
            if any(event & select.POLLERR for _, event in errors.poll(0)):
                raise OSError("reset by the sender")
            time.sleep(0.002)


def reset(link):
    try:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        link.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def parse(address):
    ip, port = address.split(":")
    return ip, int(port)


class Worker(world.Service):
    """A worker of 64 cores. A run takes the seconds that its spec begins with."""

    def __init__(self, ident, store, record, ip="127.0.0.1", cut=False, late=0.0, seed=1):
        self.ident, self.store, self.record = ident, store, record
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.changed = threading.Condition()
        self.fence = self.deadline = self.last_end = 0
        self.runs = {}  # (attempt, end time, seconds of work) by task.
        self.ends, self.spent = [], {}
        self.events = []  # (seconds, what, task, attempt)
        self.late = late  # Share of orders without an answer, carried out later.
        self.late_orders = 0
        self.gone = False
        self.random = random.Random(seed)
        super().__init__(ip, 0)
        self.cut = Cut(self.address) if cut else None
        self.entry = {
            "service": "svc", "addr": (self.cut or self).address, "zone": "z1",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": {"cpu": 64000, "mem_mb": 131072, "gpu": 0},
            "labels": ["a", "r1"], "born": self.born, "seq": 1}
        store.put("servers", ident, self.entry)
        threading.Thread(target=self.work, daemon=True).start()

    def leave(self):
        """The machine goes down: everything that runs on it terminates."""
        with self.changed:
            for task, (attempt, _, _) in self.runs.items():
                self.event("gone", task, attempt)
            self.runs = {}
            self.gone = True
        self.store.put("servers", self.ident, None)

    def event(self, what, task, attempt):
        at = self.record.note(what, "worker=" + self.ident, "task=" + task,
                              "attempt=%d" % attempt)
        self.events.append((at, what, task, attempt))

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    def end(self, task, how):
        attempt = self.runs.pop(task)[0]
        self.last_end += 1
        self.ends.append([self.last_end, task, attempt, how, ""])
        self.spent[task] = max(self.spent.get(task, 0), attempt)
        self.event(how, task, attempt)
        self.changed.notify_all()

    def work(self):
        while True:
            time.sleep(0.01)
            now = time.monotonic()
            with self.changed:
                lapsed = self.deadline and self.clock() > self.deadline
                over = [t for t, (_, end, _) in self.runs.items() if lapsed or now > end]
                for task in over:
                    self.end(task, "lapsed" if lapsed else "done")

    def handle(self, request, url, body):
        if self.gone:
            time.sleep(3)
            return None  # The machine is down.
        if request.headers.get("X-Target-Instance") != self.ident:
            return 421, {}
        name = url.path[1:].replace("-", "_")
        if name != "hold" and self.random.random() < self.late:
            self.late_orders += 1
            threading.Timer(2 + 10 * self.random.random(), self.carry_out,
                            [name, body, " late"]).start()
            time.sleep(15)  # The channel stays open without an answer.
            return None
        return self.carry_out(name, body, "")

    def carry_out(self, name, body, how):
        with self.changed:
            now = {"clock_ms": self.clock(), "born": self.born}
            if body["fence"] < self.fence:
                return 409, dict(now, reason="fence")
            self.fence = body["fence"]
            if "deadline_ms" in body:
                self.deadline = max(self.deadline, min(
                    body["deadline_ms"], self.clock() + world.LEASE_MAX_MS))
            return getattr(self, name)(body, now, how)

    def run_start(self, body, now, how):
        task, attempt = body["task"], body["attempt"]
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, now
        if task in self.runs or attempt <= self.spent.get(task, 0):
            return 409, dict(now, reason="old")
        if body["deadline_ms"] < self.clock():
            return 409, dict(now, reason="late")
        seconds = float(body["spec"].split()[0])
        self.runs[task] = (attempt, time.monotonic() + seconds, seconds)
        self.event("start" + how, task, attempt)
        return 200, now

    def run_stop(self, body, now, how):
        task, attempt = body["task"], body["attempt"]
        if task in self.runs and self.runs[task][0] <= attempt:
            self.end(task, "stopped")
        self.spent[task] = max(self.spent.get(task, 0), attempt)
        return 200, now

    def pace(self, _, now, how):
        return 200, now

    def hold(self, body, _, how):
        self.ends = [e for e in self.ends if e[0] > body["ack_seq"]]
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < end:
            self.changed.wait(end - time.monotonic())
        listed = self.ends[:ENDS_PER_ANSWER]
        if len(self.ends) > ENDS_PER_ANSWER:
            self.record.note("list", "worker=" + self.ident,
                             "ends %d to %d of %d" % (listed[0][0], listed[-1][0],
                                                      len(self.ends)))
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [self.listed(t) for t in self.runs], "finished": listed}

    def listed(self, task):
        attempt, end, seconds = self.runs[task]
        left = max(0.0, end - time.monotonic())
        return [task, attempt, "", int(100 - 100 * left / seconds), 0]


class Machines(world.Service):
    """The machines of the workers. An upkeep ends what runs on the machine; a new
    worker joins two seconds later."""

    UPKEEP_S = 2.0  # bounds.maint_s

    def __init__(self, store, record, workers, make_worker):
        self.store, self.record = store, record
        self.workers, self.make_worker = workers, make_worker
        self.states = ["up"] * len(workers)
        self.begun = [False] * len(workers)
        self.orders = []  # (seconds, machine, holder, fence)
        self.lock = threading.Lock()
        self.busy = False
        super().__init__("127.0.0.1", 0)

    def handle(self, request, url, body):
        if url.path == "/machines":
            return 200, {"next_token": None, "machines": [
                {"machine": "m-%d" % n, "pool": "svc", "state": self.states[n],
                 "zone": "z1", "labels": ["a", "r1"], "capacity": w.entry["capacity"],
                 "id": w.ident} for n, w in enumerate(self.workers)]}
        number = int(body["machine"][2:])
        holder, fence = request.headers["X-Duty-Holder"], int(request.headers["X-Fence-Token"])
        with self.lock:
            at = self.record.note("upkeep ordered", body["machine"], "holder=" + holder,
                                  "fence=%d" % fence)
            self.orders.append((at, body["machine"], holder, fence))
            if self.busy:
                return 503, {}
            if not self.begun[number]:
                self.begun[number] = True
                self.states[number] = "upkeep"
                self.workers[number].leave()
                threading.Timer(self.UPKEEP_S, self.back, [number]).start()
        return 200, {}

    def back(self, number):
        self.workers[number] = self.make_worker(number)
        self.states[number] = "up"
        self.record.note("up again", "m-%d" % number)

    def lower_after_higher(self):
        """Orders for a machine with a lower fence after one with a higher fence."""
        highest, out = {}, []
        for at, machine, holder, fence in self.orders:
            if fence < highest.get(machine, 0):
                out.append("%s: fence %d of %s at %.3f, after fence %d" % (
                    machine, fence, holder, at, highest[machine]))
            highest[machine] = max(fence, highest.get(machine, 0))
        return out


def free_port(ip):
    with socket.create_server((ip, 0)) as probe:
        return probe.getsockname()[1]


def free_ip():
    """A loopback address on which the port of the metrics is free."""
    while True:
        ip = "127.%d.%d.%d" % (random.randint(1, 250), random.randint(1, 250),
                               random.randint(1, 250))
        try:
            socket.create_server((ip, METRICS_PORT)).close()
            return ip
        except OSError:
            continue


class Host:
    """An entry host, with the bounds of a small deployment."""

    def __init__(self, number, folder, record, paths, share=0.25):
        self.ip, self.name, self.record = free_ip(), "host-%d" % number, record
        self.port, self.ready_port = free_port(self.ip), free_port(self.ip)
        peer_port = free_port(self.ip)
        self.peer_address = "%s:%d" % (self.ip, peer_port)
        self.settings = os.path.join(folder, self.name + ".conf")
        self.log = os.path.join(folder, self.name + ".out")
        with open(self.settings, "w") as out:
            out.write("\n".join([
                "node_name=" + self.name, "role=host", "machine_class=edge", "serves=edge",
                "ip=" + self.ip, "zone=z1", "region=area", "zones.z1=area",
                "listen.frontend=%s:%d" % (self.ip, self.port),
                "listen.ready=%s:%d" % (self.ip, self.ready_port),
                "port_range=%d,%d" % (peer_port, peer_port + 15),
                "limits.cpu_share=%g" % share, "limits.cores=1", "limits.memory_mb=260",
                "discovery=platform", "entry=vip", "heartbeat_ms=1500",
                "bounds.stable_ms=3000", "bounds.ack_ms=4000", "bounds.drain_ms=2000",
                "bounds.grace_s=6", "bounds.hold_max_ms=6000", "bounds.stop_ms=200",
                "bounds.gang_timeout_ms=3000", "bounds.cancel_ms=3000",
                "bounds.visible_ms=3000", "bounds.status_s=120", "bounds.remote_factor=3",
                "bounds.maint_s=2", "bounds.fencing_enforced=false", "bounds.lease_ms=3000",
                "commands=rpc", "hint=" + paths["advice"],
                "platform.addr=" + paths["store"], "platform.form=table",
                "platform.row_bytes=65536", "cloud_api.addr=" + paths["machines"],
                "cloud_api.rate_per_s=60.0", "cloud_api.duty_per_s=60.0", ""]))
        environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        self.process = subprocess.Popen(
            [PROGRAM, "host"], cwd=ROOT, stdout=open(self.log, "w"),
            stderr=subprocess.STDOUT, env=dict(environment, OLEANDERGAUGE_NODE_FILE=self.settings))

    def signal(self, number):
        self.record.note("signal", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def owns(self):
        with open(self.log) as lines:
            text = lines.read()
        return text.rfind('"owner of the cell"') > max(
            text.rfind(line) for line in ('"no longer owner"', '"ownership handed over"'))

    def ready(self):
        link = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()

    def call(self, method, path, body=None, timeout=5):
        """The status and body, or 0 without an answer."""
        link = http.client.HTTPConnection(self.ip, self.port, timeout=timeout)
        try:
            link.request(method, path, body and json.dumps(body), {
                "Host": "cell.example", "Api-Key": "key-1", "X-Deadline-Ms": "3000",
                "Content-Type": "application/json"})
            answer = link.getresponse()
            out = answer.status, answer.read().decode()
        except OSError as error:
            out = 0, str(error)
        finally:
            link.close()
        self.record.note("call", method, path, "at", self.name, "->", *out)
        return out


def desired_state(version=1):
    out = world.desired_state(version)
    for route in out["routes"]:
        route.pop("hint")  # Its policy allows all workers.
        route["attempts"] = 3
    return out


class Script:
    """The frame of a script: runs `play`, ends all processes, tells the result."""

    def __init__(self, script):
        self.record = Record(script)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.store = world.Store()
        self.store.put("op", "config", desired_state())
        self.advice = world.AdviceService("127.0.0.1", 0)
        self.hosts = []

    def start_hosts(self, count, machines="127.0.0.1:1", paths=None, shares=None):
        for number in range(count):
            own = {"store": self.store.address, "advice": self.advice.address,
                   "machines": machines}
            own.update(paths[number] if paths else {})
            self.hosts.append(Host(number, self.folder.name, self.record, own,
                                   shares[number] if shares else 0.25))
        wait_for(lambda: all(h.ready() for h in self.hosts), 20, "hosts ready")
        self.record.note("hosts ready")

    def owner(self):
        wait_for(lambda: any(h.owns() for h in self.hosts), 10, "an owner")
        return next(h for h in self.hosts if h.owns())

    def run(self, play):
        if not os.path.exists(PROGRAM):
            print("target/oleandergauge is missing")
            os._exit(COULD_NOT_RUN)
        try:
            broken = play(self)
            result = BROKEN if broken else HELD
            for line in broken[:20]:
                print(line)
            print("broken: %d" % len(broken) if broken else "held")
            self.record.note("result", "broken %d" % len(broken) if broken else "held",
                             *broken[:20])
        except Exception as error:  # Any error means that the case could not run.
            result = COULD_NOT_RUN
            print("could not run:", repr(error))
            self.record.note("could not run:", repr(error))
        for host in self.hosts:
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                os.system("cp %s %s" % (host.log, os.environ["KEEP_LOGS"]))
        self.record.close()
        self.folder.cleanup()
        sys.stdout.flush()
        os._exit(result)  # Threads of the stand-ins still wait.


def wait_for(holds, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if holds():
            return
        time.sleep(0.02)
    raise AssertionError("not within %s s: %s" % (seconds, what))


def job(seconds, count, cpu, **fields):
    phase = dict({"count": count, "cpu": cpu, "mem_mb": 10, "est_ms": int(seconds * 1000)},
                 **fields)
    return {"spec": "%g work" % seconds, "phases": [phase]}
