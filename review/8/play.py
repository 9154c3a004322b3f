#!/usr/bin/env python3
"""A job of many small tasks is cancelled while its worker leaves some orders
unanswered."""
import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from rig_2 import Script, Worker, job, wait_for  # noqa: E402

LATE_SHARE = 0.055  # Share and length as in the site file.
LATE_S = 5.5
TASKS = 1200  # 0.05 cores each: they fit on one worker.
CANCEL_S = 3.0  # bounds.cancel_ms
IDENT = "00000000000000aa"


def play(script):
    worker = Worker("i-0", script.store, script.record)
    script.start_hosts(3)
    owner = script.owner()
    time.sleep(4)  # Over stable_ms after the start of the processes.
    if script.trouble:
        script.record.note("orders are left unanswered from now on")
        worker.late = LATE_SHARE
        threading.Timer(LATE_S, setattr, [worker, "late", 0.0]).start()
    assert owner.call("POST", "/jobs/" + IDENT, job(20, TASKS, 50))[0] == 200
    wait_for(lambda: len(worker.runs) >= 20, 10, "some tasks run")
    assert owner.call("DELETE", "/jobs/" + IDENT)[0] == 200
    cancelled = script.record.note("cancel acknowledged")
    time.sleep(14)
    script.record.note("orders without an answer:", worker.late_orders)
    return ["%s: attempt %d started %.3f s after the cancel was acknowledged" % (
        task, attempt, at - cancelled) for at, what, task, attempt in worker.events
        if what == "start" and at > cancelled + CANCEL_S]


Script(__file__).run(play)
