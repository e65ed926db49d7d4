"""Identifiers of daemon runs, hashes of submission keys and content digests."""

import hashlib
import secrets
from collections.abc import Iterable

CLAIM_SHARDS = 16
KEY_HASH_BYTES = 16
DIGEST_BYTES = 16


def make_incarnation() -> str:
    """Return a random 64-bit id, as 16 hex digits, of one run of a daemon."""
    return secrets.token_hex(8)


def hash_key(key: str) -> bytes:
    """Return the 16-byte hash under which a submission key is claimed."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_HASH_BYTES).digest()


def find_shard(key_hash: bytes) -> int:
    """Return the number, 0 to 15, of the claim shard that a key hash belongs to."""
    return key_hash[0] % CLAIM_SHARDS


def digest_content(parts: Iterable[bytes]) -> bytes:
    """Return a 16-byte digest of the parts, each prefixed with its length."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
