#!/usr/bin/env python3
"""Guards against requests without an answer at the end of a stand-alone host's
process."""

import json
import signal
import socket
import time

import cell


def follower(c):
    """A host that owns no partition."""
    owners = [c.owner_of("r1-0"), c.owner_of("r1-1")]
    return next(host for host in c.hosts if host not in owners)


def second_signal(c):
    """A second SIGTERM cut off the requests whose outcome was not known."""
    host = follower(c)
    calls = [cell.in_background(
        lambda i=i: c.call(host, f"second-{i}", f"body-{i}", 3000))
        for i in range(4)]
    cell.until(lambda: len(c.starts("echo")) == 4, 20, "all calls run")
    host.send(signal.SIGTERM)
    time.sleep(0.3)
    host.send(signal.SIGTERM)
    assert host.process.wait(10) == 130
    for call in calls:
        status, reply = call()
        assert status == 504 and reply["verdict"] == "may_have_run", (status, reply)
    c.hosts.remove(host)


def partly_read(c):
    """A draining host ended while it had read a part of a request."""
    host = c.hosts[0]
    body = json.dumps({"request_id": "part", "queue": "direct", "command": "echo",
                       "body": "", "declared_run_ms": 20})
    whole = ("POST /v1/calls HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n"
             "Content-Length: %d\r\n\r\n%s" % (c.key, len(body), body)).encode()
    address, port = host.address.split(":")
    link = socket.create_connection((address, int(port)), 10)
    link.sendall(whole[:-10])
    time.sleep(0.3)
    host.send(signal.SIGTERM)
    time.sleep(6)
    link.sendall(whole[-10:])
    answer = link.recv(65536)
    assert answer.startswith(b"HTTP/1.1 503"), answer
    assert host.process.wait(40) == 0
    c.hosts.remove(host)


def main(c):
    c.configure()
    second_signal(c)
    partly_read(c)


cell.run(main, hosts=4)
