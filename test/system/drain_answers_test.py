#!/usr/bin/env python3
"""The end of an entry host's process: callers keep their connections open until
the process is gone, and a request without an answer is a failure.

Each check says which failure it guards against.
"""
import base64
import collections
import json
import os
import re
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_hosts import CALLER_PORT, METRICS_PORT, Cell, job, wait_for  # noqa: E402

EXIT_S = 10
DROPPED = ("dropped_answers", "dropped_frame_bytes")  # Fields of "stopped".
RELEASED = b"\x28\x01"  # Field "released" of the owner row, the last one.
SMALL_BUFFER = 16384  # Receive buffer of a slow client, in bytes.


class Client:
    """One connection, on which requests are written byte for byte."""

    def __init__(self, host, port=CALLER_PORT, buffer=None):
        self.link = socket.socket()
        if buffer:
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.link.settimeout(EXIT_S)
        self.link.connect((host.ip, port))
        self.unread = b""

    def send(self, data):
        self.link.sendall(data)

    def answer(self, pause_s=0, chunk=65536):
        """The status of the next answer; 0 where the connection ends before it is
        complete. Waits pause_s before each read."""
        try:
            while True:
                head, end, rest = self.unread.partition(b"\r\n\r\n")
                length = re.search(rb"content-length: *(\d+)", head, re.I)
                size = int(length.group(1)) if length else 0
                if end and len(rest) >= size:
                    self.unread = rest[size:]
                    return int(head.split()[1])
                time.sleep(pause_s)
                data = self.link.recv(chunk)
                if not data:
                    return 0
                self.unread += data
        except OSError:
            return 0


def request(method, path, body="", deadline_ms=3000):
    return ("%s %s HTTP/1.1\r\nHost: cell.example\r\nApi-Key: key-1\r\nX-Deadline-Ms: %d\r\n"
            "Content-Length: %d\r\n\r\n%s"
            % (method, path, deadline_ms, len(body), body)).encode()


def submission(number, **more):
    return request("POST", "/jobs/%016x" % number, job(count=1), **more)


def follower(cell):
    """A host that doesn't own the cell, and all others."""
    owner = cell.owner()
    host = next(h for h in cell.hosts if h is not owner)
    return host, [h for h in cell.hosts if h is not host]


def terminate(host):
    host.process.send_signal(signal.SIGTERM)
    return time.monotonic()


def sleep_until(moment):
    time.sleep(max(0, moment - time.monotonic()))


def pause(hosts):
    for host in hosts:
        host.process.send_signal(signal.SIGSTOP)


def resume(hosts):
    for host in hosts:
        host.process.send_signal(signal.SIGCONT)


def check(host, statuses, allowed):
    assert host.process.wait(EXIT_S) == 0
    counts = collections.Counter(statuses)
    assert set(counts) <= set(allowed), dict(counts)
    with open(host.log) as lines:
        stopped = [json.loads(each) for each in lines if '"msg":"stopped"' in each][-1]
    assert not any(stopped.get(each) for each in DROPPED), stopped


def refused_while_draining(cell):
    """A refusal after 0.5 s without an owner is sent, not only buffered, where
    it is the last answer of a draining host."""
    host, others = follower(cell)
    clients = [Client(host) for _ in range(5)]
    for other in others:
        other.kill()
    begin = terminate(host)
    sleep_until(begin + 1.1)
    for number, client in enumerate(clients):
        client.send(submission(0x100 + number))
    check(host, [c.answer() for c in clients], (503,))


def end_of_grace(cell):
    """Requests with an unknown outcome get 504 before the end of the grace
    period, and the process waits until these are sent."""
    host, others = follower(cell)
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.3)
    pause(others)
    for number, client in enumerate(clients):
        client.send(submission(0x200 + number, deadline_ms=30000))
    statuses = [c.answer() for c in clients]
    resume(others)
    check(host, statuses, (504,))
    took = time.monotonic() - begin
    assert took < 6, took


def end_of_grace_missed(cell):
    """Requests get their answers also where the host does not run during the
    time that is reserved for them: the turn that answered them ended the
    process."""
    host, others = follower(cell)
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.3)
    pause(others)
    for number, client in enumerate(clients):
        client.send(submission(0x900 + number, deadline_ms=30000))
    sleep_until(begin + 4.6)
    pause([host])
    sleep_until(begin + 5.4)
    resume([host])
    statuses = [c.answer() for c in clients]
    resume(others)
    check(host, statuses, (504,))


def second_signal(cell):
    """A second SIGTERM ends the process soon, but not before the requests that
    an owner may have carried out have got 504."""
    host, others = follower(cell)
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.2)
    pause(others)
    for number, client in enumerate(clients):
        client.send(submission(0x300 + number))
    sleep_until(begin + 0.5)
    second = terminate(host)
    statuses = [c.answer() for c in clients]
    resume(others)
    check(host, statuses, (504,))
    took = time.monotonic() - second
    assert took < 1, took


def second_signal_without_owner(cell):
    """The same for requests that no owner has received: these get 503."""
    host, others = follower(cell)
    for other in others:
        other.kill()
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.6)
    for number, client in enumerate(clients):
        client.send(submission(0x400 + number))
    time.sleep(0.15)
    second = terminate(host)
    check(host, [c.answer() for c in clients], (503,))
    took = time.monotonic() - second
    assert took < 1, took


def bad_request_with_signal(cell):
    """An answer that is given at once, without waiting for an owner, is sent
    where the second SIGTERM arrives together with the request."""
    host, _ = follower(cell)
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.3)
    pause([host])
    for number, client in enumerate(clients):
        client.send(request("POST", "/jobs/%016x" % (0x500 + number), "{"))
    terminate(host)
    resume([host])
    check(host, [c.answer() for c in clients], (400, 503))


def partly_read(cell):
    """A request of which a draining host has read a part is read to its end and
    answered."""
    host, _ = follower(cell)
    client = Client(host)
    whole = submission(0x600)
    begin = terminate(host)
    sleep_until(begin + 0.5)
    client.send(whole[:60])
    sleep_until(begin + 1.3)
    client.send(whole[60:-20])
    sleep_until(begin + 2.5)
    client.send(whole[-20:])
    check(host, [client.answer()], (200,))


def first_request_partly_read(cell):
    """The same where only the signal arrives in between, on a connection that
    was used before."""
    host, _ = follower(cell)
    client = Client(host)
    client.send(request("GET", "/jobs/"))
    assert client.answer() == 200
    whole = submission(0x610)
    client.send(whole[:-20])
    time.sleep(0.2)
    begin = terminate(host)
    sleep_until(begin + 2.5)
    client.send(whole[-20:])
    check(host, [client.answer()], (200,))


def slow_reader(cell):
    """A client with a small receive window, which takes its answers at up
    to 16 Mbit/s, gets all of them."""
    host, _ = follower(cell)
    client = Client(host, METRICS_PORT, SMALL_BUFFER)
    count = 5200000 // (len(host.metrics()) + 200)
    client.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n" * count)
    begin = terminate(host)
    sleep_until(begin + 1.4)
    statuses = [client.answer(0.008, SMALL_BUFFER) for _ in range(count)]
    check(host, statuses, (200,))


def client_gone(cell):
    """An answer to a request whose connection was reset meanwhile does not end
    the process and is no reason to wait."""
    host, others = follower(cell)
    clients = [Client(host) for _ in range(3)]
    begin = terminate(host)
    sleep_until(begin + 0.2)
    pause(others)
    for number, client in enumerate(clients):
        client.send(submission(0x700 + number))
    sleep_until(begin + 0.6)
    clients[0].link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    clients[0].link.close()
    clients[1].link.close()
    status = clients[2].answer()
    resume(others)
    assert status == 504, status
    assert host.process.wait(EXIT_S) == 0


def released_without_successor(cell):
    """The last owner marks its row as released, also where the store comes back
    only during the grace period, so that the next one need not wait."""
    owner = cell.owner()
    for other in cell.hosts:
        if other is not owner:
            other.kill()
    time.sleep(0.8)  # Until the owner has no successor.
    cell.store.down = True
    begin = terminate(owner)
    sleep_until(begin + 2.2)
    cell.store.down = False
    assert owner.process.wait(EXIT_S) == 0
    value = next(v for k, (v, _) in cell.store.rows.items() if k[0] == "owner")
    row = base64.b64decode(value)
    assert row.endswith(RELEASED), row


def successor_drains_too(cell):
    """An owner that hands over to a host which has just got SIGTERM as well does
    not leave the cell without an owner: requests at other hosts, also at the
    draining ones, are not refused."""
    owner = cell.owner()
    successor = max((h for h in cell.hosts if h is not owner), key=lambda h: h.name)
    others = [h for h in cell.hosts if h not in (owner, successor)]
    time.sleep(0.5)  # Until all hosts follow the owner.
    clients = [Client(h) for h in cell.hosts for _ in range(3)]
    terminate(successor)
    begin = terminate(owner)
    for round in range(3):
        sleep_until(begin + 0.05 + 0.3 * round)
        for number, client in enumerate(clients[round::3]):
            client.send(submission(0x800 + 16 * round + number))
    statuses = [c.answer() for c in clients]
    assert set(statuses) == {200}, statuses
    took = time.monotonic() - begin
    assert took < 1.5, took
    for host in (owner, successor):
        check(host, [], ())
    assert any(h.owns() for h in others)


def readiness_told_at_once(cell):
    """Followers learn that a new owner is ready when it is, not with its next
    heartbeat up to 200 ms later."""
    delays = []
    for _ in range(4):
        owner = cell.owner()
        others = [h for h in cell.hosts if h is not owner]
        time.sleep(0.5)
        logs = {h.name: os.path.getsize(h.log) for h in others}
        terminate(owner)
        assert owner.process.wait(EXIT_S) == 0
        owner.start()
        ready, told = None, []
        for host in others:
            with open(host.log) as lines:
                lines.seek(logs[host.name])
                for line in lines:
                    if '"msg":"owner of the cell"' in line:
                        ready = moment(line)
                    elif '"msg":"owner reachable"' in line:
                        told.append(moment(line))
        assert ready and told, (ready, told)
        delays.append(max(0, min(told) - ready))
        wait_for(owner.ready, 5, "the host back")
    assert sorted(delays)[2] < 0.06, delays


def moment(line):
    """Seconds of the day at which a line was logged."""
    hours, minutes, seconds = json.loads(line)["ts"][11:-1].split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)


def main():
    build = sys.argv[1]
    names = sys.argv[2:]
    checks = [refused_while_draining, end_of_grace, end_of_grace_missed, second_signal,
              second_signal_without_owner,
              bad_request_with_signal, partly_read, first_request_partly_read, slow_reader,
              client_gone, released_without_successor, successor_drains_too,
              readiness_told_at_once]
    failed = []
    for each in checks:
        if names and each.__name__ not in names:
            continue
        cell = Cell(build, hosts=4)
        begin = time.monotonic()
        try:
            each(cell)
            print("%-28s ok, %.1f s" % (each.__name__, time.monotonic() - begin), flush=True)
        except Exception as problem:  # The other checks run all the same.
            failed.append(each.__name__)
            print("%-28s FAILED: %s %s" % (each.__name__, type(problem).__name__, problem),
                  flush=True)
        finally:
            resume(h for h in cell.hosts if h.process.poll() is None)
            cell.stop()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
