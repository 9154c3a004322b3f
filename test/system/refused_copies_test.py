#!/usr/bin/env python3
"""Requests that a front end sends again after it lost the owner: what callers are
told when the owner refuses one copy, and which copies an owner still takes.

A real host beside an owner, or a front end, that the test plays. Each check says
which failure it guards against.
"""
import base64
import concurrent.futures
import http.client
import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import host_frames  # noqa: E402
from fake_hosts import FakeFrontEnd, FakeOwner, boot_clock_ms  # noqa: E402
from platform_hosts import CALLER_PORT, Cell, job, wait_for  # noqa: E402

DEADLINE_MS = 3000  # Of callers.
FIRST_EPOCH = 6  # Earlier ones exist by number.
START_WAIT_S = 1.5  # Within which an accepted job starts its task.
MAX_CLOCK_LAG_MS = 400  # Of an owner's clock as followers know it.


# ------------------------------------------- A real front end, a fake owner

class Calls:
    """Requests at one host, each in a thread of its own."""

    def __init__(self, host):
        self.host = host
        self.threads = concurrent.futures.ThreadPoolExecutor(4)

    def submit(self, ident, method="POST"):
        return self.threads.submit(self.call, ident, method)

    def call(self, ident, method):
        """The status, whether a time to return is given, and the seconds taken."""
        link = http.client.HTTPConnection(self.host.ip, CALLER_PORT, timeout=10)
        begin = time.monotonic()
        link.request(method, "/jobs/" + ident, job(count=1) if method == "POST" else None, {
            "Host": "cell.example", "Api-Key": "key-1", "X-Deadline-Ms": str(DEADLINE_MS)})
        answer = link.getresponse()
        answer.read()
        link.close()
        return answer.status, "Retry-After" in answer.headers, time.monotonic() - begin


class FrontEndBench:
    """One real host that follows a fake owner."""

    def __init__(self, build):
        self.cell = Cell(build, hosts=0)
        self.owners = [FakeOwner(self.cell.store, FIRST_EPOCH)]
        self.host = self.cell.add_host()
        wait_for(self.host.ready, 15, "the host ready")
        self.calls = Calls(self.host)

    def next_owner(self):
        """An owner of the next epoch, at another address."""
        last = self.owners[-1]
        last.stop_writing()
        self.owners.append(FakeOwner(self.cell.store, last.epoch + 1,
                                     "fake-owner-%d" % len(self.owners)))
        return self.owners[-1]

    def stop(self):
        self.cell.stop()
        for owner in self.owners:
            owner.stop()


def refuse(link, copy, status=503, unknown_to_epoch=0):
    link.send("forward_reply", token=copy.token, status=status, body="{}",
              retry_later=status in (429, 503), unknown_to_epoch=unknown_to_epoch)


def lose_first_copy(bench, ident, method="POST"):
    """Sends a request. The link on which its first copy was sent falls silent, and
    the copy stays unanswered."""
    answer = bench.calls.submit(ident, method)
    link, copy = bench.owners[-1].next_copy()
    assert copy.job_id == ident, copy
    link.silent = True
    return answer, link, copy


def second_copy(owner, first_link, first):
    link, copy = owner.next_copy()
    assert link is not first_link
    assert copy.job_id == first.job_id, copy
    return link, copy


def expect(answer, status, retry_after):
    """Checks an answer, and that it came while its caller still waited."""
    got, has_retry_after, took = answer.result(10)
    assert (got, has_retry_after) == (status, retry_after), (got, has_retry_after)
    assert took < DEADLINE_MS / 1000, took


def refused_second_copy(bench):
    """A refusal of the second copy is not passed on while the first one may still
    be accepted: the job of a caller that was told "not run" would run."""
    owner = bench.owners[-1]
    for number, status in enumerate((503, 429, 400, 401, 404)):
        answer, lost, first = lose_first_copy(bench, "%016x" % (0x100 + number))
        link, second = second_copy(owner, lost, first)
        refuse(link, second, status)
        expect(answer, 504, status in (429, 503))


def refused_second_copy_of_a_cancel(bench):
    """The same for a cancel: the job of a caller that was told "not cancelled"
    would be cancelled."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x108, "DELETE")
    refuse(*second_copy(bench.owners[-1], lost, first))
    expect(answer, 504, True)


def refused_second_copy_of_a_query(bench):
    """A query changes nothing, so that its refusal is passed on in any case."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x109, "GET")
    refuse(*second_copy(bench.owners[-1], lost, first), 404)
    expect(answer, 404, False)


def refused_by_an_earlier_epoch(bench):
    """An owner of an earlier epoch than the first copy was sent to says nothing of
    that copy, even if it does not know the job."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x110)
    link, second = second_copy(bench.owners[-1], lost, first)
    refuse(link, second, unknown_to_epoch=FIRST_EPOCH - 1)
    expect(answer, 504, True)


def refused_by_the_same_epoch(bench):
    """The refusal of an owner that does not know the job holds for all copies sent
    to it, since they name one request, and it takes no earlier one after a later
    one. Answering "unknown" instead would make callers ask again at once."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x118)
    link, second = second_copy(bench.owners[-1], lost, first)
    assert first.request == second.request != 0, (first.request, second.request)
    refuse(link, second, unknown_to_epoch=FIRST_EPOCH)
    expect(answer, 503, True)


def refused_by_the_next_owner_unseen(bench):
    """A later owner that refuses without having looked the job up says nothing of
    the first copy, which the former owner may have accepted."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x120)
    link, second = second_copy(bench.next_owner(), lost, first)
    refuse(link, second, 401)
    expect(answer, 504, False)


def refused_by_the_next_owner(bench):
    """The refusal of a later owner that does not know the job holds for all copies.
    Answering "unknown" instead would keep callers from going elsewhere."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x130)
    link, second = second_copy(bench.next_owner(), lost, first)
    refuse(link, second, unknown_to_epoch=FIRST_EPOCH + 1)
    expect(answer, 503, True)


def refused_only_copy(bench):
    """The refusal of a first and only copy is passed on, with the time to return."""
    for number, status in enumerate((503, 401, 404)):
        answer = bench.calls.submit("%016x" % (0x140 + number))
        refuse(*bench.owners[-1].next_copy(), status)
        expect(answer, status, status == 503)


def refused_after_return(bench):
    """A copy that the owner returned as not carried out does not keep the refusal
    of the next one from its caller."""
    answer = bench.calls.submit("%016x" % 0x150)
    link, first = bench.owners[-1].next_copy()
    link.send("forward_reply", token=first.token, not_owner=True)
    refuse(*bench.owners[-1].next_copy())
    expect(answer, 503, True)


def accepted_second_copy(bench):
    """The acceptance of the second copy is passed on, whatever became of the first."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x160)
    link, second = second_copy(bench.owners[-1], lost, first)
    link.send("forward_reply", token=second.token, status=200, body="{}")
    expect(answer, 200, False)


def copies_are_stamped(bench):
    """Each copy states its number, the owner's epoch and the owner's clock, which
    is never ahead. Without them an owner takes a copy at any time."""
    answer, lost, first = lose_first_copy(bench, "%016x" % 0x170)
    link, second = second_copy(bench.owners[-1], lost, first)
    now = boot_clock_ms()
    refuse(link, second)
    answer.result(10)
    assert (first.copy, second.copy) == (1, 2), (first.copy, second.copy)
    assert first.epoch == second.epoch == FIRST_EPOCH, (first.epoch, second.epoch)
    lag = now - second.owner_clock_ms
    assert 0 <= lag < MAX_CLOCK_LAG_MS, lag
    left = DEADLINE_MS - second.timeout_ms
    assert 600 < left < DEADLINE_MS, left


def owner_again_in_the_same_process(bench):
    """A request that was sent to a former ownership of the same process is sent
    again on the same link, and a late refusal by the former one is not taken for
    the answer."""
    owner = bench.owners[-1]
    answer = bench.calls.submit("%016x" % 0x180)
    link, first = owner.next_copy()
    owner.epoch += 1
    again, second = owner.next_copy()
    assert again is link and second.epoch == FIRST_EPOCH + 1, second
    refuse(link, first)
    link.send("forward_reply", token=second.token, status=200, body="{}")
    expect(answer, 200, False)


# ------------------------------------------- A real owner, a fake front end

class OwnerBench:
    """One real host, which owns the cell, and a fake front end."""

    def __init__(self, build):
        self.cell = Cell(build, hosts=0)
        self.cell.store.put_bytes("owner", "cell", host_frames.encode(
            "Owner", epoch=FIRST_EPOCH - 1, host="gone", address="", released=True),
            part="cell")
        self.owner = self.cell.add_host()
        wait_for(lambda: self.owner.ready() and self.owner.owns(), 15, "the host owns")
        self.front_end = FakeFrontEnd(self.owner_row().address)

    def owner_row(self):
        value, _ = self.cell.store.rows[("owner", "cell", "cell")]
        return host_frames.decode("Owner", base64.b64decode(value))

    def started(self, ident):
        return any(ident in entry[0] for worker in self.cell.workers
                   for entry in list(worker.history) if entry[2] == "start")

    def send(self, ident, timeout_ms=DEADLINE_MS, **stamp):
        self.front_end.send_submission(ident, timeout_ms, **stamp)

    def expect_accepted(self, ident):
        reply = self.front_end.reply()
        assert (reply.status, reply.not_owner) == (200, 0), reply
        wait_for(lambda: self.started(ident), START_WAIT_S, "the task starts")

    def expect_returned(self, ident):
        """Checks that a copy is returned as not carried out, and its job unknown
        and not started."""
        reply = self.front_end.reply()
        time.sleep(START_WAIT_S)
        assert not self.started(ident), "started"
        assert reply.not_owner, reply
        stored = [name for name in self.cell.store.rows if ident in name[2]]
        assert not stored, stored

    def stop(self):
        self.front_end.stop()
        self.cell.stop()


def copy_of_another_epoch(bench):
    """A copy that was sent to another ownership is not carried out: another owner
    may have refused its request since."""
    assert bench.front_end.epoch == FIRST_EPOCH, bench.front_end.epoch
    for epoch in (FIRST_EPOCH - 1, FIRST_EPOCH + 1):
        ident = "%016x" % (0x200 + epoch)
        bench.send(ident, epoch=epoch, copy=1, owner_clock_ms=boot_clock_ms())
        bench.expect_returned(ident)


def copy_older_than_its_timeout(bench):
    """A copy that is read when its caller no longer waits is not carried out: the
    caller may have been told that it was refused."""
    ident = "%016x" % 0x210
    bench.send(ident, 1000, epoch=FIRST_EPOCH, copy=1, owner_clock_ms=boot_clock_ms() - 2000)
    bench.expect_returned(ident)


def copy_in_time(bench):
    """A copy that was under way for a part of its caller's time is accepted."""
    ident = "%016x" % 0x220
    bench.send(ident, epoch=FIRST_EPOCH, copy=2, owner_clock_ms=boot_clock_ms() - 500)
    bench.expect_accepted(ident)


def copy_without_stamp(bench):
    """A copy from a host of the version before, without epoch and clock, is
    accepted, so that versions can run side by side."""
    ident = "%016x" % 0x230
    bench.send(ident)
    bench.expect_accepted(ident)


def earlier_copy_after_a_later_one(bench):
    """A copy that arrives after a later one of its request was refused is not
    carried out: the caller was told that its job does not run."""
    ident = "%016x" % 0x238
    stamp = {"epoch": FIRST_EPOCH, "owner_clock_ms": boot_clock_ms(), "request": 77}
    bench.send(ident, copy=2, prefix="/nowhere/", **stamp)
    reply = bench.front_end.reply()
    assert (reply.status, reply.unknown_to_epoch) == (404, FIRST_EPOCH), reply
    bench.send(ident, copy=1, **stamp)
    bench.expect_returned(ident)


def refusal_of_a_known_job(bench):
    """A refusal by the desired state does not claim that the job is unknown where
    an earlier copy was accepted."""
    ident = "%016x" % 0x23c
    stamp = {"epoch": FIRST_EPOCH, "owner_clock_ms": boot_clock_ms(), "request": 78}
    bench.send(ident, copy=1, **stamp)
    bench.expect_accepted(ident)
    bench.send(ident, copy=2, prefix="/nowhere/", **stamp)
    reply = bench.front_end.reply()
    assert (reply.status, reply.unknown_to_epoch) == (404, 0), reply


def suspend(bench, seconds):
    bench.owner.process.send_signal(signal.SIGSTOP)
    threading.Timer(seconds, bench.owner.process.send_signal, [signal.SIGCONT]).start()


def copy_in_the_socket_of_a_suspended_owner(bench):
    """A copy that waited in the socket while the owner was suspended for longer
    than its caller waits is not carried out. The suspension is too short to end the
    link."""
    ident = "%016x" % 0x240
    bench.front_end.ready_beat()
    suspend(bench, 0.45)
    bench.send(ident, 300, epoch=FIRST_EPOCH, copy=1, owner_clock_ms=boot_clock_ms())
    bench.expect_returned(ident)


def copies_in_the_socket_of_a_long_suspended_owner(bench):
    """The same where the suspension is longer than the silence that ends a link:
    copies on that link and on one opened meanwhile are not carried out."""
    idents = ["%016x" % (0x250 + number) for number in range(2)]
    suspend(bench, 2)
    bench.send(idents[0], 1000, epoch=FIRST_EPOCH, copy=1, owner_clock_ms=boot_clock_ms())
    later = FakeFrontEnd(bench.front_end.owner_address, "later", wait=False)
    later.send_submission(idents[1], 1000, epoch=FIRST_EPOCH, copy=1,
                          owner_clock_ms=boot_clock_ms())
    reply = later.reply()
    time.sleep(START_WAIT_S)
    later.stop()
    assert not any(map(bench.started, idents)), "started"
    assert reply.not_owner, reply


def heartbeats_state_the_clock(bench):
    """Heartbeats carry the owner's clock, without which copies have no age."""
    for _ in range(3):
        while not bench.front_end.beats.empty():
            bench.front_end.beats.get()
        beat = bench.front_end.ready_beat()
        lag = boot_clock_ms() - beat.clock_ms
        assert 0 <= lag < MAX_CLOCK_LAG_MS, lag


CHECKS = {
    FrontEndBench: (refused_second_copy, refused_second_copy_of_a_cancel,
                    refused_second_copy_of_a_query, refused_by_an_earlier_epoch,
                    refused_by_the_same_epoch,
                    refused_by_the_next_owner_unseen, refused_by_the_next_owner,
                    refused_only_copy, refused_after_return, accepted_second_copy,
                    copies_are_stamped, owner_again_in_the_same_process),
    OwnerBench: (copy_of_another_epoch, copy_older_than_its_timeout, copy_in_time,
                 copy_without_stamp, earlier_copy_after_a_later_one, refusal_of_a_known_job,
                 copy_in_the_socket_of_a_suspended_owner,
                 copies_in_the_socket_of_a_long_suspended_owner, heartbeats_state_the_clock),
}


def passes(check, make_bench, build):
    begin = time.monotonic()
    bench = make_bench(build)
    try:
        check(bench)
        print("%-46s ok, %.1f s" % (check.__name__, time.monotonic() - begin), flush=True)
        return True
    except Exception as problem:  # The other checks run all the same.
        print("%-46s FAILED: %s %s" % (check.__name__, type(problem).__name__, problem),
              flush=True)
        return False
    finally:
        bench.stop()


def main():
    build, names = sys.argv[1], sys.argv[2:]
    results = [passes(check, bench, build) for bench, checks in CHECKS.items()
               for check in checks if not names or check.__name__ in names]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
