"""Entry hosts that a test plays itself, on links to real ones."""
import queue
import socket
import threading
import time

import host_frames

BEAT_S = 0.1
ANSWER_S = 5  # Within which the other end answers.


def boot_clock_ms():
    """The clock of heartbeats, which all processes of a machine share."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1000)


class Link:
    """One connection. Reads frames until it ends and passes them to a handler."""

    def __init__(self, stream, handle):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = stream
        self.handle = handle
        self.silent = False  # Sends nothing more, without a reset.
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        frame = host_frames.read_frame(self.stream)
        while frame is not None:
            self.handle(self, frame)
            frame = host_frames.read_frame(self.stream)

    def send(self, kind, **fields):
        if self.silent:
            return
        try:
            self.stream.sendall(host_frames.encode_frame(kind, **fields))
        except OSError:
            pass  # The other end has closed it.


class FakeOwner:
    """Owns the cell by its row in the store, and is followed by real hosts. The
    test takes the copies that arrive and answers them."""

    def __init__(self, store, epoch, name="fake-owner"):
        self.store = store
        self.epoch = epoch
        self.name = name
        self.sequence = 0
        self.links = []
        self.copies = queue.Queue()  # (link, Forward), by arrival.
        self.active = True
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "%s:%d" % self.listener.getsockname()
        self.write_row()
        for work in (self.accept, self.beat):
            threading.Thread(target=work, daemon=True).start()

    def write_row(self):
        self.sequence += 1
        self.store.put_bytes("owner", "cell", host_frames.encode(
            "Owner", epoch=self.epoch, sequence=self.sequence, host=self.name,
            address=self.address), part="cell")

    def accept(self):
        while True:
            try:
                self.links.append(Link(self.listener.accept()[0], self.take))
            except OSError:
                return  # Stopped.

    def take(self, link, frame):
        if frame.hello is not None:
            self.send_beat(link)
        if frame.forward is not None:
            self.copies.put((link, frame.forward))

    def beat(self):
        """Heartbeats, and a row that changes, so that no host takes over."""
        while self.active:
            self.write_row()
            for link in list(self.links):
                self.send_beat(link)
            time.sleep(BEAT_S)

    def send_beat(self, link):
        link.send("beat", epoch=self.epoch, owner_ready=True, store_age_ms=0,
                  clock_ms=boot_clock_ms())

    def next_copy(self):
        return self.copies.get(timeout=ANSWER_S)

    def stop_writing(self):
        """Gives up the row, so that another owner can have it."""
        self.active = False
        time.sleep(2 * BEAT_S)

    def stop(self):
        self.active = False
        self.listener.close()
        for link in self.links:
            link.stream.close()


class FakeFrontEnd:
    """Follows a real owner, gives advice for it and forwards requests to it."""

    def __init__(self, owner_address, name="fake-front-end", wait=True):
        self.owner_address = owner_address
        ip, port = owner_address.split(":")
        self.beats = queue.Queue()
        self.replies = queue.Queue()
        self.last_token = 0
        self.active = True
        self.link = Link(socket.create_connection((ip, int(port))), self.take)
        self.link.send("hello", host=name, strength=0.25, address="")
        threading.Thread(target=self.beat, daemon=True).start()
        self.epoch = self.ready_beat().epoch if wait else 0

    def beat(self):
        while self.active:
            self.link.send("beat", leaving=True)  # The owner never hands over to it.
            time.sleep(BEAT_S)

    def take(self, link, frame):
        if frame.beat is not None:
            self.beats.put(frame.beat)
        if frame.forward_reply is not None:
            self.replies.put(frame.forward_reply)
        if frame.advice_request is not None:
            asked = frame.advice_request
            tickets = [{"worker": w, "ticket": "t-" + w} for w in asked.workers]
            link.send("advice_reply", token=asked.token, answered=True, allowed=tickets,
                      valid_ms=1500, epoch=asked.epoch)

    def ready_beat(self):
        """The next heartbeat of an owner that takes requests."""
        end = time.monotonic() + ANSWER_S
        while time.monotonic() < end:
            beat = self.beats.get(timeout=ANSWER_S)
            if beat.owner_ready:
                return beat
        raise AssertionError("the owner is not ready")

    def send_submission(self, ident, timeout_ms, prefix="/jobs/", **stamp):
        self.last_token += 1
        step = {"count": 1, "cpu_milli": 500, "memory_mib": 100, "estimate_ms": 300}
        self.link.send("forward", token=self.last_token, method="POST", host="cell.example",
                       path=prefix + ident, key="key-1", job_id=ident,
                       job={"payload": "work", "steps": [step]}, timeout_ms=timeout_ms, **stamp)

    def reply(self):
        reply = self.replies.get(timeout=ANSWER_S)
        assert reply.token == self.last_token, reply
        return reply

    def stop(self):
        self.active = False
        self.link.stream.close()
