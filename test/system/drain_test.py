#!/usr/bin/env python3
"""Guards against a graceful shutdown that cuts off a request in flight (P10)
or leaves a partition without owner until its lease ends."""

import signal

import cell


def main(c):
    c.configure()
    leaving = c.owner_of("r1-0")
    others = [host for host in c.hosts if host is not leaving]
    calls = [cell.in_background(
        lambda i=i: c.call(leaving, f"call-{i}", f"body-{i}", 3000))
        for i in range(6)]
    forwarded = [cell.in_background(
        lambda i=i: c.call(others[i % 2], f"fwd-{i}", f"body-{i}", 3000))
        for i in range(6)]
    c.submit_until_accepted(leaving, "job", tasks=4, run_ms=4000)
    cell.until(lambda: len(c.starts("echo")) == 12, 20, "all calls run")
    leaving.send(signal.SIGTERM)
    for results in (calls, forwarded):
        for i, result in enumerate(results):
            status, reply = result()
            assert status == 200, reply
            assert reply["tasks"][0]["output"] == f"body-{i}", reply
    assert leaving.process.wait(40) == 0
    c.wait_for_job(others[0], "red:job")
    c.submit_until_accepted(others[1], "after", tasks=4)
    c.wait_for_job(others[0], "red:after")
    assert len(c.starts("echo")) == 12


cell.run(main)
