#!/usr/bin/env python3
"""Entries by other writers in the workers' and the operator's tables.

Such an entry names nothing to use. It ends no process, neither while the cell
runs nor at a takeover, hides no other entry, and is logged once with its cause.

  odd_entries_test.py BUILD_DIRECTORY
"""
import http.client
import json
import os
import socket
import struct
import sys
import time

from platform_hosts import CALLER_PORT, PEER_PORT, Cell, job, state, wait_for, world

LISTED_WITHIN_S = 4  # Several reads of the list.
DEEP = 100000
GOOD = {"service": "svc", "addr": "127.0.0.1:1", "zone": "z1", "version": "v1", "slots": 8,
        "state": "ready", "cold_left_ms": 0,
        "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["odd", "r1"],
        "born": 77, "seq": 1}


def entry(**fields):
    return json.dumps(dict(GOOD, **fields)).encode()


def entry_with_number(name, text):
    return entry(**{name: "NUMBER"}).replace(b'"NUMBER"', text.encode())


def capacity(text):
    return json.dumps(GOOD).encode().replace(b'"cpu": 4000', b'"cpu": ' + text.encode())


DEEP_VALUES = {
    "arrays": b"[" * DEEP + b"]" * DEEP,
    "objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
}

ODD_WORKERS = dict({
    "port 0": entry(addr="127.0.0.1:0"),
    "port 65536": entry(addr="127.0.0.1:65536"),
    "port 99999999999": entry(addr="127.0.0.1:99999999999"),
    "port -1": entry(addr="127.0.0.1:-1"),
    "port x": entry(addr="127.0.0.1:x"),
    "empty port": entry(addr="127.0.0.1:"),
    "no port": entry(addr="127.0.0.1"),
    "host name": entry(addr="worker.invalid:80"),
    "ipv6": entry(addr="[::1]:80"),
    "born huge": entry_with_number("born", "18446744073709551615"),
    "born 1e308": entry_with_number("born", "1e308"),
    "born -1": entry_with_number("born", "-1"),
    "seq -1": entry_with_number("seq", "-1"),
    "seq of 400 digits": entry_with_number("seq", "9" * 400),
    "capacity 1e308": capacity("1e308"),
    "capacity -1e308": capacity("-1e308"),
    "capacity -1": capacity("-1"),
    "capacity huge": capacity("9223372036854775807"),
    "odd bytes": bytes(range(128, 256)),
    "\u00ff" * 100: b"{}",
    "zero\u0000 byte": entry(),
    "no character \ud800": entry(state="odd"),
}, **{"deep " + kind: value for kind, value in DEEP_VALUES.items()},
    **{"field of deep " + kind: entry_with_number("x", value.decode())
       for kind, value in DEEP_VALUES.items()})

ODD_OPERATOR_ROWS = dict({
    "odd/row": b"[1, 2]",
    "wave/odd": b'{"wave":-1,"machines":["m-0"]}',
    "wave/1e308": b'{"wave":1e308,"machines":["m-0"]}',
    "wave/bytes": bytes(range(128, 256)),
}, **{"wave/deep " + kind: value for kind, value in DEEP_VALUES.items()})


def log_lines(host, message, since=0):
    """The lines with the message that the log got after its first bytes."""
    with open(host.log) as lines:
        lines.seek(since)
        return [line for line in lines if '"msg":"%s"' % message in line]


def all_run(cell):
    return all(h.process.poll() is None for h in cell.hosts)


def count_named(host, since=0):
    return len(log_lines(host, "worker entry cannot be used", since))


def log_sizes(cell):
    return {host: os.path.getsize(host.log) for host in cell.hosts}


def odd_entry_alone(cell, name, value):
    """Returns what one odd entry did."""
    owner = cell.owner()
    before = count_named(owner)
    cell.store.put_bytes("servers", name, value)
    end = time.monotonic() + LISTED_WITHIN_S
    while time.monotonic() < end and all_run(cell) and count_named(owner) == before:
        time.sleep(0.05)
    result = "named" if count_named(owner) > before else "not named"
    if not all_run(cell):
        result = "a process ended: %s" % [h.process.poll() for h in cell.hosts]
    cell.store.put("servers", name, None)
    time.sleep(0.8)  # The list is read without the entry.
    for host in cell.hosts:
        if host.process.poll() is not None:
            host.start()
    wait_for(lambda: all(h.ready() for h in cell.hosts), 15, "hosts ready")
    return result


def each_odd_entry(cell):
    """One entry with a port out of range ended each owner in turn."""
    results = {name: odd_entry_alone(cell, name, value)
               for name, value in ODD_WORKERS.items()}
    for name, result in results.items():
        print("  %-28s %s" % (ascii(name)[:28], result), flush=True)
    assert all(r == "named" for r in results.values()), "entries that were not only named"


ODD_ADDRESSES = ("127.0.0.1:99999999999", "127.0.0.1:x", "127.0.0.1:", "nobody", "[::1]:1")


class OddPeer:
    """A link to a host, whose hello frame names an address that cannot be used."""

    def __init__(self, host, address):
        self.link = socket.create_connection((host.ip, PEER_PORT), timeout=2)
        name, to = b"peer", address.encode()
        hello = (b"\x0a" + bytes([len(name)]) + name + b"\x11" + struct.pack("<d", 1e-9) +
                 b"\x1a" + bytes([len(to)]) + to)
        frame = b"\x0a" + bytes([len(hello)]) + hello
        self.link.sendall(struct.pack(">I", len(frame)) + frame)

    def close(self):
        self.link.close()


def put_all(cell):
    for name, value in ODD_WORKERS.items():
        cell.store.put_bytes("servers", name, value)
    for name, value in ODD_OPERATOR_ROWS.items():
        cell.store.put_bytes("op", name, value)


def each_is_named_once(cell, since):
    """Both the owner and each host name an entry once since the logs' sizes."""
    owner = cell.owner()
    wait_for(lambda: count_named(owner, since[owner]) >= len(ODD_WORKERS), 10,
             "all entries named")
    time.sleep(2)  # More reads of the list.
    lines = log_lines(owner, "worker entry cannot be used", since[owner])
    assert len(lines) == len(ODD_WORKERS), lines
    for line in lines:
        assert json.loads(line)["why"], line
    for host in [h for h in cell.hosts if h.process.poll() is None]:
        lines = [json.loads(line)
                 for line in log_lines(host, "operator row cannot be read", since[host])]
        assert sorted(line["key"] for line in lines) == sorted(ODD_OPERATOR_ROWS), lines
        assert all(line["why"] for line in lines), lines


def list_is_followed(cell, number):
    """A worker added after the odd entries gets work; one that leaves is noticed."""
    worker = world.Worker("i-late-%d" % number, cell.store, 0.3)
    label = "late-%d" % number
    cell.store.put("servers", worker.ident, dict(worker.entry(), labels=[label, "r1"]))
    ident = "00000000000a%04x" % number
    body = json.loads(job(count=2))
    body["phases"][0]["requires"] = label
    host = next(h for h in cell.hosts if h.process.poll() is None)
    assert host.call("POST", "/jobs/" + ident, json.dumps(body))[0] == 200
    wait_for(lambda: state(host, ident) == "complete", 10, "work on the added worker")
    worker.go_down(cell.store)
    owner = cell.owner()

    def noticed():
        with open(owner.log) as lines:
            return any(worker.ident in line and ("worker_unlisted" in line or
                                                 "worker_gone" in line) for line in lines)
    wait_for(noticed, 10, "the end of the removed worker")


def operator_rows_are_followed(cell, version):
    """Odd rows of the operator hide neither a newer state nor a wave."""
    added = world.desired_state(version)
    added["routes"].append(dict(added["routes"][0], name="r%d" % version,
                                prefix="/v%d/" % version))
    cell.store.put("op", "config", added)
    for host in [h for h in cell.hosts if h.process.poll() is None]:
        wait_for(lambda: host.call("GET", "/v%d/" % version)[0] == 200, 5, "the newer state")


def wave_is_worked_on(cell):
    cell.store.put("op", "wave/1", {"wave": 1, "machines": ["m-0"], "duration_s": 20,
                                    "max_count": 1})
    wait_for(lambda: cell.store.value("status", "wave/1") == {"state": "complete"}, 25,
             "the wave")


def odd_calls(cell):
    """Bodies and headers of callers with odd values are refused or read."""
    host = next(h for h in cell.hosts if h.process.poll() is None)
    path = "/jobs/00000000000b0001"
    step = '{"count":1,%s}'
    steps = ",".join(['{"count":100000}'] * 1200)
    for body in (step % '"cpu":1e308', step % '"cpu":9223372036854775807',
                 step % '"gpu":4294967296', step % ('"mem_mb":' + "9" * 400),
                 step % '"after":[-1]', steps):
        status = host.call("POST", path, '{"phases":[%s]}' % body)[0]
        assert status == 400, (status, body[:60])
    for timeout in ("soon", "-1", "9" * 400, "1e308", ""):
        link = http.client.HTTPConnection(host.ip, CALLER_PORT, timeout=5)
        link.request("GET", "/jobs/", headers={"Host": "cell.example:99999999999",
                                               "X-Deadline-Ms": timeout,
                                               "Api-Key": "key-1"})
        assert link.getresponse().status == 200, timeout
        link.close()
    deep = "[" * 20000 + "]" * 20000
    assert host.call("POST", path, '{"phases":%s}' % deep)[0] == 400
    assert host.call("POST", path, '{"phases":[{"count":1}],"times":4294967296}')[0] == 400
    assert all_run(cell)


def main():
    cell = Cell(sys.argv[1])
    try:
        for check in (each_odd_entry, odd_calls):
            check(cell)
            print("%-28s ok" % check.__name__, flush=True)
        since = log_sizes(cell)
        put_all(cell)
        each_is_named_once(cell, since)
        list_is_followed(cell, 1)
        operator_rows_are_followed(cell, 10)
        wave_is_worked_on(cell)
        assert all_run(cell)
        print("%-28s ok" % "while the cell runs", flush=True)
        peers = [OddPeer(h, address) for h in cell.hosts for address in ODD_ADDRESSES]
        time.sleep(0.5)  # The heartbeats name the peers to all hosts.
        cell.owner().kill()
        wait_for(lambda: cell.hosts and any(h.process.poll() is None and h.owns()
                                            for h in cell.hosts), 10, "the next owner")
        each_is_named_once(cell, since)
        list_is_followed(cell, 2)
        operator_rows_are_followed(cell, 20)
        assert sum(h.process.poll() is None for h in cell.hosts) == len(cell.hosts) - 1
        print("%-28s ok" % "at a takeover", flush=True)
        for peer in peers:
            peer.close()
    finally:
        cell.stop()


if __name__ == "__main__":
    main()
