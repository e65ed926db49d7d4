"""The runs that may be alive on one upstream."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum, auto
from itertools import chain

from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_jobs import Resources, RunningRun, TaskId

RunKey = tuple[TaskId, int]


class RunPhase(Enum):
    """Life cycle of a run as known to this host."""

    QUEUED = auto()
    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()
    """A stop is being sent or was acknowledged; the upstream has not reported the end yet."""


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a task on this upstream.

    ``requested_s`` is when the submission of its job was read, on the monotonic clock.
    ``confirmed_s`` is when the upstream acknowledged the start or stop, None before that.
    ``stopped_s`` is when this host decided to stop it, None if it hasn't.
    ``started`` is whether the upstream got the start while it was up. Beside an ``exclusive`` run no
    other is started.
    """

    task: TaskId
    number: int
    spec: str
    needs: Resources
    phase: RunPhase
    placed_s: float
    requested_s: float
    confirmed_s: float | None = None
    stopped_s: float | None = None
    started: bool = False
    exclusive: bool = False

    @property
    def key(self) -> RunKey:
        """Return the run's identity on its upstream."""
        return (self.task, self.number)


@dataclass(frozen=True, slots=True)
class OrphanedRun:
    """A run of an earlier leader, which is stopped after a while unless its job is resubmitted."""

    run: RunningRun
    stop_after_s: float

    @property
    def key(self) -> RunKey:
        """Return the run's identity on its upstream."""
        return (self.run.task, self.run.number)


class RunRegistry:
    """The runs on one upstream and the resources used by those of this host."""

    def __init__(self, live_runs: LiveRuns, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` after each addition or removal."""
        self.used = Resources()
        self._on_change = on_change
        self._live_runs = live_runs
        self._runs: dict[RunKey, Run] = {}
        self._orphans: dict[RunKey, OrphanedRun] = {}

    def __len__(self) -> int:
        """Return the number of this host's runs."""
        return len(self._runs)

    def __contains__(self, key: RunKey) -> bool:
        """Return whether this host has a run under this key."""
        return key in self._runs

    @property
    def has_orphans(self) -> bool:
        """Return whether there are runs of an earlier leader."""
        return bool(self._orphans)

    @property
    def has_exclusive(self) -> bool:
        """Return whether there is a run beside which no other may be started."""
        return any(run.exclusive for run in self._runs.values())

    @property
    def has_unconfirmed_stop(self) -> bool:
        """Return whether a run is to be stopped and the upstream hasn't acknowledged that."""
        return any(
            run.phase is RunPhase.STOPPING and run.confirmed_s is None
            for run in self._runs.values()
        )

    @property
    def is_empty(self) -> bool:
        """Return whether there are no runs at all."""
        return not self._runs and not self._orphans

    def has_job(self, job: str) -> bool:
        """Return whether there is a run of a job, of this host or of an earlier leader."""
        return any(task.job == job for task, _ in chain(self._runs, self._orphans))

    def find(self, key: RunKey) -> Run | None:
        """Return a run of this host."""
        return self._runs.get(key)

    def list_runs(self) -> tuple[Run, ...]:
        """Return the runs of this host."""
        return tuple(self._runs.values())

    def list_orphans(self) -> tuple[OrphanedRun, ...]:
        """Return the runs of earlier leaders."""
        return tuple(self._orphans.values())

    @property
    def is_starting(self) -> bool:
        """Return whether it is open if the upstream has got a start."""
        return any(run.phase is RunPhase.STARTING for run in self._runs.values())

    def list_started(self) -> tuple[RunKey, ...]:
        """Return the runs that the upstream has started, of this host or an earlier leader."""
        started = (run.key for run in self._runs.values() if run.started)
        return (*started, *self._orphans)

    def add(self, run: Run) -> None:
        """Add a run and the resources that it uses."""
        self._runs[run.key] = run
        self.used = self.used + run.needs
        self._live_runs.add(run.task)
        self._on_change()

    def update(self, run: Run) -> None:
        """Replace a run that was added before."""
        self._runs[run.key] = run
        if run.phase is RunPhase.STOPPING:
            self._on_change()

    def remove(self, key: RunKey) -> Run | None:
        """Remove and return a run, or return None if it is unknown."""
        run = self._runs.pop(key, None)
        if run is not None:
            self.used = self.used - run.needs
            self._live_runs.remove(run.task)
            self._on_change()
        return run

    def find_orphan(self, key: RunKey) -> OrphanedRun | None:
        """Return a run of an earlier leader."""
        return self._orphans.get(key)

    def add_orphan(self, orphan: OrphanedRun) -> None:
        """Add a run of an earlier leader."""
        self._orphans[orphan.key] = orphan
        self._live_runs.add(orphan.run.task)
        self._on_change()

    def remove_orphans(self, keys: Iterable[RunKey]) -> None:
        """Remove runs of earlier leaders that have ended or were adopted."""
        for key in keys:
            if self._orphans.pop(key, None) is not None:
                self._live_runs.remove(key[0])
                self._on_change()

    def clear_orphans(self) -> None:
        """Remove every run of earlier leaders."""
        self.remove_orphans(tuple(self._orphans))

    def clear(self) -> tuple[Run, ...]:
        """Remove every run; return those of this host."""
        runs = self.list_runs()
        for run in runs:
            self.remove(run.key)
        self.clear_orphans()
        return runs
