#!/usr/bin/env python3
"""Guards against a non-idempotent request that runs twice when it is sent
again to other hosts (P8), also after the death of its first host."""

import signal

import cell


def main(c):
    c.configure()

    def send(host, request, run_ms):
        return c.call(host, request, f"body of {request}", run_ms,
                      idempotent=False, command=request)
    first = cell.in_background(lambda: send(c.hosts[0], "slow", 3000))
    cell.until(lambda: c.starts("slow"), 20, "the request runs")
    again = [cell.in_background(lambda h=host: send(h, "slow", 3000))
             for host in c.hosts[1:]]
    for result in [first] + again:
        status, reply = result()
        assert status == 200, reply
        assert reply["tasks"][0]["output"] == "body of slow", reply
    status, reply = send(c.hosts[2], "slow", 3000)
    assert status == 200, reply
    assert len(c.starts("slow")) == 1, c.starts("slow")

    lost = cell.in_background(lambda: send(c.hosts[0], "lost", 4000))
    cell.until(lambda: c.starts("lost"), 20, "the request runs")
    c.hosts[0].send(signal.SIGKILL)
    lost()

    def retried():
        status, reply = send(c.hosts[1], "lost", 4000)
        assert status == 200 or reply["verdict"] != "ran", reply
        return reply if status == 200 or status == 502 else None
    print("after the host's death:", cell.until(retried, 40, "an answer"))
    assert len(c.starts("lost")) == 1, c.starts("lost")


cell.run(main)
