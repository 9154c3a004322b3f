#!/usr/bin/env python3
"""Shows the scheduler on the platform's stand-in: three hosts, four workers.

Exits with 0 where every step went as it should.
"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "test", "system"))
from platform_hosts import Cell, job, state, wait_for  # noqa: E402


def served(cell, title, idents):
    begin = time.monotonic()
    for n, ident in enumerate(idents):
        live = [h for h in cell.hosts if h.process.poll() is None]
        status, _ = live[n % len(live)].call("POST", "/jobs/" + ident, job(count=3, steps=2))
        assert status == 200, status
    live = [h for h in cell.hosts if h.process.poll() is None]
    for ident in idents:
        wait_for(lambda: state(live[0], ident) == "complete", 15, ident + " complete")
    print("%s: %d jobs of 6 tasks complete after %.1f s"
          % (title, len(idents), time.monotonic() - begin), flush=True)


def main():
    cell = Cell(sys.argv[1])
    try:
        print("three entry hosts are ready, owner: " + cell.owner().name, flush=True)
        served(cell, "calm", ["%016x" % n for n in range(6)])
        owner = cell.owner()
        owner.kill()
        print("killed the owner, " + owner.name, flush=True)
        served(cell, "after a takeover by " + cell.owner().name, ["%016x" % (64 + n) for n in range(6)])
        status, _ = cell.hosts[0 if cell.hosts[0] is not owner else 1].call(
            "POST", "/jobs/00000000000000ff", job(), key="wrong")
        print("a job with an unknown key: %d" % status, flush=True)
        assert status == 401
    finally:
        cell.stop()


if __name__ == "__main__":
    main()
