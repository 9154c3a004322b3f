#!/usr/bin/env python3
"""Measures what control costs in a cell of real processes.

Starts a cell with each number of workers, lets batch tasks run, and prints one
JSON line a figure: processor time, resident memory and network traffic of the
entry hosts, and table requests. Usage: measure_cell.py BUILD [WORKERS ...]
"""

import json
import os
import re
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(
    os.path.dirname(os.path.abspath(__file__)), "..", "test", "system"))
import cell  # noqa: E402

SECONDS = 15
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


def figure(name, value, unit):
    print(json.dumps({"name": name, "value": round(value, 3), "unit": unit}),
          flush=True)


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mib(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * PAGE / (1 << 20)


def traffic(pid):
    """Bytes sent and received on each open connection of a process."""
    out = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True,
                         check=True).stdout
    sums = {}
    head = ""
    for line in out.splitlines():
        if not line.startswith(("\t", " ")):
            head = line
            continue
        if f"pid={pid}," not in head:
            continue
        ends = tuple(head.split()[3:5])
        sums[ends] = sum(int(n) for n in re.findall(
            r"bytes_(?:sent|received):(\d+)", line))
    return sums


def added(before, after):
    return sum(max(0, count - before.get(ends, 0))
               for ends, count in after.items())


def measure(build, workers, running):
    c = cell.Cell(build, workers=workers)
    try:
        c.configure(limit=running + 8)
        name = f"workers_{workers}_running_{running}"
        for index in range(running // 40):
            c.submit_until_accepted(c.hosts[0], f"load-{index}", tasks=40,
                                    run_ms=600000)
        time.sleep(5)
        pids = [host.process.pid for host in c.hosts]
        owners = {c.owner_of("r1-0").name, c.owner_of("r1-1").name}
        counters = cell.http(c.platform, "GET", "/counters")[1]
        spent = [processor_seconds(pid) for pid in pids]
        sent = [traffic(pid) for pid in pids]
        begin = time.monotonic()
        time.sleep(SECONDS)
        span = time.monotonic() - begin
        for host, pid, cpu, count in zip(c.hosts, pids, spent, sent):
            role = "owner" if host.name in owners else "other"
            key = f"{name}/{host.name}_{role}"
            figure(f"{key}/cpu",
                   100 * (processor_seconds(pid) - cpu) / span, "% of a core")
            figure(f"{key}/resident", resident_mib(pid), "MiB")
            figure(f"{key}/traffic",
                   added(count, traffic(pid)) / span / 1000, "KB/s")
        after = cell.http(c.platform, "GET", "/counters")[1]
        for kind in ("table_reads", "table_writes"):
            figure(f"{name}/{kind}", (after[kind] - counters[kind]) / span,
                   "1/s")
    finally:
        c.end()


def main():
    sizes = [int(size) for size in sys.argv[2:]] or [50]
    for workers in sizes:
        measure(sys.argv[1], workers, workers * 4 // 40 * 40)


main()
