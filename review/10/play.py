#!/usr/bin/env python3
"""A client hands in a schedule of three short steps a minute that began a year ago. The
platform ends a process that exceeds its memory and starts it again."""
import os
import signal
import subprocess
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from rig_2 import PROGRAM, ROOT, Script, Worker, job  # noqa: E402

MEMORY_MB = 260  # limits.memory_mb
RESTART_S = 0.5
PLAY_S = 100
ENDS = 3  # Of processes on a machine, on two machines at least.
MINUTE_MS = 60000
YEAR_MS = 365 * 24 * 60 * MINUTE_MS
IDENT = "00000000000000aa"


def resident_mb(host):
    with open("/proc/%d/status" % host.process.pid) as lines:
        return next(int(line.split()[1]) for line in lines
                    if line.startswith("VmRSS")) / 1024


def restart(host):
    environment = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
    host.process = subprocess.Popen(
        [PROGRAM, "host"], cwd=ROOT, stdout=open(host.log, "a"), stderr=subprocess.STDOUT,
        env=dict(environment, OLEANDERGAUGE_NODE_FILE=host.settings))


def broken(ends):
    """Whether processes have ended ENDS times on each of two machines."""
    return sum(ends.count(name) >= ENDS for name in set(ends)) >= 2


def play(script):
    for number in range(2):
        Worker("i-%d" % number, script.store, script.record)
    script.start_hosts(3)
    owner = script.owner()
    time.sleep(3)
    schedule = dict(job(1, 1, 32000), times=1000000, interval_ms=MINUTE_MS,
                    start_ms=int(time.time() * 1000) - (YEAR_MS if script.trouble else 0))
    first = schedule["phases"][0]
    schedule["phases"] += [dict(first, after=[0]), dict(first, after=[1])]
    assert owner.call("POST", "/jobs/" + IDENT, schedule)[0] == 200
    ends = []
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end and not broken(ends):
        time.sleep(0.1)
        for host in script.hosts:
            resident = resident_mb(host)
            if resident <= MEMORY_MB:
                continue
            script.record.note("over its memory", host.name, "%d MB" % resident)
            host.signal(signal.SIGKILL)
            host.process.wait()
            ends.append(host.name)
            time.sleep(RESTART_S)
            restart(host)
    script.record.note("largest process at the end", "%d MB" % max(map(resident_mb, script.hosts)))
    if not broken(ends):
        return []
    return ["processes exceeded %d MB on %s, in this order" % (MEMORY_MB, ", ".join(ends))]


Script(__file__).run(play)
