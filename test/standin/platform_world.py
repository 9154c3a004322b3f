"""Stand-in for the platform, on loopback: store, workers, advice.

Speaks the published calls, one thread a connection. Faults are set by
attributes: Store.down, Store.delay_s, Store.write_delay_s, Store.lose (share of
writes done without an answer), Store.mute (the connection of such a write stays
open), StoreDoor.silent (one host gets no answer), Worker.cut. The checks of a
test read Worker.history.
"""
import base64
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

LEASE_MAX_MS = 6000
TX_ENTRIES = 100
TX_BYTES = 1000000
SILENCE_S = 5
GANG_TIMEOUT_S = 3
GANG_SPEC = "gang "  # Begins the payload of a gang's job; its size follows.


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        self.server.owner.connections += 1
        import socket
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def serve(self):
        size = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(size) or b"{}")
        answer = self.server.owner.handle(self, urlparse(self.path), body)
        if answer is None:
            self.close_connection = True
            return
        status, payload = answer
        data = json.dumps(payload).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_PUT = do_DELETE = serve


class Service:
    def __init__(self, ip, port):
        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # The other end was killed.
        self.server = Server((ip, port), Handler)
        self.server.owner = self
        self.connections = 0  # Accepted so far.
        self.address = "%s:%d" % (ip, self.server.server_address[1])
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()


class Store(Service):
    def __init__(self, ip="127.0.0.1", port=0):
        self.rows = {}
        self.version = 0
        self.changed = threading.Condition()
        self.down = False
        self.delay_s = 0.004
        self.write_delay_s = 0.0  # Of transactions, in addition.
        self.row_bytes = 65536
        self.rejected = 0  # Transactions beyond the limits.
        self.faulty_rows = ()  # (table, key) of rows that are never written.
        self.lose = 0.0
        self.mute = False
        self.random = random.Random(1)
        super().__init__(ip, port)

    def put(self, table, key, value, part=""):
        with self.changed:
            self.version += 1
            if value is None:
                self.rows[(table, part, key)] = (None, self.version)
            else:
                text = base64.b64encode(json.dumps(value).encode()).decode()
                self.rows[(table, part, key)] = (text, self.version)
            self.changed.notify_all()

    def put_bytes(self, table, key, value, part=""):
        """Writes a row whose value need not be JSON."""
        with self.changed:
            self.version += 1
            self.rows[(table, part, key)] = (base64.b64encode(value).decode(), self.version)
            self.changed.notify_all()

    def value(self, table, key, part=""):
        with self.changed:
            text = self.rows.get((table, part, key), (None, 0))[0]
        return None if text is None else json.loads(base64.b64decode(text))

    def row(self, name):
        value, version = self.rows[name]
        out = {"table": name[0], "part": name[1], "key": name[2], "ver": version}
        if value is None:
            out["tombstone"] = True
        else:
            out["value"] = value
        return out

    def handle(self, _, url, body):
        if self.down:
            return 503, {}
        time.sleep(self.delay_s)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/rows-tx":
            time.sleep(self.write_delay_s)
            return self.transact(body)
        if url.path == "/rows-get":
            with self.changed:
                names = sorted(n for n in self.rows
                               if n[0] == query["table"] and n[1] == query["part"]
                               and n[2] >= query.get("from", "")
                               and self.rows[n][0] is not None)
                return 200, {"rows": [self.row(n) for n in names[:500]],
                             "has_more": len(names) > 500, "ver": self.version}
        return self.feed(query)

    def feed(self, query):
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            while True:
                rows = [self.row(n) for n in self.rows if n[0] == query["table"]
                        and self.rows[n][1] > int(query["after"])]
                left = end - time.monotonic()
                if rows or left <= 0 or self.down:
                    rows.sort(key=lambda r: r["ver"])
                    return 200, {"rows": rows, "ver": self.version}
                self.changed.wait(left)

    def exceeds_limits(self, body):
        rows = body["writes"]
        entries = len(body["expect_rev"]) + len(rows) + len(body["remove"])
        return (entries > TX_ENTRIES or len(json.dumps(body)) > TX_BYTES
                or any(len(base64.b64decode(r["value"])) > self.row_bytes for r in rows))

    def transact(self, body):
        if self.exceeds_limits(body):
            self.rejected += 1
            return 400, {}
        if any((r["table"], r["key"]) in self.faulty_rows for r in body["writes"]):
            return 400, {}
        with self.changed:
            for want in body["expect_rev"]:
                name = (want["table"], want["part"], want["key"])
                value, version = self.rows.get(name, (None, 0))
                if (0 if value is None else version) != want["ver"]:
                    present = [self.row(name)] if value is not None else []
                    return 412, {"rows": present}
            self.version += 1
            for row in body["writes"]:
                name = (row["table"], row["part"], row["key"])
                self.rows[name] = (row["value"], self.version)
            for row in body["remove"]:
                self.rows.pop((row["table"], row["part"], row["key"]), None)
            self.changed.notify_all()
            lost = self.random.random() < self.lose
            version = self.version
        if lost and self.mute:
            time.sleep(SILENCE_S)
        return None if lost else (200, {"ver": version})


class StoreDoor(Service):
    """The store as one host reaches it."""

    def __init__(self, store):
        self.store = store
        self.silent = False
        self.refused = set()  # Tables.
        self.rewrite = None  # Returns the row as this host reads it.
        super().__init__("127.0.0.1", 0)

    def handle(self, request, url, body):
        end = time.monotonic() + SILENCE_S
        while self.silent:
            if time.monotonic() > end:
                return None
            time.sleep(0.02)
        if parse_qs(url.query).get("table", [""])[0] in self.refused:
            return 503, {}
        answer = self.store.handle(request, url, body)
        if answer and self.rewrite and "rows" in answer[1]:
            answer[1]["rows"] = [self.rewrite(row) for row in answer[1]["rows"]]
        return answer


class GangRun:
    """The members of one attempt of a gang, on all workers."""

    lock = threading.Lock()
    known = {}  # By step and attempt.

    def __init__(self, size):
        self.size = size
        self.present = set()
        self.whole_since = None
        self.over = None  # How the first member ended.

    @classmethod
    def join(cls, task, attempt, spec):
        """Adds a member; none where the job is no gang."""
        if not spec.startswith(GANG_SPEC):
            return None
        with cls.lock:
            step = (task.rpartition(".")[0], attempt)
            gang = cls.known.setdefault(step, cls(int(spec[len(GANG_SPEC):])))
            gang.present.add(task)
            if len(gang.present) == gang.size:
                gang.whole_since = time.monotonic()
            return gang

    def outcome(self, started, run_s):
        """How a member ends now, or none while it waits or works."""
        if self.over is not None:
            return "done" if self.over == "done" else "broken"
        now = time.monotonic()
        if self.whole_since is not None:
            return "done" if now > self.whole_since + run_s else None
        return "alone" if now > started + GANG_TIMEOUT_S else None


class Worker(Service):
    def __init__(self, ident, store, run_s, ip="127.0.0.1", wrap=None):
        self.ident = ident
        self.run_s = run_s
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.lock = threading.Condition()
        self.fence = 0
        self.deadline = 0
        self.runs = {}  # (attempt, start, GangRun or none) by task.
        self.ends = []
        self.last_end = 0
        self.spent = {}
        self.history = []  # (task, attempt, "start" or how it ended, time)
        self.cut = False
        self.rejects = False  # Refuses starts, as an unhealthy worker does.
        self.clock_rate = 1.0
        super().__init__(ip, 0)
        self.proxy = wrap(self.address) if wrap else None
        store.put("servers", ident, self.entry())
        threading.Thread(target=self.work, daemon=True).start()

    def entry(self):
        return {
            "service": "svc", "addr": (self.proxy or self).address, "zone": "z1",
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0},
            "labels": ["a", "r1"], "born": self.born, "seq": 1}

    def go_down(self, store):
        """All runs are gone at once, and so is the worker's entry."""
        with self.lock:
            for task, (attempt, _, gang) in self.runs.items():
                if gang:
                    gang.over = gang.over or "gone"
                self.history.append((task, attempt, "gone", time.monotonic()))
            self.runs, self.ends, self.last_end, self.spent = {}, [], 0, {}
            self.fence = self.deadline = 0
            self.cut = True
        store.put("servers", self.ident, None)

    def come_back(self, store, ident):
        with self.lock:
            self.ident = ident
            self.born = int(time.time() * 1000)
            self.started = time.monotonic()
            self.cut = False
        store.put("servers", ident, self.entry())

    def clock(self):
        return int((time.monotonic() - self.started) * 1000 * self.clock_rate) + 1

    def end(self, task, how):
        attempt, _, gang = self.runs.pop(task)
        if gang:
            gang.over = gang.over or how
        self.last_end += 1
        self.ends.append([self.last_end, task, attempt, how, ""])
        self.spent[task] = max(self.spent.get(task, 0), attempt)
        self.history.append((task, attempt, how, time.monotonic()))
        self.lock.notify_all()

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                lapsed = self.deadline and self.clock() > self.deadline
                for task in list(self.runs):
                    if lapsed:
                        self.end(task, "lapsed")
                    else:
                        self.end_where_due(task)

    def end_where_due(self, task):
        _, started, gang = self.runs[task]
        if gang:
            how = gang.outcome(started, self.run_s)
        else:
            how = "done" if time.monotonic() > started + self.run_s else None
        if how:
            self.end(task, how)

    def handle(self, request, url, body):
        if self.cut:
            time.sleep(3)
            return None
        if request.headers.get("X-Target-Instance") != self.ident:
            return 421, {}
        with self.lock:
            if self.cut:
                return None  # Went down in between.
            if body["fence"] < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body["fence"]
            if "deadline_ms" in body:
                self.deadline = max(self.deadline, min(
                    body["deadline_ms"], self.clock() + LEASE_MAX_MS))
            return getattr(self, url.path[1:].replace("-", "_"))(body)

    def run_start(self, body):
        task, attempt = body["task"], body["attempt"]
        now = {"clock_ms": self.clock(), "born": self.born}
        if self.rejects:
            return 503, now
        if task in self.runs and self.runs[task][0] == attempt:
            return 200, now
        if task in self.runs or attempt <= self.spent.get(task, 0):
            return 409, dict(now, reason="old")
        if body["deadline_ms"] < self.clock():
            return 409, dict(now, reason="late")
        self.runs[task] = (attempt, time.monotonic(),
                           GangRun.join(task, attempt, body["spec"]))
        self.history.append((task, attempt, "start", time.monotonic()))
        return 200, now

    def run_stop(self, body):
        task = body["task"]
        if task in self.runs and self.runs[task][0] <= body["attempt"]:
            self.end(task, "stopped")
        self.spent[task] = max(self.spent.get(task, 0), body["attempt"])
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def pace(self, _):
        return 200, {"clock_ms": self.clock(), "born": self.born}

    def hold(self, body):
        for end in [e for e in self.ends if e[0] <= body["ack_seq"]]:
            self.ends.remove(end)
            if end[3] == "done":
                self.history.append((end[1], end[2], "noted", time.monotonic()))
        end = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < end:
            self.lock.wait(end - time.monotonic())
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [self.listed(t) for t in self.runs],
                     "finished": self.ends[:500]}


    def listed(self, task):
        attempt, _, gang = self.runs[task]
        waits = gang and gang.whole_since is None
        return [task, attempt, "", 0 if waits else 50]


class MachineService(Service):
    """Machines m-0, m-1 ... of the workers, in pages of two."""

    UPKEEP_S = 0.5

    def __init__(self, store, workers):
        self.store = store
        self.workers = workers
        self.states = ["up"] * len(workers)
        self.upkeeps = [0] * len(workers)
        self.holders = []  # (machine, holder, fence, time)
        self.most_down = 0
        self.lock = threading.Lock()
        self.lose_next = False
        super().__init__("127.0.0.1", 0)

    def handle(self, request, url, body):
        if url.path == "/machines":
            query = parse_qs(url.query)
            first = int(query.get("page_token", ["0"])[0])
            rows = [{"machine": "m-%d" % n, "pool": "svc", "state": self.states[n],
                     "zone": "z1", "labels": ["a", "r1"], "id": w.ident}
                    for n, w in enumerate(self.workers)][first:first + 2]
            last = first + 2 >= len(self.workers)
            return 200, {"machines": rows, "next_token": None if last else str(first + 2)}
        return self.upkeep(request, int(body["machine"][2:]))

    def upkeep(self, request, number):
        with self.lock:
            self.holders.append((number, request.headers["X-Duty-Holder"],
                                 int(request.headers["X-Fence-Token"]), time.monotonic()))
            lost, self.lose_next = self.lose_next, False
            if self.upkeeps[number] == 0:
                self.upkeeps[number] += 1
                self.states[number] = "upkeep"
                self.most_down = max(self.most_down, self.states.count("upkeep"))
                self.workers[number].go_down(self.store)
                threading.Timer(self.UPKEEP_S, self.back, [number]).start()
        return None if lost else (200, {})

    def back(self, number):
        worker = self.workers[number]
        worker.come_back(self.store, worker.ident + "-b")
        self.states[number] = "up"


class AdviceService(Service):
    def handle(self, _, url, body):
        time.sleep(0.005)
        return 200, {"allowed": [[w, "t-" + w] for w in body["workers"]],
                     "valid_ms": 1500}


def desired_state(version=1, keys=("key-1",)):
    return {
        "version": version,
        "routes": [{"name": "r1", "host": "cell.example", "prefix": "/jobs/",
                    "kind": "mutating", "timeout_ms": 3000, "slo_ms": 500,
                    "priority": 0, "service": "svc", "attempts": 2,
                    "slack_factor": 2.0, "public": False,
                    "hint": {"decide_ms": 5, "period_ms": 0.1, "valid_ms": 1500}}],
        "services": [{"name": "svc", "rejects_overload": False, "standby": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": list(keys), "weight": 100,
                     "max_count": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]}
