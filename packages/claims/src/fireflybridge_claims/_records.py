"""Encoding of claim batches as log records."""

from dataclasses import dataclass
from typing import Annotated

import msgspec

from fireflybridge_claims._types import (
    DIGEST_BYTES,
    INCARNATION_BYTES,
    KEY_HASH_BYTES,
    MAX_ATTEMPT,
    Batch,
    Claim,
)

FORMAT = "claims"
VERSION = 1
# Upper bounds of the encoded sizes: an array header, three byte strings and an integer of 64 bits.
MAX_CLAIM_BYTES = 1 + 18 + 18 + 10 + 9
MAX_HEADER_BYTES = 64

_Hash = Annotated[bytes, msgspec.Meta(min_length=KEY_HASH_BYTES, max_length=KEY_HASH_BYTES)]
_Digest = Annotated[bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
_Incarnation = Annotated[
    bytes, msgspec.Meta(min_length=INCARNATION_BYTES, max_length=INCARNATION_BYTES)
]
_Attempt = Annotated[int, msgspec.Meta(ge=0, le=MAX_ATTEMPT)]
_Offset = Annotated[int, msgspec.Meta(ge=0)]


class _ClaimEntry(msgspec.Struct, array_like=True, frozen=True, gc=False):
    key_hash: _Hash
    digest: _Digest
    executor: _Incarnation
    attempt: _Attempt


class _BatchRecord(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    format: str
    version: int
    writer: _Incarnation
    number: _Offset
    floor: _Offset
    claims: tuple[_ClaimEntry, ...]


@dataclass(frozen=True, slots=True)
class NewerRecord:
    """The record was written by a later version and may hold claims."""

    version: int


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """The record is not a claim batch; no version of this library writes such a record."""

    detail: str


DecodedRecord = Batch | NewerRecord | UnreadableRecord

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_BatchRecord)


def encode_batch(batch: Batch) -> bytes:
    """Return the log record of a batch."""
    entries = tuple(
        _ClaimEntry(claim.key_hash, claim.digest, bytes.fromhex(claim.executor), claim.attempt)
        for claim in batch.claims
    )
    writer = bytes.fromhex(batch.writer)
    return _encoder.encode(
        _BatchRecord(FORMAT, VERSION, writer, batch.number, batch.floor, entries)
    )


def decode_record(payload: bytes) -> DecodedRecord:
    """Return the batch of a log record, or the reason why the record cannot be decoded."""
    try:
        record = _decoder.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        return _classify_undecodable(payload, str(error))
    if record.format != FORMAT or record.version != VERSION:
        return _classify_undecodable(payload, f"format {record.format!r}, version {record.version}")
    claims = tuple(
        Claim(entry.key_hash, entry.digest, entry.executor.hex(), entry.attempt)
        for entry in record.claims
    )
    return Batch(record.writer.hex(), record.number, record.floor, claims)


def _classify_undecodable(payload: bytes, detail: str) -> NewerRecord | UnreadableRecord:
    try:
        record = msgspec.msgpack.decode(payload)
    except (msgspec.DecodeError, RecursionError, ValueError):
        return UnreadableRecord(detail)
    match record:
        case ["claims", int(version), *_] if version > VERSION:
            return NewerRecord(version)
        case _:
            return UnreadableRecord(detail)
