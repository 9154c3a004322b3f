#!/usr/bin/env python3
"""Guards against tasks of a cancelled job that start seconds later: their start
orders waited behind others that the worker left without an answer."""
import itertools
import json
import sys
import time

from platform_hosts import Cell, job, state, wait_for

TASKS = 1000
LOST_EVERY = 15  # One of so many start orders gets no answer.
CANCEL_S = 3.0  # bounds.cancel_ms
STARTED_BEFORE_CANCEL = 20
RUN_S = 20
CANCELLED = "00000000000000a1"
NEXT = "00000000000000a2"


def lose_some_starts(worker):
    """Lets a worker ignore each LOST_EVERY-th start order."""
    numbers = itertools.count(1)
    handle = worker.handle

    def handle_or_lose(request, url, body):
        if url.path == "/run-start" and next(numbers) % LOST_EVERY == 0:
            time.sleep(1)
            return None
        return handle(request, url, body)

    worker.handle = handle_or_lose
    return lambda: setattr(worker, "handle", handle)


def starts_of(worker, ident):
    return [e[3] for e in list(worker.history) if e[2] == "start" and e[0].startswith(ident)]


def main():
    cell = Cell(sys.argv[1], workers=1, run_s=RUN_S)
    worker = cell.workers[0]
    try:
        host = cell.owner()
        answer_all = lose_some_starts(worker)
        phase = {"count": TASKS, "cpu": 3, "mem_mb": 1, "est_ms": 1000 * RUN_S}
        body = json.dumps({"spec": "work", "phases": [phase]})
        assert host.call("POST", "/jobs/" + CANCELLED, body)[0] == 200
        wait_for(lambda: len(worker.runs) >= STARTED_BEFORE_CANCEL, 5, "some tasks run")
        assert host.call("DELETE", "/jobs/" + CANCELLED)[0] == 200
        cancelled = time.monotonic()
        wait_for(lambda: not worker.runs, CANCEL_S, "the tasks are stopped")
        # The orders that were not sent take no room and owe no stop.
        answer_all()
        assert host.call("POST", "/jobs/" + NEXT, job(1, 3500))[0] == 200
        wait_for(lambda: state(host, NEXT) == "running", CANCEL_S, "the next job starts")
        time.sleep(max(0, cancelled + 2 * CANCEL_S - time.monotonic()))
        late = [at - cancelled for at in starts_of(worker, CANCELLED)
                if at > cancelled + CANCEL_S]
        assert not late, (len(late), max(late))
    finally:
        cell.stop()


main()
