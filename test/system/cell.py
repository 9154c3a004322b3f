"""Starts and ends a cell of real processes on free loopback ports.

A cell has the platform stand-in, one process that plays the workers, and
entry hosts. Tests check what callers see and the workers' history.
"""

import hashlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.error
import urllib.request

OPERATOR_KEY = "operator-key-of-the-system-tests"
# Limits are generous, as other work may run on the machine.
START_LIMIT = 30
CHANGE_LIMIT = 8
_opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))


def http(address, method, path, body=None, key=None, timeout=60):
    """Returns the status and the JSON answer; status 0 without an answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{address}{path}", data=data, method=method)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    try:
        with _opener.open(request, timeout=timeout) as reply:
            return reply.status, json.loads(reply.read() or b"null")
    except urllib.error.HTTPError as error:
        text = error.read()
        try:
            return error.code, json.loads(text)
        except ValueError:
            return error.code, {"message": text.decode(errors="replace")}
    except (OSError, ValueError) as error:
        return 0, {"message": str(error)}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def until(check, limit, what):
    """Waits until check() is true and returns its value."""
    end = time.monotonic() + limit
    while time.monotonic() < end:
        value = check()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"not within {limit} s: {what}")


def in_background(work):
    """Runs work() in a thread; the returned function waits for its result."""
    results = []
    thread = threading.Thread(
        target=lambda: results.append(work()), daemon=True)
    thread.start()

    def result(limit=60):
        thread.join(limit)
        assert results, f"no result within {limit} s"
        return results[0]
    return result


class EntryHost:
    def __init__(self, cell, name, domain):
        self.name = name
        self.domain = domain
        # A port that was free may be taken by a connection meanwhile.
        while not self._start(cell):
            assert "already in use" in cell.log(name), cell.log(name)
        http(cell.platform, "POST", "/hosts", {
            "id": name, "address": self.peer, "kind": "entry", "region": "r1",
            "failure_domain": domain, "rack": name, "state": "live",
            "capacity": {}})

    def _start(self, cell):
        """False where the process ended by itself."""
        http_port, peer_port = free_ports(2)
        self.address = f"127.0.0.1:{http_port}"
        self.peer = f"127.0.0.1:{peer_port}"
        arguments = [
            os.path.join(cell.build, "oleandergauge"), "serve",
            "--host-id", self.name, "--region", "r1",
            "--failure-domain", self.domain,
            "--http-listen", self.address, "--peer-listen", self.peer,
            "--peer-advertise", self.peer, "--table-url", cell.platform_url,
            "--live-list-url", cell.platform_url]
        environment = dict(os.environ, OLEANDERGAUGE_OPERATOR_KEY=OPERATOR_KEY)
        self.process = cell.start(self.name, arguments, environment)
        until(lambda: self.process.poll() is not None
              or self._answers(self.address) and self._answers(self.peer),
              START_LIMIT, f"{self.name} listens")
        time.sleep(0.05)
        return self.process.poll() is None

    @staticmethod
    def _answers(address):
        host, port = address.split(":")
        try:
            socket.create_connection((host, int(port)), 1).close()
            return True
        except OSError:
            return False

    def send(self, sent):
        self.process.send_signal(sent)


class Cell:
    def __init__(self, build, hosts=3, workers=9, worker_options=()):
        self.build = build
        self.directory = tempfile.mkdtemp(prefix="oleandergauge-")
        self.processes = []
        self.platform = self._start_platform()
        self.platform_url = f"http://{self.platform}"
        self.workers = self._start_workers(workers, worker_options)
        self.hosts = [EntryHost(self, f"e{i}", f"d{i % 3 + 1}")
                      for i in range(1, hosts + 1)]

    def start(self, name, arguments, environment=None):
        with open(os.path.join(self.directory, f"{name}.log"), "ab") as log:
            process = subprocess.Popen(
                arguments, stdout=log, stderr=subprocess.STDOUT,
                env=environment)
        self.processes.append(process)
        return process

    def log(self, name):
        path = os.path.join(self.directory, f"{name}.log")
        with open(path, encoding="utf-8", errors="replace") as log:
            return log.read()

    def _start_platform(self):
        program = os.path.join(self.build, "test", "platform_standin")
        self.start("platform", [program])
        until(lambda: "platform " in self.log("platform"), START_LIMIT,
              "the platform stand-in listens")
        return self.log("platform").split()[1]

    def _start_workers(self, count, options):
        program = os.path.join(self.build, "test", "worker_standin")
        self.start("workers", [
            program, "--platform", self.platform_url, "--count", str(count),
            "--racks", str(count), *options])
        until(lambda: "ready" in self.log("workers"), START_LIMIT,
              "the workers listen")
        lines = [line.split() for line in self.log("workers").splitlines()]
        return {line[1]: line[2] for line in lines if line[0] == "worker"}

    def end(self):
        """Ends exactly the processes of this cell."""
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()

    # Records.

    def put(self, kind, name, body, expected=0):
        """Changes a record at the first entry host that takes the change."""
        def change():
            for host in self.hosts:
                if host.process.poll() is not None:
                    continue
                status, reply = http(
                    host.address, "PUT", f"/v1/records/{kind}/{name}",
                    {"expected_version": expected, "body": body},
                    OPERATOR_KEY, 5)
                if status == 200:
                    return reply
                if status in (400, 401, 409):
                    raise AssertionError(f"{kind}/{name}: {status} {reply}")
            return None
        return until(change, START_LIMIT, f"record {kind}/{name} is changed")

    def version_of(self, kind, name):
        status, reply = http(self.hosts[-1].address, "GET",
                             f"/v1/records/{kind}/{name}", None, OPERATOR_KEY)
        assert status == 200, (status, reply)
        return reply["version"]

    def add_key(self, team, key):
        name = hashlib.sha256(key.encode()).hexdigest()
        self.put("key", name, {"team": team})
        return name

    def configure(self, limit=40):
        """Two partitions, one team with a key and a queue of each class."""
        for stripe in range(2):
            self.put("partition", f"r1-{stripe}",
                     {"region": "r1", "stripe": stripe, "stripes": 2})
        self.put("team", "red", {"display_name": "Red"})
        self.put("share", "red", {"weight": 1.0})
        self.put("limit", "red", {"max_running": limit})
        for name in ("direct", "batch", "gang", "service"):
            self.put("queue", name, {"class": name, "access": "teams"})
        self.key = "key-of-team-red-0123456789"
        self.key_hash = self.add_key("red", self.key)
        until(self.ready, START_LIMIT, "both partitions have open workers")

    def ready(self):
        """True where both partitions have an owner with all its workers."""
        open_workers = 0
        owned = set()
        for host in self.hosts:
            if host.process.poll() is not None:
                continue
            status, page = http(host.address, "GET", "/v1/status", None,
                                OPERATOR_KEY, 5)
            if status != 200 or not page["config"]["may_act"]:
                return False
            for each in page["partitions"]:
                if each["owned"]:
                    owned.add(each["partition"])
                    open_workers += each["open_workers"]
        return len(owned) == 2 and open_workers == len(self.workers)

    def owner_of(self, partition):
        """The entry host that says that it owns the partition."""
        for host in self.hosts:
            if host.process.poll() is not None:
                continue
            status, page = http(host.address, "GET", "/v1/status", None,
                                OPERATOR_KEY, 2)
            if status == 200:
                for each in page["partitions"]:
                    if each["partition"] == partition and each["owned"]:
                        return host
        return None

    # Work.

    def call(self, host, request, body="", run_ms=20, key=None, **more):
        sent = {"request_id": request, "queue": "direct", "command": "echo",
                "body": body, "declared_run_ms": run_ms, **more}
        return http(host.address, "POST", "/v1/calls", sent, key or self.key)

    def submit(self, host, request, queue="batch", tasks=1, run_ms=200,
               key=None, **more):
        sent = {"request_id": request, "queue": queue, "command": request,
                "task_count": tasks, "declared_run_ms": run_ms, **more}
        return http(host.address, "POST", "/v1/jobs", sent, key or self.key)

    def submit_until_accepted(self, host, request, **more):
        def attempt():
            status, reply = self.submit(host, request, **more)
            assert status in (0, 200, 202, 502, 503, 504), (status, reply)
            return reply if status in (200, 202) else None
        return until(attempt, START_LIMIT, f"{request} is accepted")

    def job(self, host, job, key=None):
        return http(host.address, "GET", f"/v1/jobs/{job}", None,
                    key or self.key)

    def wait_for_job(self, host, job, limit=60):
        """Waits for the end and checks each task's whole output."""
        def ended():
            status, reply = self.job(host, job)
            return reply if status == 200 and reply["ended"] else None
        reply = until(ended, limit, f"job {job} ends")
        for task in reply["tasks"]:
            assert task["verdict"] == "ran", reply
            assert task["exit_code"] == 0, reply
            assert task["output"] == "rendered:" + job.split(":")[1], reply
        return reply

    # Platform and workers.

    def fault(self, **faults):
        assert http(self.platform, "POST", "/faults", faults)[0] == 200

    def worker_fault(self, worker, **faults):
        address = self.workers[worker]
        assert http(address, "POST", "/faults", faults)[0] == 200

    def history(self):
        address = next(iter(self.workers.values()))
        return http(address, "GET", "/history")[1]["history"]

    def starts(self, command):
        return [each for each in self.history()
                if each["event"] == "start" and each["command"] == command]

    def check_history(self):
        """No task ran twice at a time, no worker held more than it can."""
        running = {}
        used = {}
        for each in self.history():
            assert each["event"] != "violation", each
            task, worker = each["task"], each["worker"]
            sign = 1 if each["event"] == "start" else -1
            if sign == 1:
                assert task not in running, (running.get(task), each)
                running[task] = each
            else:
                del running[task]
            amounts = used.setdefault(worker, {})
            for name, amount in each["resources"].items():
                amounts[name] = amounts.get(name, 0) + sign * amount
                assert amounts[name] <= each["capacity"][name], each


def run(test, **options):
    """Runs a test on a cell and exits with 0 where it passed."""
    cell = Cell(os.path.abspath(sys.argv[1]), **options)
    try:
        test(cell)
        cell.check_history()
        print("passed")
        code = 0
    except Exception:  # Any failure of the test is printed with the logs.
        traceback.print_exc()
        for name in ["workers"] + [host.name for host in cell.hosts]:
            print(f"--- last lines of {name}")
            print("\n".join(cell.log(name).splitlines()[-30:]))
        code = 1
    finally:
        cell.end()
    sys.exit(code)
