"""LOST: jobs of a lower priority wait on an idle cell after the queue with the
highest priority, which nobody used, was removed while others had work running."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import cell3  # noqa: E402

WORKERS = 4
WORKER_CPU = 64000
FIRST, SECOND = "00000000000000a1", "00000000000000a2"
TASK_CPU = 16000
FIRST_MS, SECOND_MS = 4000, 8000
FINISH_S = 14  # After the end of the traffic.
WITHOUT_RUN_S = 3


def body(record, cells):
    starts = []

    def started(worker, task, attempt, order):
        starts.append((time.monotonic(), task.split(".")[0]))

    quotes, render, batch = (cell3.route("quotes", "/quotes/", 0),
                             cell3.route("render", "/render/", 1),
                             cell3.route("batch", "/batch/", 2))
    cell = cell3.Cell(
        record, cell3.desired_state(1, [quotes, render, batch]),
        lambda c: [cell3.Worker(record, "w-%d" % n, c.store, cpu=WORKER_CPU, on_start=started)
                   for n in range(WORKERS)])
    cells.append(cell)
    cell.start()
    cell.owner()
    request = cell3.job(FIRST_MS, count=3 * WORKERS, cpu=TASK_CPU, mem_mb=8000)
    if cell.call(cell.hosts[0], "POST", "/render/" + FIRST, request)[0] != 200:
        raise cell3.NotRun("the first job was not accepted")
    cell.wait_for(lambda: len(starts) == 3 * WORKERS, 10, "the first job runs")
    if cell3.TROUBLE:
        cell.store.put("op", "config", cell3.desired_state(2, [render, batch]))
        record("operator: version 2 removes the queue quotes, with priority 0")
    cell.wait_for(lambda: "complete" in cell.call(cell.hosts[1], "GET", "/render/" + FIRST)[1],
                  15, "the first job is complete")
    time.sleep(2)
    request = cell3.job(SECOND_MS, cpu=TASK_CPU, mem_mb=8000)
    if cell.call(cell.hosts[0], "POST", "/batch/" + SECOND, request)[0] != 200:
        raise cell3.NotRun("the second job was not accepted")
    traffic_ends = time.monotonic()
    while time.monotonic() < traffic_ends + FINISH_S + WITHOUT_RUN_S + 0.5:
        time.sleep(1)
        cell.call(cell.hosts[1], "GET", "/batch/" + SECOND)
    in_time = [t for t, job in starts
               if job == SECOND and t < traffic_ends + FINISH_S + WITHOUT_RUN_S]
    record("starts of the second job until %d s after the end of the traffic: %d; workers %d, "
           "nothing else runs" % (FINISH_S + WITHOUT_RUN_S, len(in_time), WORKERS))
    return cell3.HELD if in_time else cell3.BROKEN


cell3.run(FOLDER, body)
