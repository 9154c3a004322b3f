#!/usr/bin/env python3
"""Randomized soak: real entry hosts beside the platform's stand-in, with faults
from outside them that overlap, and checks of what callers and workers see.

usage: soak.py BUILD [--seed N] [--seconds N] [--hosts N] [--workers N] [--net N]

Faults: processes killed, stopped, paused, told to reload; connections to the
store, to workers and between hosts delayed, silenced, reset, cut one way or
overtaken by newer ones by proxies; an owner paused again and again beside a slow
store; the store away, slow or losing answers; workers that crash, reject starts
or have slow clocks; new desired states. --net: third number of the hosts'
addresses, so that several soaks can run side by side.
"""
import argparse
import collections
import http.client
import json
import math
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(HERE, "..", "system"), os.path.join(HERE, "..", "standin")]
import platform_world as world  # noqa: E402
from platform_hosts import CALLER_PORT, PEER_PORT, Cell  # noqa: E402
from proxy import OwnerPath, Proxy  # noqa: E402

CALLERS = 8
CALM_S = 45       # Longer than a lease, a takeover and the latest order.
CANCEL_S = 9      # From a cancel's acknowledgement to the last start.
QUIET_S = 8       # After the last fault no member of a gang ends alone.
UNREAD_S = 0.3    # An idle connection that is closed shows by then.
FAULT_S = (0.2, 4.0)
PAUSE_S = (0.7, 2.5)  # Longer than a link between hosts stays open in silence.
PAUSE_GAP_S = (0.05, 0.6)
# Delays of each call to the store, and of transactions in addition.
SLOW_STORE_S = ((0.3, 0), (0.8, 0))
SLOW_WRITES_S = ((0.004, 0.8), (0.004, 1.5))
TIMEOUTS_MS = (1000, 1500, 3000)  # Of callers.
LATE_S = 0.5  # Scheduling of callers and hosts on a busy machine.
REFUSALS = (400, 401, 403, 404, 429, 503)  # Each promises that nothing runs.

# One attempt of a request: host and status as the caller saw them (status 0:
# no answer), begin and end in monotonic seconds.
Attempt = collections.namedtuple("Attempt", "host begin end status text")


def clock_time(monotonic):
    """The time of day as in the hosts' logs."""
    at = monotonic + time.time() - time.monotonic()
    return time.strftime("%H:%M:%S", time.gmtime(at)) + ".%03d" % (at % 1 * 1000)


class Jobs:
    """What callers were told of each job."""

    def __init__(self):
        self.lock = threading.Lock()
        self.phases = {}     # By id.
        self.accepted = {}   # Time of the first 2xx, by id.
        self.attempts = {}   # Of submissions, by id.
        self.cancelled = {}  # Time of the first 2xx.
        self.asked_to_cancel = set()
        self.problems = []

    def fail(self, text):
        with self.lock:
            self.problems.append(text)

    def refused(self, ident):
        """Whether no attempt had an answer that lets the job run."""
        return all(a.status in REFUSALS for a in self.attempts.get(ident, []))

    def describe(self, ident):
        return "; ".join(
            "%s to %s at %s: %d %s" % (clock_time(a.begin), clock_time(a.end), a.host,
                                       a.status, a.text[:100].strip())
            for a in self.attempts.get(ident, []))


class Caller(threading.Thread):
    """Submits, polls and cancels over connections that it keeps."""

    def __init__(self, number, cell, jobs, seed):
        super().__init__(daemon=True)
        self.number, self.cell, self.jobs = number, cell, jobs
        self.random = random.Random(seed * 1000 + number)
        self.links = {}
        self.count = 0
        self.stopping = False

    def call(self, host, method, path, body=None):
        """Status and body; status 0 where no answer came."""
        begin = time.monotonic()
        timeout_ms = self.random.choice(TIMEOUTS_MS)
        link = self.links.get(host.ip) or http.client.HTTPConnection(
            host.ip, CALLER_PORT, timeout=5)
        try:
            link.request(method, path, body, {
                "Host": "cell.example", "Api-Key": "key-1", "X-Deadline-Ms": str(timeout_ms)})
            answer = link.getresponse()
            text = answer.read().decode()
            closing = answer.getheader("Connection") == "close"
            self.links[host.ip] = None if closing else link
            if answer.status == 503:
                self.check_late(host, begin, timeout_ms, method + " " + path)
            return answer.status, text
        except (OSError, http.client.HTTPException):
            link.close()
            self.links[host.ip] = None
            self.check_missing(host, begin, method + " " + path)
            return 0, ""

    def check_missing(self, host, begin, what):
        """A process that is only asked to stop or to reload may leave a request
        unanswered where it ends before it reads it, and not later."""
        disturbed = any(name == host.name and until >= begin
                        for name, until in list(self.cell.disturbed.values()))
        if time.monotonic() > begin + UNREAD_S and not disturbed:
            self.jobs.fail("no answer by %s: %s" % (host.name, what))

    def check_late(self, host, begin, timeout_ms, what):
        """A refusal is given within the caller's timeout, except by a process that
        was paused meanwhile."""
        taken_s = time.monotonic() - begin
        _, paused_until = self.cell.disturbed.get(host.name, (None, 0))
        if taken_s > timeout_ms / 1000 + LATE_S and paused_until < begin:
            self.jobs.fail("503 after %.1f s with a timeout of %d ms, begun %s, by %s: %s" % (
                taken_s, timeout_ms, clock_time(begin), host.name, what))

    def host(self):
        return self.random.choice(self.cell.hosts)

    def draw(self):
        phases = []
        for step in range(self.random.randint(1, 2)):
            phases.append({"count": self.random.randint(1, 4), "mem_mb": 100, "est_ms": 300,
                           "cpu": self.random.choice((400, 900, 1900))})
            if step:
                phases[step]["after"] = [step - 1]
        spec = "work"
        if self.random.random() < 0.4:
            phases = phases[:1]
            phases[0]["gang"] = True
            spec = world.GANG_SPEC + str(phases[0]["count"])
        return spec, phases

    def submit(self):
        ident = "%08x%08x" % (self.number, self.count)
        self.count += 1
        spec, phases = self.draw()
        self.jobs.phases[ident] = phases
        body = json.dumps({"spec": spec, "phases": phases})
        attempts = self.jobs.attempts[ident] = []
        # Further attempts may hide that a job runs whose first one was refused.
        for _ in range(self.random.choice((1, 1, 2, 4))):
            host, begin = self.host(), time.monotonic()
            status, text = self.call(host, "POST", "/jobs/" + ident, body)
            attempts.append(Attempt(host.name, begin, time.monotonic(), status, text))
            if status == 200:
                self.jobs.accepted.setdefault(ident, time.monotonic())
                return ident
            time.sleep(self.random.uniform(0.1, 0.5))
        return None

    def poll(self, ident):
        status, text = self.call(self.host(), "GET", "/jobs/" + ident)
        if status == 410 and ident not in self.jobs.asked_to_cancel:
            self.jobs.fail("accepted job is not known: " + ident)
        if status != 200:
            return None
        state = json.loads(text)["state"]
        if state == "complete" and not all_done(self.cell, self.jobs, ident):
            self.jobs.fail("shown as complete before its tasks are done: " + ident)
        if state == "failed" or state == "canceled" and \
                ident not in self.jobs.asked_to_cancel:
            self.jobs.fail("shown as %s without cause: %s" % (state, ident))
        return state

    def cancel(self, ident):
        self.jobs.asked_to_cancel.add(ident)
        status, _ = self.call(self.host(), "DELETE", "/jobs/" + ident)
        if status == 200:
            self.jobs.cancelled[ident] = time.monotonic()
        elif status in REFUSALS:  # The job goes on, so it must end as complete.
            self.jobs.asked_to_cancel.discard(ident)

    def run(self):
        while not self.stopping:
            ident = self.submit()
            if ident and self.random.random() < 0.1:
                self.cancel(ident)
            elif ident:
                self.poll(ident)
            time.sleep(self.random.uniform(0.05, 0.4))


def tasks_of(jobs, ident):
    return ["%s.0.%d.%d" % (ident, step, index)
            for step, phase in enumerate(jobs.phases[ident])
            for index in range(phase["count"])]


def all_done(cell, jobs, ident):
    done = {e[0] for w in cell.workers for e in list(w.history) if e[2] == "done"}
    for step, phase in enumerate(jobs.phases[ident]):
        names = ["%s.0.%d.%d" % (ident, step, n) for n in range(phase["count"])]
        whole = any if phase.get("gang") else all
        if not whole(name in done for name in names):
            return False
    return True


class Faults:
    """Series of faults that overlap; each takes itself back."""

    def __init__(self, cell, doors, owner_paths, workers, seed):
        self.cell, self.doors, self.workers = cell, doors, workers
        self.owner_paths = owner_paths  # By name of the host that follows owners.
        self.random = random.Random(seed)
        self.version = 10
        self.busy = set()

    def later(self, key, work, disturbs=None, after=None):
        """Takes a fault back after a while. disturbs: name of a host that owes no
        answers meanwhile."""
        after = self.random.uniform(*FAULT_S) if after is None else after

        def take_back():
            work()
            if disturbs:
                self.cell.disturbed[key] = (disturbs, time.monotonic())
            self.busy.discard(key)
        self.busy.add(key)
        if disturbs:
            self.cell.disturbed[key] = (disturbs, math.inf)
        threading.Timer(after, take_back).start()

    def one(self):
        kinds = (self.kill, self.terminate, self.pause, self.hup, self.door, self.door,
                 self.worker_link, self.worker_link, self.store, self.crash, self.reject,
                 self.configure, self.owner_link, self.overtaken, self.overtaken,
                 self.pause_owner)
        kind = self.random.choice(kinds)
        target = kind()
        return "%s %s" % (kind.__name__, target) if target is not None else None

    def idle_host(self):
        free = [h for h in self.cell.hosts if h.name not in self.busy]
        # One host at least stays up, so that callers see more than refusals.
        return self.random.choice(free) if len(free) > 1 else None

    def kill(self):
        host = self.idle_host()
        if host is None:
            return None
        self.later(host.name, host.start, host.name)
        host.kill()
        return host.name

    def terminate(self):
        host = self.idle_host()
        if host is None:
            return None
        host.process.send_signal(signal.SIGTERM)

        def restart():
            host.process.wait(15)
            host.start()
        self.later(host.name, restart)
        return host.name

    def pause(self):
        host = self.idle_host()
        if host is None:
            return None
        process = host.process
        self.later(host.name, lambda: process.send_signal(signal.SIGCONT), host.name)
        process.send_signal(signal.SIGSTOP)
        return host.name

    def pause_owner(self):
        """Pauses the owner several times beside a slow store, so that links end as
        silent while requests lie in their sockets."""
        if self.idle_host() is None:
            return None
        host = next((h for h in self.cell.hosts if h.name not in self.busy and h.owns()), None)
        if host is None:
            return None
        pauses = [(self.random.uniform(*PAUSE_S), self.random.uniform(*PAUSE_GAP_S))
                  for _ in range(self.random.randint(2, 3))]
        process = host.process

        def series():
            for pause, gap in pauses:
                process.send_signal(signal.SIGSTOP)
                time.sleep(pause)
                process.send_signal(signal.SIGCONT)
                time.sleep(gap)
        if "store" not in self.busy:
            self.slow_store()
        self.later(host.name, series, host.name, after=0)
        return host.name

    def hup(self):
        host = self.idle_host()
        if host is not None:
            host.process.send_signal(signal.SIGHUP)
        return host and host.name

    def trouble(self, key, proxy, host=None, mode=None):
        if key in self.busy:
            return None
        mode = mode or self.random.choice(Proxy.MODES[1:])
        delay = self.random.uniform(0.05, 0.6)
        self.later(key, lambda: proxy.set("pass"), host)
        proxy.set(mode, delay)
        return key + " " + mode

    def door(self):
        at = self.random.randrange(len(self.doors))
        return self.trouble("store of host-%d" % at, self.doors[at], "host-%d" % at)

    def worker_link(self):
        at = self.random.randrange(len(self.workers))
        return self.trouble("worker %d" % at, self.cell.workers[at].proxy)

    def owner_link(self):
        name = self.random.choice(sorted(self.owner_paths))
        return self.trouble("owner link of " + name, self.owner_paths[name])

    def overtaken(self):
        """Lets requests on a host's link to the owner lag beside slow transactions, so
        that copies of them on the next link are refused before they arrive."""
        name = self.random.choice(sorted(self.owner_paths))
        if "store" in self.busy:
            return None
        what = self.trouble("owner link of " + name, self.owner_paths[name], mode="lag")
        if what is not None:
            self.slow_store(SLOW_WRITES_S)
        return what

    def store(self):
        if "store" in self.busy:
            return None
        store = self.cell.store
        what = self.random.choice(("down", "slow", "lose", "mute"))
        if what == "slow":
            return self.slow_store()
        store.down = what == "down"
        store.lose = 0.3 if what in ("lose", "mute") else 0
        store.mute = what == "mute"

        def restore():
            store.down, store.lose, store.mute = False, 0, False
        self.later("store", restore)
        return what

    def slow_store(self, delays=SLOW_STORE_S + SLOW_WRITES_S):
        store = self.cell.store
        store.delay_s, store.write_delay_s = self.random.choice(delays)
        what = "slow %g s + %g s" % (store.delay_s, store.write_delay_s)

        def restore():
            store.delay_s, store.write_delay_s = 0.004, 0
        self.later("store", restore)
        return what

    def crash(self):
        worker = self.random.choice(self.workers)
        key = "life of " + worker.ident
        if key in self.busy:
            return None
        worker.go_down(self.cell.store)
        self.later(key, lambda: worker.come_back(self.cell.store, worker.ident))
        return worker.ident

    def reject(self):
        worker = self.random.choice(self.workers)
        key = "health of " + worker.ident
        if key in self.busy:
            return None
        worker.rejects = True
        self.later(key, lambda: setattr(worker, "rejects", False))
        return worker.ident

    def configure(self):
        self.version += self.random.randint(1, 3)
        keys = ["key-1"] + ["key-%d" % self.version] * self.random.randint(0, 1)
        self.cell.store.put("op", "config", world.desired_state(self.version, keys))
        return self.version


def check_workers(cell, jobs, calm_since):
    """Promises that the workers' own records show."""
    events = sorted(((e[3], e[0], e[1], e[2], w) for w in cell.workers for e in w.history),
                    key=lambda e: e[0])
    running, noted, used = set(), set(), {}
    refused_but_run = set()
    for at, task, _, what, worker in events:
        ident, _, step, _ = task.split(".")
        cpu = jobs.phases[ident][int(step)]["cpu"]
        if what == "noted":
            noted.add(task)
        elif what == "start":
            if any((task, other) in running for other in cell.workers):
                jobs.fail("two runs at once: " + task)
            if task in noted:
                jobs.fail("started after its end was taken note of: " + task)
            if jobs.refused(ident) and ident not in refused_but_run:
                refused_but_run.add(ident)
                jobs.fail("refused job has run: %s started %s on %s; attempts: %s" % (
                    task, clock_time(at), worker.ident, jobs.describe(ident)))
            if at > jobs.cancelled.get(ident, at) + CANCEL_S:
                jobs.fail("started long after its cancel: " + task)
            running.add((task, worker))
            used[worker] = used.get(worker, 0) + cpu
            if used[worker] > 4000:
                jobs.fail("worker over its capacity: " + worker.ident)
        else:
            if (task, worker) in running:
                running.discard((task, worker))
                used[worker] -= cpu
            if what == "alone" and at > calm_since + QUIET_S:
                jobs.fail("a member of a gang waited alone in calm: " + task)


def settle(cell, jobs, callers):
    """Waits in calm until all accepted jobs have ended."""
    end = time.monotonic() + CALM_S
    owed = {i for i in jobs.accepted if i not in jobs.asked_to_cancel}
    while owed and time.monotonic() < end:
        for ident in sorted(owed):
            if callers[0].poll(ident) == "complete":
                owed.discard(ident)
        time.sleep(0.1)
    for ident in sorted(owed):
        jobs.fail("not complete after %d s of calm: %s" % (CALM_S, ident))


def make_owner_paths(hosts):
    """Lets every second host reach owners through proxies. The others connect
    directly, since a proxy does not show that a connection was refused."""
    paths = {}
    for host in hosts[::2]:
        paths[host.name] = OwnerPath(
            ["%s:%d" % (h.ip, PEER_PORT) for h in hosts if h is not host])
        host.door.rewrite = paths[host.name].rewrite
    return paths


def play(options):
    chance = random.Random(options.seed)
    cell = Cell(options.build, hosts=options.hosts, workers=options.workers,
                net=options.net, wrap_store=Proxy, wrap_worker=Proxy)
    for worker in cell.workers:
        worker.clock_rate = chance.uniform(0.98, 1.0)
    cell.disturbed = {}  # (host, end) by fault; no end while it lasts.
    jobs = Jobs()
    callers = [Caller(n, cell, jobs, options.seed) for n in range(CALLERS)]
    faults = Faults(cell, [h.store_path for h in cell.hosts], make_owner_paths(cell.hosts),
                    cell.workers, options.seed)
    try:
        for caller in callers:
            caller.start()
        begin = time.monotonic()
        while time.monotonic() < begin + options.seconds:
            what = faults.one()
            if what:
                print("%6.2f %s" % (time.monotonic() - begin, what), flush=True)
            time.sleep(chance.choice((0.05, 0.2, 0.6, 1.5)))
        while faults.busy:
            time.sleep(0.05)
        calm_since = time.monotonic()
        for caller in callers:
            caller.stopping = True
        for caller in callers:
            caller.join(30)
        settle(cell, jobs, callers)
        for host in cell.hosts:
            if host.process.poll() is not None:
                jobs.fail("ended by itself: " + host.name)
        check_workers(cell, jobs, calm_since)
        if jobs.problems:
            print("logs: " + cell.folder)
    finally:
        cell.stop()
    alone = sum(e[2] == "alone" for w in cell.workers for e in w.history)
    starts = sum(e[2] == "start" for w in cell.workers for e in w.history)
    refused = sum(jobs.refused(ident) for ident in jobs.attempts)
    print("seed %d: %d jobs accepted, %d refused, %d starts, %d ends alone, %d problems"
          % (options.seed, len(jobs.accepted), refused, starts, alone, len(jobs.problems)))
    for problem in jobs.problems[:20]:
        print("  " + problem)
    return 1 if jobs.problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    for name, usual in (("seconds", 30), ("hosts", 5), ("workers", 8), ("net", 7)):
        parser.add_argument("--" + name, type=int, default=usual)
    return play(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
