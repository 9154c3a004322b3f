"""A loopback proxy for one address, with faults of its connections."""
import base64
import random
import selectors
import socket
import threading
import time

CHUNK = 65536
LAG_CHUNK = 60
LAG_S = 0.3  # Shorter than the silence after which hosts close a link.


class Proxy:
    """Forwards connections. mode is one of MODES; it holds for open ones too, and
    "lag" for these only: their answers wait and their requests trickle, so that
    those of newer connections overtake them."""

    MODES = ("pass", "delay", "silent", "no_requests", "no_answers", "reset", "lag")

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.delay_s = 0.0
        self.links = set()
        self.lagging = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def set(self, mode, delay_s=0.0):
        self.delay_s = delay_s
        if mode == "lag":
            with self.lock:
                self.lagging = set(self.links)
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

    def lags(self, link):
        return self.mode == "lag" and link in self.lagging

    def pump(self, link, far):
        for each in (link, far):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with selectors.DefaultSelector() as ready:
            ready.register(link, selectors.EVENT_READ, far)
            ready.register(far, selectors.EVENT_READ, link)
            while True:
                for key, _ in ready.select(0.5):
                    from_caller = key.fileobj is link
                    while self.blocked(from_caller):
                        time.sleep(0.02)  # Bytes stay where they are.
                    if self.lags(link):
                        time.sleep(LAG_S if from_caller else 0.02)
                        if not from_caller:
                            continue
                    data = key.fileobj.recv(LAG_CHUNK if self.lags(link) else CHUNK)
                    if not data:
                        return
                    if self.mode == "delay":
                        time.sleep(random.uniform(0, self.delay_s))
                    key.data.sendall(data)


class OwnerPath:
    """Proxies of the links that one host opens to owners. They replace the
    addresses in the owner row that it reads, except its own. Addresses in
    announcements stay, so its link is direct until it next reads the row."""

    def __init__(self, addresses):
        self.proxies = {self.address_field(a): Proxy(a) for a in addresses}

    @staticmethod
    def address_field(address):
        """Field 4 of the message Owner in schema/cell.proto."""
        return bytes((0x22, len(address))) + address.encode()

    def rewrite(self, row):
        if row["table"] != "owner" or "value" not in row:
            return row
        value = base64.b64decode(row["value"])
        for field, proxy in self.proxies.items():
            value = value.replace(field, self.address_field(proxy.address))
        return dict(row, value=base64.b64encode(value).decode())

    def set(self, mode, delay_s=0.0):
        for proxy in self.proxies.values():
            proxy.set(mode, delay_s)
