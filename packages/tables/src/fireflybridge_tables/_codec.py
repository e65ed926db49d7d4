"""Binary encoding of the records of the tables stream.

A payload is two magic bytes, a version byte, a CRC-32 and the body: MessagePack, compressed with
zlib. Compression reduces a Keep record of 1,000 upstreams to about a tenth.
"""

import zlib

import msgspec

from fireflybridge_tables._changes import (
    Change,
    DropPool,
    DropQuota,
    DropRoute,
    DropUpstream,
    PutPool,
    PutQuota,
    PutRoute,
    PutUpstream,
)
from fireflybridge_tables._records import (
    Keep,
    Restart,
    Revision,
    RevisionHead,
    TablesRecord,
    UnreadablePayload,
)
from fireflybridge_tables._tables import Pool, Quota, Route, Tables, Upstream

MAGIC = b"FT"
VERSION = 1
HEADER_BYTES = 7
# Limits the memory that decompressing a damaged or malicious record can take.
MAX_BODY_BYTES = 8 * 1024 * 1024


class _PutRoute(msgspec.Struct, tag="put-route", frozen=True):
    route: Route


class _DropRoute(msgspec.Struct, tag="drop-route", frozen=True):
    name: str


class _PutPool(msgspec.Struct, tag="put-pool", frozen=True):
    settings: Pool


class _DropPool(msgspec.Struct, tag="drop-pool", frozen=True):
    name: str


class _PutUpstream(msgspec.Struct, tag="put-upstream", frozen=True):
    pool: str
    upstream: Upstream


class _DropUpstream(msgspec.Struct, tag="drop-upstream", frozen=True):
    pool: str
    name: str


class _PutQuota(msgspec.Struct, tag="put-quota", frozen=True):
    pool: str
    quota: Quota


class _DropQuota(msgspec.Struct, tag="drop-quota", frozen=True):
    pool: str
    team: str


_Change = (
    _PutRoute
    | _DropRoute
    | _PutPool
    | _DropPool
    | _PutUpstream
    | _DropUpstream
    | _PutQuota
    | _DropQuota
)


class _Revision(msgspec.Struct, tag="revision", frozen=True):
    head: RevisionHead
    changes: tuple[_Change, ...]


class _WholeTables(msgspec.Struct, frozen=True):
    head: RevisionHead
    as_of: int
    routes: tuple[Route, ...]
    pools: tuple[Pool, ...]


class _Keep(_WholeTables, tag="keep", frozen=True):
    pass


class _Restart(_WholeTables, tag="restart", frozen=True):
    pass


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Revision | _Keep | _Restart)


def encode_record(record: Revision | Keep | Restart) -> bytes:
    """Encode a record as the payload of a log record."""
    body = zlib.compress(_encoder.encode(_wrap_record(record)))
    return MAGIC + bytes([VERSION]) + zlib.crc32(body).to_bytes(4) + body


def decode_record(payload: bytes) -> TablesRecord:
    """Decode a payload; return ``UnreadablePayload`` if it is damaged or has another version."""
    if payload[:2] != MAGIC or len(payload) < HEADER_BYTES:
        return UnreadablePayload("not a record of the tables stream")
    version, checksum, body = payload[2], payload[3:HEADER_BYTES], payload[HEADER_BYTES:]
    if version != VERSION:
        return UnreadablePayload(f"record version {version}, this program reads version {VERSION}")
    if zlib.crc32(body).to_bytes(4) != checksum:
        return UnreadablePayload("checksum does not match")
    try:
        return _unwrap_record(_decoder.decode(_decompress(body)))
    except (msgspec.MsgspecError, zlib.error, ValueError) as error:
        return UnreadablePayload(f"body can't be decoded: {error}")


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    data = decompressor.decompress(body, MAX_BODY_BYTES)
    if not decompressor.eof:
        raise ValueError(f"body is cut short or longer than {MAX_BODY_BYTES} bytes")
    return data


def _wrap_record(record: Revision | Keep | Restart) -> _Revision | _Keep | _Restart:
    match record:
        case Revision(head, changes):
            return _Revision(head, tuple(_wrap_change(change) for change in changes))
        case Keep(head, tables, as_of):
            return _Keep(head, as_of, tuple(tables.routes.values()), tuple(tables.pools.values()))
        case Restart(head, tables, as_of):
            return _Restart(
                head, as_of, tuple(tables.routes.values()), tuple(tables.pools.values())
            )


def _unwrap_record(wire: _Revision | _Keep | _Restart) -> TablesRecord:
    if not wire.head.id:
        return UnreadablePayload("the revision has no id")
    match wire:
        case _Revision():
            return Revision(wire.head, tuple(_unwrap_change(change) for change in wire.changes))
        case _Keep():
            return Keep(wire.head, _unwrap_tables(wire), wire.as_of)
        case _Restart():
            return Restart(wire.head, _unwrap_tables(wire), wire.as_of)


def _unwrap_tables(wire: _WholeTables) -> Tables:
    return Tables(
        {route.name: route for route in wire.routes}, {pool.name: pool for pool in wire.pools}
    )


def _wrap_change(change: Change) -> _Change:
    match change:
        case PutRoute(route):
            return _PutRoute(route)
        case DropRoute(name):
            return _DropRoute(name)
        case PutPool(settings):
            return _PutPool(settings)
        case DropPool(name):
            return _DropPool(name)
        case PutUpstream(pool, upstream):
            return _PutUpstream(pool, upstream)
        case DropUpstream(pool, name):
            return _DropUpstream(pool, name)
        case PutQuota(pool, quota):
            return _PutQuota(pool, quota)
        case DropQuota(pool, team):
            return _DropQuota(pool, team)


def _unwrap_change(wire: _Change) -> Change:
    match wire:
        case _PutRoute():
            return PutRoute(wire.route)
        case _DropRoute():
            return DropRoute(wire.name)
        case _PutPool():
            return PutPool(wire.settings)
        case _DropPool():
            return DropPool(wire.name)
        case _PutUpstream():
            return PutUpstream(wire.pool, wire.upstream)
        case _DropUpstream():
            return DropUpstream(wire.pool, wire.name)
        case _PutQuota():
            return PutQuota(wire.pool, wire.quota)
        case _DropQuota():
            return DropQuota(wire.pool, wire.team)
