"""A schedule whose progress outgrows a row of the store."""
import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from rig import Installation, NotRun, Worker, config, run, wait_for  # noqa: E402

SCHEDULE = "/svc/00000000000000b1"
PHASES = 20
INTERVAL_MS = 100
LONG, SHORT = 450, 100  # Times.
WORK_S = 0.1
ACK_S = 4.0     # ack_ms


def small(n):
    return "/svc/%016x" % (0xb100 + n), json.dumps(
        {"spec": "small", "phases": [{"count": 2, "cpu": 500, "mem_mb": 256, "est_ms": 100}]})


def play(record, trouble):
    cell = Installation(record, config())
    cell.workers = [Worker("i-%d" % n, cell.store, WORK_S) for n in range(4)]
    cell.workers.append(Worker("i-long", cell.store, 600, labels=("b", "r2")))
    try:
        cell.start()
        phase = {"count": 1, "cpu": 500, "mem_mb": 256, "est_ms": 100}
        times = LONG if trouble else SHORT
        body = json.dumps({"spec": "tick", "phases": [phase] * PHASES, "times": times,
                           "start_ms": int(time.time() * 1000), "interval_ms": INTERVAL_MS})
        if cell.call("POST", SCHEDULE, body)[0] != 200:
            raise NotRun("the schedule was not accepted")
        # Three long jobs on workers of their own; they are cancelled later.
        lasting = ["/svc/%016x" % (0xbb00 + n) for n in range(3)]
        for path in lasting:
            if cell.call("POST", path, json.dumps({"spec": "long", "phases": [
                    dict(phase, est_ms=600000, requires="b")]}))[0] != 200:
                raise NotRun("a long job was not accepted")
        ended = lambda: sum(e[2] == "done" for w in cell.workers for e in list(w.history))
        begin = time.monotonic()
        n, accepted = 0, []
        # Small jobs at all times: two a second.
        while time.monotonic() < begin + 60 and not cell.store.refused:
            path, text = small(n)
            n += 1
            if cell.call("POST", path, text, quiet=True)[0] == 200:
                accepted.append(path)
            if not trouble and time.monotonic() > begin + 15:
                break
            time.sleep(0.5)
        record.write("client: %d of %d small jobs accepted; %d ends" % (len(accepted), n, ended()))
        if trouble and not cell.store.refused:
            raise NotRun("the schedule has not grown so far")
        # From here on nothing else happens: the store is up, no link is harmed.
        time.sleep(ACK_S)
        took = {}

        def cancel(path):
            start = time.monotonic()
            status, _ = cell.call("DELETE", path)
            took[path] = time.monotonic() - start if status in (200, 410) else 1e9
        cancels = [threading.Thread(target=cancel, args=(p,)) for p in lasting]
        for each in cancels:
            each.start()
        refused = sum(cell.call("POST", *small(n + k), tries=2)[0] != 200 for k in range(5))
        for each in cancels:
            each.join()
        # A worker lists 500 ends at a time.
        listed = {(w.ident, e[0]) for w in cell.workers for e in list(w.ends)[:500]}
        time.sleep(ACK_S)
        still = listed & {(w.ident, e[0]) for w in cell.workers for e in list(w.ends)}
        unacked = sum(t > ACK_S for t in took.values())
        record.write("%d of 3 cancels of accepted jobs without 2xx or 410 within %g s"
                     % (unacked, ACK_S))
        record.write("%d of 5 new jobs not accepted" % refused)
        record.write("of %d ends that workers listed, %d not taken note of %g s later"
                     % (len(listed), len(still), ACK_S))
        record.write("store: %d transactions refused for a row above %d bytes"
                     % (cell.store.refused, 65536))
        return unacked * 10 > len(lasting)
    finally:
        cell.stop()
        cell.write_runs()


run(HERE, play)
