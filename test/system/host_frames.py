"""The frames between entry hosts, as far as tests need them (schema/cell.proto).

A frame is a length of 4 bytes, big-endian, and a protobuf message "Frame".
Fields that are not listed here are skipped.
"""
import struct
import types

PREFIX = struct.Struct(">I")
VARINT, FIXED64, BYTES, FIXED32 = 0, 1, 2, 5  # Wire types.

# Number and type of each field; a type in a list is repeated.
SCHEMA = {
    "Owner": {"epoch": (1, int), "sequence": (2, int), "host": (3, str), "address": (4, str),
              "released": (5, int)},
    "Step": {"count": (1, int), "cpu_milli": (2, int), "memory_mib": (3, int),
             "estimate_ms": (5, int)},
    "Job": {"payload": (1, str), "steps": (2, ["Step"])},
    "Hello": {"host": (1, str), "strength": (2, float), "address": (3, str)},
    "Beat": {"epoch": (1, int), "owner_ready": (2, int), "successor": (3, str),
             "store_age_ms": (4, int), "peers": (5, [str]), "leaving": (6, int),
             "clock_ms": (8, int)},
    "Forward": {"token": (1, int), "method": (2, str), "host": (3, str), "path": (4, str),
                "key": (5, str), "job_id": (10, str), "job": (11, "Job"),
                "timeout_ms": (12, int), "copy": (13, int), "epoch": (14, int),
                "owner_clock_ms": (15, int), "request": (16, int)},
    "ForwardReply": {"token": (1, int), "status": (2, int), "body": (3, str),
                     "retry_later": (4, int), "not_owner": (5, int),
                     "retry_after_ms": (6, int), "unknown_to_epoch": (7, int)},
    "AdviceRequest": {"token": (1, int), "workers": (3, [str]), "epoch": (5, int)},
    "Ticket": {"worker": (1, str), "ticket": (2, str)},
    "AdviceReply": {"token": (1, int), "answered": (2, int), "allowed": (3, ["Ticket"]),
                    "valid_ms": (4, int), "epoch": (5, int)},
    "Frame": {"hello": (1, "Hello"), "beat": (2, "Beat"), "forward": (3, "Forward"),
              "forward_reply": (4, "ForwardReply"), "advice_request": (5, "AdviceRequest"),
              "advice_reply": (6, "AdviceReply")},
}


def encode_varint(value):
    out = bytearray()
    value &= 2 ** 64 - 1
    while value > 127:
        out.append(value & 127 | 128)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode_field(number, kind, value):
    if kind is int:
        return encode_varint(number << 3 | VARINT) + encode_varint(int(value))
    if kind is float:
        return encode_varint(number << 3 | FIXED64) + struct.pack("<d", value)
    data = value.encode() if kind is str else encode(kind, **value)
    return encode_varint(number << 3 | BYTES) + encode_varint(len(data)) + data


def encode(message, **fields):
    """The bytes of a message; the values of inner messages are dicts."""
    out = b""
    for name, value in fields.items():
        number, kind = SCHEMA[message][name]
        repeated = isinstance(kind, list)
        for each in value if repeated else [value]:
            out += encode_field(number, kind[0] if repeated else kind, each)
    return out


def encode_frame(kind, **fields):
    data = encode("Frame", **{kind: fields})
    return PREFIX.pack(len(data)) + data


def decode_varint(data, at):
    value = shift = 0
    while True:
        value |= (data[at] & 127) << shift
        shift += 7
        at += 1
        if data[at - 1] < 128:
            return value, at


def wire_fields(data):
    """Yields the number and the value of each field."""
    at = 0
    while at < len(data):
        tag, at = decode_varint(data, at)
        number, wire_type = tag >> 3, tag & 7
        if wire_type == VARINT:
            value, at = decode_varint(data, at)
            yield number, value
            continue
        if wire_type == BYTES:
            size, at = decode_varint(data, at)
        else:
            size = {FIXED64: 8, FIXED32: 4}[wire_type]
        yield number, data[at:at + size]
        at += size


def decode_value(kind, value):
    if kind is int:
        return value - 2 ** 64 if value >= 2 ** 63 else value
    if kind is float:
        return struct.unpack("<d", value)[0]
    return value.decode() if kind is str else decode(kind, value)


def default(kind):
    if isinstance(kind, list):
        return []
    return None if isinstance(kind, str) else kind()


def decode(message, data):
    """The message as an object; fields that it lacks have their defaults."""
    fields = SCHEMA[message]
    names = {number: name for name, (number, _) in fields.items()}
    out = types.SimpleNamespace(**{n: default(kind) for n, (_, kind) in fields.items()})
    for number, value in wire_fields(data):
        if number not in names:
            continue
        kind = fields[names[number]][1]
        if isinstance(kind, list):
            getattr(out, names[number]).append(decode_value(kind[0], value))
        else:
            setattr(out, names[number], decode_value(kind, value))
    return out


def read_frame(link):
    """The next frame of a socket, or None where the connection has ended."""
    try:
        head = read_exactly(link, PREFIX.size)
        return decode("Frame", read_exactly(link, PREFIX.unpack(head)[0]))
    except OSError:
        return None


def read_exactly(link, size):
    out = b""
    while len(out) < size:
        data = link.recv(size - len(out))
        if not data:
            raise ConnectionError("closed")
        out += data
    return out
