"""Health of upstreams: ejection, probing and slow start."""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from fireflybridge_core import Cause, Done, MayHaveRun, NotRun, Outcome
from fireflybridge_tables import Pool, Upstream

EJECT_CONSECUTIVE_FAILURES = 5  # an upstream that fails everything is ejected after these
RECENT_OUTCOMES = 20
EJECT_RECENT_FAILURES = 15  # of the recent outcomes; ejects an upstream that sometimes succeeds
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
PROBE_TIMEOUT_S = 30.0  # another probe is allowed if one has no outcome after this time
SLOW_START_S = 2.0  # time in which a new or readmitted upstream goes from one slot to all
SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Allowed:
    """The task may start."""


@dataclass(frozen=True, slots=True)
class Probe:
    """The task may start, and its outcome decides whether the upstream is readmitted."""


@dataclass(frozen=True, slots=True)
class Denied:
    """No task may start before ``until``, because of an ejection or a slow start.

    ``until`` is a reading of the clock of ``UpstreamHealth`` in seconds.
    """

    until: float


Permission = Allowed | Probe | Denied


class HealthSignal(Enum):
    """Classify an outcome by what it tells about the health of the upstream."""

    SUCCESS = auto()
    FAILURE = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class RecentFailures:
    """Count an upstream's consecutive failures, and the failures among its recent outcomes."""

    consecutive: int
    total: int


def classify_outcome(outcome: Outcome) -> HealthSignal:
    """Return what an outcome tells about the health of the upstream that it came from."""
    match outcome:
        case Done(status=status):
            return HealthSignal.FAILURE if status >= SERVER_ERROR else HealthSignal.SUCCESS
        case NotRun(cause=Cause.CONNECT_FAILED | Cause.GUARD_REFUSED):
            return HealthSignal.FAILURE
        case MayHaveRun(cause=Cause.CONNECTION_BROKEN | Cause.TIMED_OUT):
            return HealthSignal.FAILURE
        case _:
            return HealthSignal.UNKNOWN


def should_eject(recent: RecentFailures) -> bool:
    """Decide whether an upstream with these failures is ejected."""
    return recent.consecutive >= EJECT_CONSECUTIVE_FAILURES or recent.total >= EJECT_RECENT_FAILURES


def limit_ejections(used: int, pool: int) -> int:
    """Return how many upstreams of a pool of size ``pool`` may be ejected at the same time.

    The limit is half of the ``used`` upstreams that this daemon uses. A daemon that uses only one
    of several may eject that one, since other daemons use the rest.
    """
    return used // 2 if used > 1 else min(1, pool // 2)


def count_slow_start_slots(slots: int, elapsed_s: float) -> int:
    """Return the slots that may be in use ``elapsed_s`` seconds after the slow start began."""
    return max(1, int(slots * elapsed_s / SLOW_START_S))


class _Health:
    """Health of one upstream."""

    __slots__ = (
        "backoff_s",
        "consecutive",
        "ejected_until",
        "in_flight",
        "probe_until",
        "recent_failures",
        "slow_start_since",
        "upstream",
    )

    def __init__(self, upstream: Upstream, slow_start_since: float | None) -> None:
        self.upstream = upstream
        self.consecutive = 0
        self.recent_failures: deque[bool] = deque(maxlen=RECENT_OUTCOMES)
        self.backoff_s = FIRST_EJECTION_S
        self.ejected_until: float | None = None
        self.probe_until: float | None = None
        self.slow_start_since = slow_start_since
        self.in_flight = 0


class UpstreamHealth:
    """Track the health of a pool's upstreams from the outcomes of this daemon."""

    def __init__(self, pool: Pool, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._health = {upstream.name: _Health(upstream, None) for upstream in pool.upstreams}
        self._used: set[str] = set()

    def configure(self, pool: Pool) -> None:
        """Apply the pool of the tables now in force; a new upstream begins with a slow start."""
        now = self._clock()
        self._health = dict(self._keep_known(pool.upstreams, now))
        self._used &= self._health.keys()

    def acquire(self, upstream: str) -> Permission:
        """Acquire permission to start one task on a slot of the upstream now.

        Every ``Allowed`` and ``Probe`` must be followed by one ``record``, or by ``release`` if
        nothing was started.
        """
        health = self._health.get(upstream)
        if health is None:
            return Allowed()
        now = self._clock()
        self._used.add(upstream)
        if health.ejected_until is not None:
            return self._decide_probe(health, health.ejected_until, now)
        if health.slow_start_since is not None and (
            wait_until := self._find_slow_start_wait(health, now)
        ):
            return Denied(wait_until)
        health.in_flight += 1
        return Allowed()

    def release(self, upstream: str) -> None:
        """Release a permission that was not used."""
        health = self._health.get(upstream)
        if health is not None:
            health.in_flight = max(0, health.in_flight - 1)
            health.probe_until = None

    def record(self, upstream: str, outcome: Outcome) -> None:
        """Record the outcome of one start that was permitted."""
        health = self._health.get(upstream)
        if health is None:
            return
        health.in_flight = max(0, health.in_flight - 1)
        match classify_outcome(outcome):
            case HealthSignal.SUCCESS:
                self._record_success(health)
            case HealthSignal.FAILURE:
                self._record_failure(health)
            case HealthSignal.UNKNOWN:
                health.probe_until = None

    def count_ejected(self) -> int:
        """Return the number of ejected upstreams."""
        return sum(health.ejected_until is not None for health in self._health.values())

    def _keep_known(
        self, upstreams: Iterable[Upstream], now: float
    ) -> Iterable[tuple[str, _Health]]:
        """Yield the health of each upstream; known health is kept if the address is unchanged."""
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
            return Denied(until)
        if health.probe_until is not None and now < health.probe_until:
            return Denied(health.probe_until)
        health.probe_until = now + PROBE_TIMEOUT_S
        health.in_flight += 1
        return Probe()

    def _find_slow_start_wait(self, health: _Health, now: float) -> float | None:
        """Return when the next task may start in a slow start, or None if one may start now."""
        since = health.slow_start_since
        if since is None or now - since >= SLOW_START_S:
            health.slow_start_since = None
            health.backoff_s = FIRST_EJECTION_S
            return None
        slots = health.upstream.slots
        allowed = count_slow_start_slots(slots, now - since)
        if health.in_flight < allowed:
            return None
        return since + SLOW_START_S * (allowed + 1) / slots

    def _record_success(self, health: _Health) -> None:
        """Record a success; that of a probe ends the ejection and begins a slow start."""
        health.consecutive = 0
        health.recent_failures.append(False)
        if health.ejected_until is not None and health.probe_until is not None:
            health.ejected_until = health.probe_until = None
            health.recent_failures.clear()
            health.slow_start_since = self._clock()

    def _record_failure(self, health: _Health) -> None:
        """Record a failure, and eject the upstream if it has failed often enough."""
        now = self._clock()
        health.consecutive += 1
        health.recent_failures.append(True)
        if health.ejected_until is not None:
            if health.probe_until is not None:
                self._eject(health, now)
            return
        recent = RecentFailures(health.consecutive, sum(health.recent_failures))
        limit = limit_ejections(len(self._used), len(self._health))
        if self.count_ejected() < limit and (
            should_eject(recent) or health.slow_start_since is not None
        ):
            self._eject(health, now)

    def _eject(self, health: _Health, now: float) -> None:
        """Eject the upstream for a time that doubles with each consecutive ejection."""
        health.ejected_until = now + health.backoff_s
        health.probe_until = health.slow_start_since = None
        health.backoff_s = min(LONGEST_EJECTION_S, 2 * health.backoff_s)
