"""In-memory state of a shard's claim stream, as one reader has read it."""

from collections import deque
from dataclasses import dataclass, field

from fireflybridge_claims._types import DIGEST_BYTES, INCARNATION_BYTES, Claim

# Entries expire in groups of this many seconds; a group takes 150 B, plus 8 B for each entry.
GROUP_S = 1.0
ATTEMPT_BYTES = 6
EXECUTOR_END = DIGEST_BYTES + INCARNATION_BYTES
# Records of other writers are remembered beyond the bound on new claims, up to this multiple.
OVERFLOW_FACTOR = 2


@dataclass(slots=True)
class _Group:
    """Keys read within ``GROUP_S`` after ``opened_s``, which expire together."""

    opened_s: float
    first_offset: int
    keys: list[bytes] = field(default_factory=list)


class ShardView:
    """Claims of one shard, with the offset up to which its stream was read.

    An entry expires ``retention_s`` seconds after the last record of its key was read, by this
    process's monotonic clock, never earlier. Entries are packed into 30 bytes, since a shard holds
    75,000 of them at the planned peak.
    """

    __slots__ = (
        "_entries",
        "_groups",
        "_lost_until_s",
        "_max_entries",
        "_now_s",
        "_refreshed",
        "_retention_s",
        "next_offset",
    )

    def __init__(self, retention_s: float, max_entries: int, now_s: float = 0.0) -> None:
        self.next_offset = 0
        self._retention_s = retention_s
        self._max_entries = max_entries
        self._now_s = now_s
        self._lost_until_s = now_s
        self._entries: dict[bytes, bytes] = {}
        self._groups: deque[_Group] = deque()
        self._refreshed: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def floor(self) -> int:
        """Return the lowest offset whose record is still needed."""
        return self._groups[0].first_offset if self._groups else self.next_offset

    @property
    def loss_expires_in_s(self) -> float:
        """Return for how many more seconds a lost record may hold a key, 0 if none may."""
        return max(0.0, self._lost_until_s - self._now_s)

    @property
    def room_expected_in_s(self) -> float:
        """Return in how many seconds a new claim is expected to fit, 0 if it fits now."""
        if len(self._entries) < self._max_entries:
            return 0.0
        return max(GROUP_S, self._expiry_s(self._groups[0]) - self._now_s)

    def advance(self, now_s: float) -> None:
        """Set the time to a reading of the monotonic clock and remove expired entries."""
        self._now_s = max(self._now_s, now_s)
        while self._groups and self._expiry_s(self._groups[0]) <= self._now_s:
            self._drop_group(self._groups.popleft())

    def mark_records_lost(self) -> None:
        """Record that earlier records are missing; they may hold keys for the whole retention."""
        self._lost_until_s = self._now_s + self._retention_s + GROUP_S

    def find(self, key_hash: bytes) -> Claim | None:
        """Return the claim that holds a key, or ``None``."""
        packed = self._entries.get(key_hash)
        if packed is None:
            return None
        return Claim(
            key_hash=key_hash,
            digest=packed[:DIGEST_BYTES],
            executor=packed[DIGEST_BYTES:EXECUTOR_END].hex(),
            attempt=int.from_bytes(packed[EXECUTOR_END:]),
        )

    def add(self, claim: Claim, offset: int) -> None:
        """Add the claim of a key, or extend the entry of the claim that already holds the key.

        A later record may have been granted by a reader for which the first had expired, so the
        key must not become free before the later record is ``retention_s`` old as well.
        """
        if claim.key_hash in self._entries:
            self._extend_entry(claim.key_hash, offset)
        elif len(self._entries) >= OVERFLOW_FACTOR * self._max_entries:
            self.mark_records_lost()
        else:
            packed = bytes.fromhex(claim.executor) + claim.attempt.to_bytes(ATTEMPT_BYTES)
            self._entries[claim.key_hash] = claim.digest + packed
            self._open_group(offset).keys.append(claim.key_hash)

    def _extend_entry(self, key_hash: bytes, offset: int) -> None:
        group = self._open_group(offset)
        if self._refreshed.get(key_hash) != group.opened_s:
            self._refreshed[key_hash] = group.opened_s
            group.keys.append(key_hash)

    def _open_group(self, offset: int) -> _Group:
        if not self._groups or self._now_s >= self._groups[-1].opened_s + GROUP_S:
            self._groups.append(_Group(self._now_s, offset))
        return self._groups[-1]

    def _expiry_s(self, group: _Group) -> float:
        return group.opened_s + GROUP_S + self._retention_s

    def _drop_group(self, group: _Group) -> None:
        for key_hash in group.keys:
            if self._refreshed.get(key_hash, group.opened_s) <= group.opened_s:
                self._entries.pop(key_hash, None)
                self._refreshed.pop(key_hash, None)
