"""Key prefixes that a daemon issues; only that daemon may start keys with the prefix."""

import heapq
import re
from dataclasses import dataclass

from result import Err, Ok, Result

from fireflybridge_core import StepError

PREFIXED_KEY = re.compile(r"fbp-([0-9a-f]{16})-(0|[1-9][0-9]{0,14})\.(.+)", re.DOTALL)


@dataclass(frozen=True, slots=True)
class IssuedPrefix:
    """Prefix of keys ``<text>.<suffix>``, which are accepted for ``lifetime_s`` seconds."""

    text: str
    number: int
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class PrefixedKey:
    """Key with an issued prefix; only the named incarnation may start it."""

    incarnation: str
    number: int
    suffix: str


@dataclass(frozen=True, slots=True)
class ChosenKey:
    """Key that the caller chose; it is claimed through the log."""

    key: str


def make_prefix(incarnation: str, number: int, lifetime_s: float) -> IssuedPrefix:
    """Return the prefix of an incarnation with the given number."""
    return IssuedPrefix(f"fbp-{incarnation}-{number}", number, lifetime_s)


def parse_key(key: str) -> PrefixedKey | ChosenKey:
    """Return a key as one with an issued prefix or as one that the caller chose."""
    match = PREFIXED_KEY.fullmatch(key)
    if match is None:
        return ChosenKey(key)
    return PrefixedKey(match[1], int(match[2]), match[3])


@dataclass(frozen=True, slots=True)
class PrefixLive:
    """Keys with the prefix are accepted for another ``remaining_s`` seconds."""

    remaining_s: float


@dataclass(frozen=True, slots=True)
class PrefixExpired:
    """The prefix was issued and has expired; an earlier submission may have run."""


@dataclass(frozen=True, slots=True)
class PrefixNeverIssued:
    """The prefix was not issued by this incarnation, so no key with it has run."""


PrefixState = PrefixLive | PrefixExpired | PrefixNeverIssued


class PrefixIssuer:
    """Issues the prefixes of one incarnation and checks keys against them.

    Numbers only increase, so a number below the next one that is not live has expired. Only live
    prefixes are kept in memory, at most ``max_live`` of them.
    """

    def __init__(self, incarnation: str, lifetime_s: float, max_live: int = 100_000) -> None:
        self._incarnation = incarnation
        self._lifetime_s = lifetime_s
        self._max_live = max_live
        self._next_number = 0
        self._expiries: dict[int, float] = {}
        self._queue: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._expiries)

    def issue(self, now_s: float) -> Result[IssuedPrefix, StepError]:
        """Issue a prefix at a reading of the monotonic clock, unless too many are live."""
        self._expire(now_s)
        if len(self._expiries) >= self._max_live:
            detail = f"{self._max_live} prefixes are live; try again after one expires"
            return Err(StepError("claims.issue-prefix", self._incarnation, detail))
        number = self._next_number
        self._next_number += 1
        self._expiries[number] = now_s + self._lifetime_s
        heapq.heappush(self._queue, (now_s + self._lifetime_s, number))
        return Ok(make_prefix(self._incarnation, number, self._lifetime_s))

    def check(self, key: PrefixedKey, now_s: float) -> PrefixState:
        """Return the state of a key's prefix at ``now_s``."""
        if key.incarnation != self._incarnation or key.number >= self._next_number:
            return PrefixNeverIssued()
        self._expire(now_s)
        expiry_s = self._expiries.get(key.number)
        return PrefixExpired() if expiry_s is None else PrefixLive(expiry_s - now_s)

    def _expire(self, now_s: float) -> None:
        while self._queue and self._queue[0][0] <= now_s:
            del self._expiries[heapq.heappop(self._queue)[1]]
