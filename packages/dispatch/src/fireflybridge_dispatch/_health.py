"""Health of upstreams: ejection, probing and warm-in."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from fireflybridge_core import Cause, Done, MayHaveRun, NotRun, Outcome
from fireflybridge_tables import Pool, Upstream

EJECT_CONSECUTIVE = 5  # failures in a row; an upstream that fails everything is out within these
RECENT_OUTCOMES = 20
EJECT_RECENT = 15  # failures among the recent outcomes, for an upstream that now and then succeeds
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROBE_LEASE_S = 30.0  # a probe without an outcome is given up after this
WARM_IN_S = 2.0  # from one slot to all slots, for a new or returned upstream
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Open:
    """Allow a start."""


@dataclass(frozen=True, slots=True)
class Probe:
    """Allow a single start that decides whether the upstream returns."""


@dataclass(frozen=True, slots=True)
class Ejected:
    """Allow no start before ``until``, a reading of the health's clock in seconds."""

    until: float


Permission = Open | Probe | Ejected


class Verdict(Enum):
    """Say what an outcome tells about the upstream."""

    GOOD = auto()
    BAD = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class Recent:
    """Hold the recent failures of an upstream."""

    consecutive: int
    bad: int


def judge_outcome(outcome: Outcome) -> Verdict:
    """Return what an outcome tells about the upstream that it came from."""
    match outcome:
        case Done(status=status):
            return Verdict.BAD if status >= SERVER_ERROR else Verdict.GOOD
        case NotRun(cause=Cause.CONNECT_FAILED | Cause.GUARD_REFUSED):
            return Verdict.BAD
        case MayHaveRun(cause=Cause.CONNECTION_BROKEN | Cause.TIMED_OUT):
            return Verdict.BAD
        case _:
            return Verdict.UNKNOWN


def should_eject(recent: Recent) -> bool:
    """Decide whether the recent failures are reason to eject."""
    return recent.consecutive >= EJECT_CONSECUTIVE or recent.bad >= EJECT_RECENT


def limit_ejections(used: int, pool: int) -> int:
    """Return how many of the ``used`` upstreams of a pool may be ejected at once.

    It is half of those that this daemon uses. A daemon that uses one of several may eject that
    one, since other daemons have the rest.
    """
    return used // 2 if used > 1 else min(1, pool // 2)


def count_warm_slots(slots: int, warm_s: float) -> int:
    """Return the slots that may be in use ``warm_s`` seconds after warm-in began."""
    return max(1, int(slots * warm_s / WARM_IN_S))


class _Health:
    """Hold what is known of one upstream."""

    __slots__ = (
        "backoff_s",
        "consecutive",
        "ejected_until",
        "in_flight",
        "probe_until",
        "recent",
        "upstream",
        "warm_since",
    )

    def __init__(self, upstream: Upstream, warm_since: float | None) -> None:
        self.upstream = upstream
        self.consecutive = 0
        self.recent: deque[bool] = deque(maxlen=RECENT_OUTCOMES)
        self.backoff_s = FIRST_EJECTION_S
        self.ejected_until: float | None = None
        self.probe_until: float | None = None
        self.warm_since = warm_since
        self.in_flight = 0


class UpstreamHealth:
    """Own the health of a pool's upstreams as this daemon sees it."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._health = {one.name: _Health(one, None) for one in pool.upstreams}
        self._used: set[str] = set()

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force; a new upstream starts slowly."""
        now = self._clock()
        self._health = dict(self._keep_known(pool.upstreams, now))
        self._used &= self._health.keys()

    def may_start(self, upstream: str) -> Permission:
        """Decide whether a slot of the upstream may start one task now.

        Every ``Open`` and ``Probe`` is followed by one ``record``, or by ``release`` if nothing
        was started.
        """
        health = self._health.get(upstream)
        if health is None:
            return Open()
        now = self._clock()
        self._used.add(upstream)
        if health.ejected_until is not None:
            return self._decide_probe(health, health.ejected_until, now)
        if health.warm_since is not None and (wait_until := self._find_warm_wait(health, now)):
            return Ejected(wait_until)
        health.in_flight += 1
        return Open()

    def release(self, upstream: str) -> None:
        """Return a permission that was not used."""
        health = self._health.get(upstream)
        if health is not None:
            health.in_flight = max(0, health.in_flight - 1)
            health.probe_until = None

    def record(self, upstream: str, outcome: Outcome) -> None:
        """Note the outcome of one start that was permitted."""
        health = self._health.get(upstream)
        if health is None:
            return
        health.in_flight = max(0, health.in_flight - 1)
        match judge_outcome(outcome):
            case Verdict.GOOD:
                self._record_good(health)
            case Verdict.BAD:
                self._record_bad(health)
            case Verdict.UNKNOWN:
                health.probe_until = None

    def count_ejected(self) -> int:
        """Return the number of ejected upstreams."""
        return sum(one.ejected_until is not None for one in self._health.values())

    def _keep_known(
        self, upstreams: Iterable[Upstream], now: float
    ) -> Iterable[tuple[str, _Health]]:
        """Yield the health of each upstream: the known one if its address is unchanged."""
        for upstream in upstreams:
            known = self._health.get(upstream.name)
            if known is not None and known.upstream.address == upstream.address:
                known.upstream = upstream
                yield upstream.name, known
            else:
                yield upstream.name, _Health(upstream, now)

    def _decide_probe(self, health: _Health, until: float, now: float) -> Permission:
        """Allow one probe when the ejection has lasted long enough."""
        if now < until:
            return Ejected(until)
        if health.probe_until is not None and now < health.probe_until:
            return Ejected(health.probe_until)
        health.probe_until = now + PROBE_LEASE_S
        health.in_flight += 1
        return Probe()

    def _find_warm_wait(self, health: _Health, now: float) -> float | None:
        """Return when the next slot may start during warm-in, or None if one may start now."""
        since = health.warm_since
        if since is None or now - since >= WARM_IN_S:
            health.warm_since = None
            health.backoff_s = FIRST_EJECTION_S
            return None
        slots = health.upstream.slots
        allowed = count_warm_slots(slots, now - since)
        if health.in_flight < allowed:
            return None
        return since + WARM_IN_S * (allowed + 1) / slots

    def _record_good(self, health: _Health) -> None:
        """Note a success; it brings a probed upstream back, slowly."""
        health.consecutive = 0
        health.recent.append(False)
        if health.ejected_until is not None and health.probe_until is not None:
            health.ejected_until = health.probe_until = None
            health.recent.clear()
            health.warm_since = self._clock()

    def _record_bad(self, health: _Health) -> None:
        """Note a failure; enough of them eject the upstream."""
        now = self._clock()
        health.consecutive += 1
        health.recent.append(True)
        if health.ejected_until is not None:
            if health.probe_until is not None:
                self._eject(health, now)
            return
        recent = Recent(health.consecutive, sum(health.recent))
        limit = limit_ejections(len(self._used), len(self._health))
        if self.count_ejected() < limit and (should_eject(recent) or health.warm_since is not None):
            self._eject(health, now)

    def _eject(self, health: _Health, now: float) -> None:
        """Eject for a time that doubles with each ejection in a row."""
        health.ejected_until = now + health.backoff_s
        health.probe_until = health.warm_since = None
        health.backoff_s = min(LONGEST_EJECTION_S, 2 * health.backoff_s)
