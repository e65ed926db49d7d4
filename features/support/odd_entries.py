"""Records that another writer may leave in the directory of upstreams."""

import json
from collections.abc import Iterable
from typing import Any

ENTRY: dict[str, Any] = {
    "service": "desk",
    "addr": "10.0.0.1:8204",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 65536, "gpu": 0},
    "labels": ["a", "r1"],
    "born": 1764902400000,
    "seq": 7,
}
DEPTH = 100_000


def encode_entry(**changes: Any) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def encode_with(field: str, value: bytes, **changes: Any) -> bytes:
    """Return an entry with a value that the JSON encoder refuses."""
    fields = {name: json.dumps(item).encode() for name, item in {**ENTRY, **changes}.items()}
    fields[field] = value
    return b"{" + b",".join(b'"%s":%s' % (name.encode(), fields[name]) for name in fields) + b"}"


def encode_capacity(value: bytes, **changes: Any) -> bytes:
    return encode_with("capacity", b'{"cpu":%s,"mem_mb":65536}' % value, **changes)


def encode_content(key: bytes, value: bytes) -> bytes:
    return bytes([len(key)]) + key + value


NESTED = b"[" * DEPTH + b"]" * DEPTH
NESTED_OBJECTS = b'{"a":' * DEPTH + b"1" + b"}" * DEPTH
GOOD_ENTRY = encode_entry()

ODD_VALUES: dict[str, bytes] = {
    "a port of 5000 digits": encode_entry(addr="10.0.0.1:" + "9" * 5000),
    "a port out of range": encode_entry(addr="10.0.0.1:99999"),
    "port 0": encode_entry(addr="10.0.0.1:0"),
    "a negative port": encode_entry(addr="10.0.0.1:-1"),
    "no port": encode_entry(addr="10.0.0.1"),
    "a port of another script": encode_entry(addr="10.0.0.1:\u0668\u0660"),
    "an address that is a name": encode_entry(addr="localhost:8204"),
    "deep nesting": NESTED,
    "deep nesting of a field": encode_with("labels", NESTED),
    "deep nesting of an unknown field": encode_with("version", NESTED),
    "deep nesting of objects": encode_with("capacity", NESTED_OBJECTS),
    "deep nesting of a key": b"{" + NESTED + b":1}",
    "a capacity of 5000 digits": encode_capacity(b"9" * 5000),
    "a capacity of 400 digits": encode_capacity(b"9" * 400),
    "a capacity beyond 64 bits": encode_capacity(b"%d" % 2**64),
    "a capacity of 1e400": encode_capacity(b"1e400"),
    "a capacity that is not a number": encode_capacity(b"NaN"),
    "a negative capacity": encode_capacity(b"-16000"),
    "a start time beyond 64 bits": encode_with("born", b"%d" % 2**64),
    "a start time of 5000 digits": encode_with("born", b"9" * 5000),
    "an unknown state": encode_entry(state="asleep"),
    "missing fields": b"{}",
    "fields of another type": encode_entry(service=7, labels={}),
    "a lone surrogate": encode_with("service", b'"\\ud800"'),
    "text that is not UTF-8": encode_with("service", b'"\xff\xfe"'),
    "bytes that are not JSON": b"\x00\xff{",
    "262144 bytes that are not JSON": b"\x00" * 262144,
}
ODD_CONTENTS: dict[str, bytes] = {
    **{name: encode_content(b"odd", value) for name, value in ODD_VALUES.items()},
    "an empty key": encode_content(b"", GOOD_ENTRY),
    "a key that is not UTF-8": encode_content(b"\xff\xfe", GOOD_ENTRY),
    "a key with a line break": encode_content(b"odd\r\nx-more: 1", GOOD_ENTRY),
    "a key of 255 bytes beyond Latin-1": encode_content("\u20ac".encode() * 85, GOOD_ENTRY),
    "a key that is cut off": b"\xff" + b"odd",
}


def list_odd_contents() -> list[bytes]:
    """Return all odd records, those with a usable key under one of their own each."""
    named = (
        encode_content(f"odd-{index}".encode(), value)
        for index, value in enumerate(ODD_VALUES.values())
    )
    unnamed = (content for name, content in ODD_CONTENTS.items() if name not in ODD_VALUES)
    return [*named, *unnamed]


def list_false_contents(addresses: Iterable[str]) -> list[bytes]:
    """Return records that look like those of upstreams but have other addresses."""
    return [
        encode_content(f"false-{index}".encode(), encode_entry(addr=address))
        for index, address in enumerate(addresses)
    ]
