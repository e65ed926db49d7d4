"""Ejection of upstreams after failed runs and failed calls."""

from dataclasses import dataclass, replace

FAILURES_TO_EJECT = 2  # a single failure may be caused by the task
FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0


@dataclass(frozen=True, slots=True)
class Health:
    """Consecutive failures of an upstream and the end of its ejection.

    After an ejection the upstream is on probation: it gets one run at a time until one succeeds.
    """

    failures: int = 0
    last_failed_job: str = ""
    ejected_until_s: float = 0.0
    ejection_s: float = FIRST_EJECTION_S
    on_probation: bool = False

    def admits(self, now_s: float, runs: int) -> bool:
        """Return whether the upstream may get one more run beside its ``runs`` current ones."""
        if now_s < self.ejected_until_s:
            return False
        return not (self.on_probation and runs)


def record_success(_health: Health) -> Health:
    """Return the health after a successful run, which clears all failures."""
    return Health()


def record_failure(health: Health, job: str, now_s: float) -> Health:
    """Return the health after a failed run.

    Repeated failures of one job count once, except on probation.
    """
    if job == health.last_failed_job and not health.on_probation:
        return health
    failures = health.failures + 1
    counted = replace(health, failures=failures, last_failed_job=job)
    return eject(counted, now_s) if failures >= FAILURES_TO_EJECT else counted


def eject(health: Health, now_s: float) -> Health:
    """Return the health after a call that got no reply or was rejected as the upstream's fault.

    Each further ejection lasts twice as long, up to a limit.
    """
    if now_s < health.ejected_until_s:
        return health
    return replace(
        health,
        ejected_until_s=now_s + health.ejection_s,
        ejection_s=min(2 * health.ejection_s, LONGEST_EJECTION_S),
        on_probation=True,
    )
