#!/usr/bin/env python3
"""Shows that each promise has a test that fails without its mechanism.

Makes a scratch checkout, switches one mechanism off at a time, builds the
tests named for it and runs them. Prints one JSON line for each mutation: the
tests that failed. Exits with 1 where none did. Usage: mutation_check.py [NAME]
"""

import json
import os
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
# Without shrinking, which takes minutes and says nothing more here.
SEED = "seed=20261204 max_success=100 noshrink=1"
FUZZ = "partition_fuzz_test"

# Name, file, text, replacement, tests of which one has to fail.
MUTATIONS = [
    ("P1 capacity ignored but for slots", "src/core/free_index.h",
     "return Need.fitsIn(usable(Direct));",
     "return Need.Slots_ <= usable(Direct).Slots_;",
     ["scheduler_test", FUZZ]),
    ("P2 no wait for the end of a lost worker's lease",
     "src/core/partition_workers.cc",
     "if (Now_ < Worker.LastRenewalValidUntil_ + WorkerLossDelay)",
     "if (Now_ < Worker.LastRenewalValidUntil_)", [FUZZ]),
    ("P2 partition taken over before its lease ends",
     "src/core/lease.cc",
     "ObservedOwner_->Host_.empty() ? Duration(0) : PartitionTakeoverDelay;",
     "Duration(0);", ["lease_test", FUZZ]),
    ("P2 journal writes not fenced", "src/core/journal.cc",
     "Transaction{{Fence_, {Key, 0}}, {{Key, Batch_}}}",
     "Transaction{{{Key, 0}}, {{Key, Batch_}}}", ["journal_test", FUZZ]),
    ("P3 withdrawn keys accepted", "src/core/config.cc",
     "if (!Key || Key->Withdrawn_)", "if (!Key)", ["config_test"]),
    ("P4 each partition uses the whole limit", "src/core/allotment.cc",
     "const std::uint32_t Part = partOf(Found->second);",
     "const std::uint32_t Part = Found->second.Limit_;",
     ["allotment_test", FUZZ]),
    ("P5 failure domains that are out get work",
     "src/core/partition_workers.cc",
     "View_->isOut(Worker.Info_.Domain_) ||", "", [FUZZ]),
    ("P6 cut answers taken for whole ones", "src/daemon/http_request.cc",
     "if (!Body || !isBodyComplete(Request.Message_, Body))", "if (!Body)",
     ["platform_clients_test"]),
    ("P7 sent submissions refused as not run", "src/core/partition_jobs.cc",
     "const bool Sent = Job.AcceptTicket_ <= Journal_.lastSentTicket();",
     "const bool Sent = false;", [FUZZ]),
    ("P8 lost non-idempotent tasks repeated", "src/core/partition_tasks.cc",
     "if (Job.Spec_->Idempotent_ && !Job.CancelledFor_)",
     "if (!Job.CancelledFor_)", [FUZZ]),
    ("P9 leaving workers get work", "src/core/partition_workers.cc",
     "return Worker.Leaving_ || !View_ ||", "return !View_ ||", [FUZZ]),
    ("P10 shutdown does not wait for requests", "src/daemon/http_api.cc",
     "bool Idle = !Server_ || Server_->inFlight() == 0;",
     "bool Idle = true;", ["system_drain_test"]),
    ("P11 evidence never ages", "src/core/freshness.cc",
     "return Proven && Now - *Proven <= MaxEvidenceAge;",
     "return Proven.has_value();", ["freshness_test"]),
    ("P11 a known newer version does not stop the host",
     "src/core/freshness.cc",
     "  if (Applied_ != KnownHead_)\n    return std::nullopt;\n  return std::max",
     "  return std::max", ["freshness_test"]),
]


def run(arguments, directory, **more):
    return subprocess.run(arguments, cwd=directory, text=True,
                          stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                          check=False, **more)


def targets_of(tests):
    if any(test.startswith("system_") for test in tests):
        return ["oleandergauge", "platform_standin", "worker_standin"]
    return tests


def failed_tests(checkout, tests):
    built = run(["cmake", "--build", "build", "--target", *targets_of(tests)],
                checkout)
    if built.returncode != 0:
        raise SystemExit(built.stdout[-3000:])
    environment = dict(os.environ, RC_PARAMS=SEED)
    failed = []
    for test in tests:
        result = run(["ctest", "--test-dir", "build", "-R", f"^{test}$"],
                     checkout, env=environment)
        if "1 tests failed out of 1" in result.stdout:
            failed.append(test)
    return failed


def check(checkout, mutation):
    name, path, text, replacement, tests = mutation
    full = os.path.join(checkout, path)
    with open(full, encoding="utf-8") as source:
        original = source.read()
    if text not in original:
        raise SystemExit(f"{name}: {path} has no {text!r}")
    with open(full, "w", encoding="utf-8") as source:
        source.write(original.replace(text, replacement))
    failed = failed_tests(checkout, tests)
    with open(full, "w", encoding="utf-8") as source:
        source.write(original)
    print(json.dumps({"mutation": name, "failed": failed}), flush=True)
    return bool(failed)


def main():
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    with tempfile.TemporaryDirectory(prefix="oleandergauge-") as directory:
        checkout = os.path.join(directory, "checkout")
        run(["git", "clone", "-q", ROOT, checkout], ROOT)
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja",
             "-DCMAKE_BUILD_TYPE=RelWithDebInfo"], checkout)
        caught = [check(checkout, mutation) for mutation in MUTATIONS
                  if wanted in mutation[0]]
    return 0 if all(caught) else 1


sys.exit(main())
