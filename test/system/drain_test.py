#!/usr/bin/env python3
"""Guards against a graceful shutdown that cuts off a request in flight (P10)
or leaves a partition without owner until its lease ends."""

import signal

import cell


def check_answers(results):
    for i, result in enumerate(results):
        status, reply = result()
        assert status == 200, reply
        assert reply["tasks"][0]["output"] == f"body-{i}", reply


def drain_host_without_partition(c):
    """All its requests are forwarded, so no partition holds its shutdown."""
    owners = [c.owner_of("r1-0"), c.owner_of("r1-1")]
    host = next(host for host in c.hosts if host not in owners)
    calls = [cell.in_background(
        lambda i=i: c.call(host, f"via-{i}", f"body-{i}", 3000))
        for i in range(4)]
    cell.until(lambda: len(c.starts("echo")) == 4, 20, "all calls run")
    host.send(signal.SIGTERM)
    check_answers(calls)
    assert host.process.wait(40) == 0
    c.hosts.remove(host)


def main(c):
    c.configure()
    drain_host_without_partition(c)
    leaving = c.owner_of("r1-0")
    others = [host for host in c.hosts if host is not leaving]
    calls = [cell.in_background(
        lambda i=i: c.call(leaving, f"call-{i}", f"body-{i}", 3000))
        for i in range(6)]
    forwarded = [cell.in_background(
        lambda i=i: c.call(others[0], f"fwd-{i}", f"body-{i}", 3000))
        for i in range(6)]
    c.submit_until_accepted(leaving, "job", tasks=4, run_ms=4000)
    cell.until(lambda: len(c.starts("echo")) == 16, 20, "all calls run")
    leaving.send(signal.SIGTERM)
    check_answers(calls)
    check_answers(forwarded)
    assert leaving.process.wait(40) == 0
    c.wait_for_job(others[0], "red:job")
    c.submit_until_accepted(others[0], "after", tasks=4)
    c.wait_for_job(others[0], "red:after")
    assert len(c.starts("echo")) == 16


cell.run(main)
