#!/usr/bin/env python3
"""Guards against tasks that stop and calls that are refused while the store
is out, against false verdicts, and against a change that is lost or done
twice when the store loses answers."""

import time

import cell


def main(c):
    c.configure()
    c.submit_until_accepted(c.hosts[0], "service", queue="service", tasks=4,
                            run_ms=0)
    c.submit_until_accepted(c.hosts[0], "long", tasks=4, run_ms=25000)
    cell.until(lambda: len(c.starts("service") + c.starts("long")) == 8, 20,
               "all tasks run")
    c.fault(table="down")
    outage = time.monotonic() + 15
    answered = refused = 0
    while time.monotonic() < outage:
        host = c.hosts[(answered + refused) % 3]
        status, reply = c.call(host, f"call-{answered + refused}", "b")
        if status == 200:
            answered += 1
            assert reply["tasks"][0]["output"] == "b", reply
        else:
            refused += 1
            assert reply["verdict"] == "not_run", reply
        time.sleep(0.2)
    print(f"calls in the outage: {answered} answered, {refused} refused")
    status, reply = c.submit(c.hosts[1], "in-outage")
    assert status >= 500 and reply["verdict"] == "not_run", (status, reply)
    c.fault(table="up")
    assert answered > refused, (answered, refused)
    c.submit_until_accepted(c.hosts[2], "after")
    c.wait_for_job(c.hosts[0], "red:after")
    c.wait_for_job(c.hosts[1], "red:long")
    # Nothing was started anew: the outage stopped no task.
    assert len(c.starts("service")) == 4, c.starts("service")
    assert len(c.starts("long")) == 4, c.starts("long")
    assert not c.starts("in-outage")

    c.fault(table="lose_answers", rate=0.3)
    for i in range(10):
        c.submit_until_accepted(c.hosts[i % 3], f"lossy-{i}", tasks=2)
    for i in range(10):
        c.wait_for_job(c.hosts[i % 3], f"red:lossy-{i}")
    c.fault(table="up", rate=1.0)
    for i in range(10):
        assert len(c.starts(f"lossy-{i}")) == 2, c.starts(f"lossy-{i}")


cell.run(main)
