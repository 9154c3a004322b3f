"""Starts entry hosts as real processes beside the platform's stand-in."""
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import platform_world as world  # noqa: E402

CALLER_PORT = 18183
READY_PORT = 18184
PEER_PORT = 17420
METRICS_PORT = 9464


class Host:
    def __init__(self, program, folder, number, store, advice, machines, share=0.25,
                 net=0, wrap_store=None, row_bytes=65536):
        self.ip = "127.0.%d.%d" % (net, 10 + number)
        self.name = "host-%d" % number
        self.program = program
        self.door = world.StoreDoor(store)
        self.store_path = wrap_store(self.door.address) if wrap_store else self.door
        self.settings = os.path.join(folder, self.name + ".conf")
        self.log = os.path.join(folder, self.name + ".out")
        with open(self.settings, "w") as out:
            out.write("\n".join([
                "node_name=" + self.name, "ip=" + self.ip, "zone=z1",
                "listen.frontend=%s:%d" % (self.ip, CALLER_PORT),
                "listen.ready=%s:%d" % (self.ip, READY_PORT),
                "port_range=%d,%d" % (PEER_PORT, PEER_PORT + 15),
                "limits.cpu_share=%g" % share, "platform.addr=" + self.store_path.address,
                "hint=" + advice.address, "bounds.grace_s=6",
                "cloud_api.addr=" + machines.address, "bounds.lease_ms=1000",
                "bounds.maint_s=0.5", "bounds.hold_max_ms=6000",
                "platform.row_bytes=%d" % row_bytes, ""]))
        self.process = None
        self.start()

    def start(self):
        environment = dict(os.environ, OLEANDERGAUGE_NODE_FILE=self.settings)
        self.process = subprocess.Popen([self.program, "host"],
                                        stdout=open(self.log, "a"),
                                        env=environment)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def owns(self):
        """True where the host's log says that it became, and is still, owner."""
        with open(self.log) as lines:
            text = lines.read()
        return text.rfind('"owner of the cell"') > max(
            text.rfind(line) for line in ('"started"', '"no longer owner"',
                                          '"ownership handed over"'))

    def call(self, method, path, body=None, key="key-1", host="cell.example", timeout=5):
        link = http.client.HTTPConnection(self.ip, CALLER_PORT, timeout=timeout)
        try:
            headers = {"Host": host, "X-Deadline-Ms": "3000"}
            if key:
                headers["Api-Key"] = key
            link.request(method, path, body, headers)
            answer = link.getresponse()
            return answer.status, answer.read().decode()
        finally:
            link.close()

    def metrics(self):
        link = http.client.HTTPConnection(self.ip, METRICS_PORT, timeout=2)
        try:
            link.request("GET", "/metrics")
            return link.getresponse().read().decode()
        finally:
            link.close()

    def ready(self):
        link = http.client.HTTPConnection(self.ip, READY_PORT, timeout=1)
        try:
            link.request("GET", "/readyz")
            return link.getresponse().status == 200
        except OSError:
            return False
        finally:
            link.close()


class Cell:
    """Entry hosts, workers, one store, one advice service. Hosts reach the store,
    and the workers, through what wrap_store and wrap_worker make of an address."""

    def __init__(self, build, run_s=0.3, hosts=3, workers=4, net=0, wrap_store=None,
                 wrap_worker=None, row_bytes=65536):
        self.host_settings = {"net": net, "wrap_store": wrap_store, "row_bytes": row_bytes}
        self.folder = tempfile.mkdtemp(prefix="oleandergauge-")
        self.store = world.Store()
        self.store.row_bytes = row_bytes
        self.store.put("op", "config", world.desired_state())
        self.advice = world.AdviceService("127.0.0.1", 0)
        self.workers = [world.Worker("i-%d" % n, self.store, run_s, wrap=wrap_worker)
                        for n in range(workers)]
        self.machines = world.MachineService(self.store, self.workers)
        self.program = os.path.join(build, "oleandergauge")
        self.hosts = []
        for _ in range(hosts):
            self.add_host()
        wait_for(lambda: all(h.ready() for h in self.hosts), 15, "hosts ready")

    def add_host(self, **settings):
        self.hosts.append(Host(self.program, self.folder, len(self.hosts), self.store,
                               self.advice, self.machines, **self.host_settings,
                               **settings))
        return self.hosts[-1]

    def owner(self):
        wait_for(lambda: any(h.process.poll() is None and h.owns() for h in self.hosts),
                 10, "an owner")
        return next(h for h in self.hosts if h.process.poll() is None and h.owns())

    def stop(self):
        for host in self.hosts:
            if host.process.poll() is None:
                host.kill()


def wait_for(holds, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if holds():
            return
        time.sleep(0.05)
    raise AssertionError("not within %s s: %s" % (seconds, what))


def job(count=2, cpu=500, steps=1, gang=False):
    phases = [{"count": count, "cpu": cpu, "mem_mb": 100, "est_ms": 300}]
    if gang:
        phases[0]["gang"] = True
    for step in range(1, steps):
        phases.append(dict(phases[0], after=[step - 1]))
    spec = world.GANG_SPEC + str(count) if gang else "work"
    return json.dumps({"spec": spec, "phases": phases})


def state(host, ident):
    status, body = host.call("GET", "/jobs/" + ident)
    return json.loads(body).get("state") if status == 200 else str(status)
