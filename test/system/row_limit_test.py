#!/usr/bin/env python3
"""Guards against a store that takes no write of anybody any more, because one
job's row is larger than the store accepts, or is rejected by it for good."""
import json
import sys
import time

from platform_hosts import Cell, job, state, wait_for

ROW_BYTES = 4096
STEPS = 10
OCCURRENCES = 80
INTERVAL_MS = 50
ACK_S = 3.0
SCHEDULE = "00000000000000a1"
ENDLESS = "00000000000000a2"
FAULTY = "00000000000000a3"
LARGE = "00000000000000a4"


def schedule(occurrences):
    phase = {"count": 1, "cpu": 50, "mem_mb": 10, "est_ms": 100}
    return json.dumps({"spec": "tick", "phases": [phase] * STEPS, "times": occurrences,
                       "start_ms": int(time.time() * 1000), "interval_ms": INTERVAL_MS})


def submit(host, ident, body):
    return host.call("POST", "/jobs/" + ident, body)[0]


def small_jobs_for(cell, seconds, first):
    """Submits small jobs all the time; each must be accepted."""
    end = time.monotonic() + seconds
    idents = []
    while time.monotonic() < end:
        idents.append("%016x" % (first + len(idents)))
        host = [h for h in cell.hosts if h.process.poll() is None][0]
        assert submit(host, idents[-1], job(1, 50)) == 200, idents[-1]
        time.sleep(0.2)
    return idents


def wait_complete(cell, host, idents, seconds):
    for ident in idents:
        wait_for(lambda i=ident: state(host, i) == "complete", seconds, ident + " complete")


def done_runs(cell, ident):
    return sorted(e[0] for w in cell.workers for e in list(w.history)
                  if e[2] == "done" and e[0].startswith(ident))


def check_schedule(cell):
    host = cell.hosts[0]
    assert submit(host, SCHEDULE, schedule(OCCURRENCES)) == 200
    small = small_jobs_for(cell, 3, 0xb000)
    cell.owner().kill()
    host = next(h for h in cell.hosts if h.process.poll() is None)
    wait_for(lambda: any(h.process.poll() is None and h.owns() for h in cell.hosts), 10,
             "another owner")
    small += small_jobs_for(cell, 2, 0xc000)
    wait_complete(cell, host, [SCHEDULE] + small, 30)
    runs = done_runs(cell, SCHEDULE)
    assert len(runs) == len(set(runs)) == OCCURRENCES * STEPS, (len(runs), len(set(runs)))
    assert cell.store.rejected == 0, cell.store.rejected


def check_cancel(cell, host):
    assert submit(host, ENDLESS, schedule(10000)) == 200
    time.sleep(5)
    begin = time.monotonic()
    status, _ = host.call("DELETE", "/jobs/" + ENDLESS)
    took = time.monotonic() - begin
    assert status == 200 and took < ACK_S, (status, took)
    wait_for(lambda: state(host, ENDLESS) == "canceled", 5, "schedule canceled")


def check_large(host):
    phase = {"count": 1, "cpu": 50, "mem_mb": 10, "est_ms": 100, "image": "i" * 40}
    body = json.dumps({"spec": "large", "phases": [phase] * 300})
    status, text = host.call("POST", "/jobs/" + LARGE, body)
    assert status == 400 and "too large" in text, (status, text)
    assert state(host, LARGE) == "410"


def check_faulty(cell, host):
    cell.store.faulty_rows = {("progress", FAULTY)}
    assert submit(host, FAULTY, job(2, 50, steps=3)) == 200
    small = small_jobs_for(cell, 3, 0xd000)
    wait_for(lambda: state(host, FAULTY) == "failed", 10, "faulty job failed")
    wait_complete(cell, host, small, 10)
    metrics = "".join(h.metrics() for h in cell.hosts if h.process.poll() is None)
    assert 'change_not_storable' in metrics, metrics
    wait_for(lambda: not any(w.ends for w in cell.workers), 5, "ends acknowledged")


def main():
    cell = Cell(sys.argv[1], run_s=0.1, row_bytes=ROW_BYTES)
    try:
        check_schedule(cell)
        host = next(h for h in cell.hosts if h.process.poll() is None)
        check_cancel(cell, host)
        check_large(host)
        assert cell.store.rejected == 0, cell.store.rejected
        check_faulty(cell, host)
    finally:
        cell.stop()


main()
