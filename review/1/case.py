"""Ends that do not fit on one list, during an outage of the store."""
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from rig import Installation, NotRun, Worker, config, run, wait_for  # noqa: E402

JOB = "/svc/00000000000000a1"
TASKS = 2400
WORK_S = 0.64
DOWN_S = 4.5


def twice(workers):
    """Starts after a run of the task had ended done, which was taken note of.

    An end is taken note of when ack_seq reaches it, unless the worker's lease
    lapsed between the two.
    """
    noted = set()
    for worker in workers:
        open_ends = set()
        for task, attempt, what, _ in list(worker.history):
            if what == "done":
                open_ends.add((task, attempt))
            elif what == "lapsed":
                open_ends.clear()
            elif what == "noted" and (task, attempt) in open_ends:
                noted.add((task, attempt))
    events = sorted((e[3], e[0], e[1], e[2]) for w in workers for e in list(w.history))
    done, out = {}, []
    for at, task, attempt, what in events:
        if what == "start" and task in done:
            out.append((task, attempt, done[task], at))
        if what == "done" and (task, attempt) in noted:
            done.setdefault(task, (attempt, at))
    return out


def play(record, trouble):
    cell = Installation(record, config())
    cell.workers = [Worker("i-%d" % n, cell.store, WORK_S) for n in range(2)]
    try:
        cell.start()
        body = json.dumps({"spec": "work", "phases": [
            {"count": TASKS, "cpu": 500, "mem_mb": 256, "est_ms": 640}]})
        if cell.call("POST", JOB, body)[0] != 200:
            raise NotRun("the job was not accepted")
        done = lambda: sum(e[2] == "done" for w in cell.workers for e in list(w.history))
        wait_for(lambda: done() > 100, 20, "100 ends")
        if trouble:
            record.write("store: down for %g s (503)" % DOWN_S)
            cell.store.down = True
            time.sleep(DOWN_S)
            cell.store.down = False
            record.write("store: back, %d ends" % done())
            for w in cell.workers:
                record.write("worker %s: %d ends not taken note of" % (w.ident, len(w.ends)))
        wait_for(lambda: cell.state(JOB) == "complete", 70, "job complete", 0.5)
        time.sleep(1)
        again = twice(cell.workers)
        record.write("%d starts after the task had ended done" % len(again))
        for task, attempt, (first, ended), at in again[:10]:
            record.write("task %s: run %d started %.3f s after run %d had ended done"
                         % (task, attempt, at - ended, first), at)
        return bool(again)
    finally:
        cell.stop()
        cell.write_runs()


run(HERE, play)
