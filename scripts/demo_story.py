"""The story of scripts/demo. The first argument is the build directory."""

import json
import os
import signal
import subprocess
import sys
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "test", "system"))
import cell  # noqa: E402

LIMIT = 12


class Story:
    def __init__(self, build):
        self.binary = os.path.join(build, "oleandergauge")
        self.began = time.monotonic()
        self.key = ""
        self.servers = ""

    def say(self, text):
        print(f"[{time.monotonic() - self.began:5.1f} s] {text}", flush=True)

    def run(self, *words, key=None):
        """Runs a command of the binary and shows what it prints."""
        environment = dict(
            os.environ, OLEANDERGAUGE_OPERATOR_KEY=cell.OPERATOR_KEY,
            OLEANDERGAUGE_KEY=self.key if key is None else key,
            OLEANDERGAUGE_SERVER=self.servers)
        print("  $ oleandergauge " + " ".join(words))
        done = subprocess.run([self.binary, *words], env=environment,
                              capture_output=True, text=True, timeout=60,
                              check=False)
        for line in (done.stdout + done.stderr).splitlines():
            print("    " + (line if len(line) < 110 else line[:107] + "..."))
        return done

    def admin(self, *words):
        def accepted():
            done = self.run("admin", *words)
            return done if done.returncode == 0 else None
        return cell.until(accepted, cell.START_LIMIT,
                          "accepted: admin " + " ".join(words))

    def submit(self, *words):
        done = self.run("submit", *words)
        assert done.returncode == 0, "the submission failed"
        return done.stdout.strip()

    def refused(self, reason, *words, key=None):
        done = self.run("submit", *words, key=key)
        assert done.returncode != 0, "the request was not refused"
        assert done.stderr.startswith(f"not_run: {reason}"), done.stderr


def job_of(c, name, count):
    """Checks that a job has ended with the whole answer of each task."""
    reply = c.wait_for_job(c.alive[0], f"red:{name}")
    assert len(reply["tasks"]) == count, reply
    return reply


def operator_sets_up(s, c):
    s.say("The operator makes partitions, a team, its key, share and limit, "
          "and queues.")
    for stripe in "01":
        s.admin("put", "partition", f"r1-{stripe}", "region=r1",
                f"stripe={stripe}", "stripes=2")
    s.admin("put", "team", "red", "display_name=Red")
    s.admin("put", "share", "red", "weight=2")
    s.admin("put", "limit", "red", f"max_running={LIMIT}")
    for queue in ("direct", "batch", "gang", "service"):
        s.admin("put", "queue", queue, f"class={queue}", "access=teams")
    made = json.loads(s.admin("put", "key", "--team", "red",
                              "--json").stdout)
    s.key, c.key, c.key_hash = made["key"], made["key"], made["hash"]
    cell.until(c.ready, cell.START_LIMIT, "the partitions have open workers")
    s.say("Both partitions have an owner, and all workers have reported.")


def work_is_done(s, c):
    s.say("A direct call: its answer is the body that it sent.")
    out = s.submit("call", "--queue", "direct", "--command", "echo", "--body",
                   "hello, cell", "--run-ms", "50")
    assert out == "hello, cell", out
    s.say("A batch job of 6 tasks and a gang of 3.")
    s.submit("job", "--queue", "batch", "--request-id", "frames", "--command",
             "frames", "--tasks", "6", "--run-ms", "500", "--wait")
    s.submit("job", "--queue", "gang", "--request-id", "solve", "--command",
             "solve", "--tasks", "3", "--run-ms", "500", "--wait")
    for name, count in (("frames", 6), ("solve", 3)):
        reply = job_of(c, name, count)
        places = sorted({task["worker"] for task in reply["tasks"]})
        s.say(f"{name}: all {count} answers are whole; ran on "
              + ", ".join(places))
    s.say("A service of 2 replicas.")
    s.submit("job", "--queue", "service", "--request-id", "site", "--command",
             "site", "--tasks", "2")

    def runs():
        tasks = c.job(c.alive[0], "red:site")[1].get("tasks", [])
        return len(tasks) == 2 and all(
            task["state"] == "running" for task in tasks)
    cell.until(runs, 20, "both replicas run")
    assert s.run("status").returncode == 0
    assert s.run("status", "red:site").returncode == 0


def requests_are_refused(s):
    s.say("A wrong key and a gang above the team's limit are refused.")
    job = ("job", "--queue", "gang", "--command", "big", "--tasks",
           str(LIMIT + 1))
    s.refused("unknown_key", *job, key="not-the-key")
    s.refused("limit_reached", *job)


def host_dies(s, c):
    s.say("A batch job of 8 tasks, 4 s each; then an entry host dies.")
    s.submit("job", "--queue", "batch", "--request-id", "long", "--command",
             "long", "--tasks", "8", "--run-ms", "4000")
    cell.until(lambda: len(c.starts("long")) >= 4, 20, "the job runs")
    victim = c.owner_of("r1-0")
    s.say(f"kill -9 {victim.process.pid}: {victim.name}, owner of r1-0, in "
          "the middle of the job")
    victim.send(signal.SIGKILL)
    victim.process.wait()
    cell.http(c.platform, "DELETE", f"/hosts/{victim.name}")
    killed = time.monotonic()
    c.alive.remove(victim)
    s.servers = ",".join(f"http://{host.address}" for host in c.alive)
    owner = cell.until(lambda: c.owner_of("r1-0"), 20, "r1-0 has an owner")
    s.say(f"{owner.name} took r1-0 over {time.monotonic() - killed:.1f} s "
          "after the death.")
    job_of(c, "long", 8)
    s.say(f"The job went on: all 8 answers are whole, "
          f"{len(c.starts('long'))} starts in all.")
    assert s.run("status").returncode == 0


def key_is_withdrawn(s, c):
    s.say("The operator withdraws the key.")
    s.admin("withdraw-key", c.key_hash)
    time.sleep(cell.CHANGE_LIMIT)
    for host in c.alive:
        s.servers = f"http://{host.address}"
        s.refused("unknown_key", "call", "--queue", "direct", "--command",
                  "echo", "--body", "late")
    s.say("The key is refused at every host.")


def main():
    build = os.path.abspath(sys.argv[1])
    s = Story(build)
    s.say("Starting the platform stand-in, 9 workers and 3 entry hosts.")
    c = cell.Cell(build)
    code = 1
    try:
        for process in c.processes:
            program = os.path.basename(process.args[0])
            print(f"    pid {process.pid}: {program}")
        c.alive = list(c.hosts)
        s.servers = ",".join(f"http://{host.address}" for host in c.hosts)
        operator_sets_up(s, c)
        work_is_done(s, c)
        requests_are_refused(s)
        host_dies(s, c)
        key_is_withdrawn(s, c)
        c.check_history()
        s.say("The workers' history shows no task in two places and no worker "
              "above its capacity.")
        code = 0
    except Exception:  # Any failed step ends the demo.
        traceback.print_exc()
        print(f"logs: {c.directory}")
    finally:
        c.end()
    s.say("Done." if code == 0 else "FAILED.")
    sys.exit(code)


main()
