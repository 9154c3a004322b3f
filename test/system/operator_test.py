#!/usr/bin/env python3
"""Guards against a withdrawn key that is still honoured (P3) and a failure
domain that still gets work (P5) more than 8 s after the change."""

import time

import cell


def withdraw_key(c):
    c.put("key", c.key_hash, {"team": "red", "withdrawn": True},
          c.version_of("key", c.key_hash))
    changed = time.monotonic()
    last = {}
    i = 0
    while time.monotonic() < changed + cell.CHANGE_LIMIT + 2:
        for host in c.hosts:
            sent = time.monotonic()
            status, reply = c.call(host, f"withdrawn-{host.name}-{i}")
            if status == 200:
                last[host.name] = sent - changed
            else:
                assert reply["verdict"] == "not_run", reply
        i += 1
    print("last acceptance after the withdrawal, s:", last)
    assert all(after < cell.CHANGE_LIMIT for after in last.values()), last
    for host in c.hosts:
        status, reply = c.call(host, f"late-{host.name}")
        assert (status, reply["reason"]) == (401, "unknown_key"), reply


def take_domain_out(c):
    c.put("failure_domain", "d2", {"out": True})
    changed = time.time()
    i = 0
    while time.time() < changed + cell.CHANGE_LIMIT + 4:
        status, reply = c.submit(c.hosts[i % 3], f"job-{i}", tasks=3, run_ms=50)
        assert status in (200, 202), reply
        i += 1
        time.sleep(0.2)
    late = [each for each in c.history()
            if each["event"] == "start" and each["failure_domain"] == "d2"
            and each["at_ms"] / 1000 > changed + cell.CHANGE_LIMIT]
    assert not late, late
    in_d2 = [each["at_ms"] / 1000 - changed for each in c.history()
             if each["event"] == "start" and each["failure_domain"] == "d2"]
    assert in_d2, "the test needs starts in d2 before the change"
    print(f"last start in d2 {max(in_d2):.3f} s after the change")


def main(c):
    c.configure()
    for i in range(4):
        c.submit_until_accepted(c.hosts[i % 3], f"before-{i}", tasks=9)
    take_domain_out(c)
    withdraw_key(c)


cell.run(main)
