#!/usr/bin/env python3
"""Guards against an owner that was paused beyond its lease and acts on its
old state when it wakes."""

import signal
import time

import cell


def main(c):
    c.configure()
    for i in range(6):
        c.submit_until_accepted(c.hosts[i % 3], f"before-{i}", tasks=3,
                                run_ms=8000)
    paused = c.owner_of("r1-0")
    others = [host for host in c.hosts if host is not paused]
    paused.send(signal.SIGSTOP)

    def taken_over():
        for host in others:
            status, page = cell.http(host.address, "GET", "/v1/status", None,
                                     cell.OPERATOR_KEY, 5)
            if status == 200 and any(
                    each["partition"] == "r1-0" and each["owned"]
                    for each in page["partitions"]):
                return True
        return False
    cell.until(taken_over, 20, "r1-0 is taken over")
    for i in range(6):
        c.submit_until_accepted(others[i % 2], f"during-{i}", tasks=2)
    paused.send(signal.SIGCONT)
    time.sleep(3)
    for i in range(6):
        c.wait_for_job(others[i % 2], f"red:before-{i}")
        c.wait_for_job(others[i % 2], f"red:during-{i}")
    # The host that slept takes part again.
    c.submit_until_accepted(paused, "woken")
    c.wait_for_job(paused, "red:woken")


cell.run(main)
