"""A loopback proxy for one address, with faults of its connections."""
import random
import selectors
import socket
import threading
import time

CHUNK = 65536


class Proxy:
    """Forwards connections. mode is one of MODES; it holds for open ones too."""

    MODES = ("pass", "delay", "silent", "no_requests", "no_answers", "reset")

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay_s = 0.0
        self.links = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode, delay_s=0.0):
        self.delay_s = delay_s
        self.mode = mode
        if mode == "reset":
            with self.lock:
                for link in list(self.links):
                    link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    link.shutdown(socket.SHUT_RDWR)

    def accept(self):
        while True:
            link, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link):
        try:
            if self.mode == "reset":
                return
            with socket.create_connection(self.target, timeout=5) as far:
                with self.lock:
                    self.links.add(link)
                self.pump(link, far)
        except OSError:
            pass  # Either end is gone, as it may be at any time.
        finally:
            with self.lock:
                self.links.discard(link)
            link.close()

    def blocked(self, from_caller):
        return self.mode == "silent" or \
            self.mode == ("no_requests" if from_caller else "no_answers")

    def pump(self, link, far):
        for each in (link, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with selectors.DefaultSelector() as ready:
            ready.register(link, selectors.EVENT_READ, far)
            ready.register(far, selectors.EVENT_READ, link)
            while True:
                for key, _ in ready.select(0.5):
                    while self.blocked(key.fileobj is link):
                        time.sleep(0.02)  # Bytes stay where they are.
                    data = key.fileobj.recv(CHUNK)
                    if not data:
                        return
                    if self.mode == "delay":
                        time.sleep(random.uniform(0, self.delay_s))
                    key.data.sendall(data)
