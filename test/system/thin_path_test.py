#!/usr/bin/env python3
"""Guards against work of any class that is not placed or answered whole, and
against admission without a valid key."""

import cell


def main(c):
    c.configure()
    body = "x" * 100000
    for host in c.hosts:
        status, reply = c.call(host, f"call-{host.name}", body + host.name)
        assert status == 200, reply
        assert reply["tasks"][0]["output"] == body + host.name
    status, reply = c.submit(c.hosts[0], "batch-1", tasks=6)
    assert status in (200, 202), reply
    status, reply = c.submit(c.hosts[1], "gang-1", "gang", tasks=3)
    assert status in (200, 202), reply
    status, reply = c.submit(c.hosts[2], "service-1", "service", 2, 0)
    assert status in (200, 202), reply
    c.wait_for_job(c.hosts[2], "red:batch-1")
    gang = c.wait_for_job(c.hosts[0], "red:gang-1")
    assert len(gang["tasks"]) == 3

    def service_runs():
        tasks = c.job(c.hosts[1], "red:service-1")[1].get("tasks", [])
        return len(tasks) == 2 and all(
            task["state"] == "running" for task in tasks)
    cell.until(service_runs, 20, "both replicas run")
    status, reply = c.submit(c.hosts[0], "wrong", key="not-a-key")
    assert (status, reply["verdict"]) == (401, "not_run"), reply
    assert not c.starts("wrong")


cell.run(main)
