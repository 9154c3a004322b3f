#!/usr/bin/env python3
"""Guards against work that is lost, run twice at a time or left without an
answer when an entry host dies in the middle of a job."""

import signal

import cell


def main(c):
    c.configure()
    jobs = [f"job-{i}" for i in range(8)]
    for i, job in enumerate(jobs):
        c.submit_until_accepted(c.hosts[i % 3], job, tasks=4, run_ms=3000)
    victim = c.owner_of("r1-0")
    victim.send(signal.SIGKILL)
    victim.process.wait()
    cell.http(c.platform, "DELETE", f"/hosts/{victim.name}")
    alive = [host for host in c.hosts if host is not victim]
    cell.until(lambda: c.owner_of("r1-0") in alive, 20, "r1-0 is taken over")
    for i, job in enumerate(jobs):
        reply = c.wait_for_job(alive[i % 2], f"red:{job}")
        assert len(reply["tasks"]) == 4
    c.submit_until_accepted(alive[0], "after", tasks=2)
    c.wait_for_job(alive[1], "red:after")


cell.run(main)
