"""The runs that may be alive on one upstream."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto
from itertools import chain

from fireflybridge_execution._live_runs import LiveRuns
from fireflybridge_jobs import Resources, RunningRun, TaskId

RunKey = tuple[TaskId, int]


class Phase(Enum):
    """Name how far a run has come, as far as this host knows."""

    QUEUED = auto()
    STARTING = auto()
    RUNNING = auto()
    STOPPING = auto()
    """A stop is on its way or was acknowledged; the end has not been listed yet."""


@dataclass(frozen=True, slots=True)
class Run:
    """Hold one run of a task on this upstream; ``confirmed_s`` is when it was acknowledged."""

    task: TaskId
    number: int
    spec: str
    needs: Resources
    phase: Phase
    placed_s: float
    confirmed_s: float | None = None

    @property
    def key(self) -> RunKey:
        """Return what names the run on its upstream."""
        return (self.task, self.number)


@dataclass(frozen=True, slots=True)
class ForeignRun:
    """Hold a run of an earlier leader, and when it is stopped unless its job comes again."""

    run: RunningRun
    stop_s: float

    @property
    def key(self) -> RunKey:
        """Return what names the run on its upstream."""
        return (self.run.task, self.run.number)


class RunBook:
    """Keep the runs of one upstream and the resources that they use."""

    def __init__(self, live: LiveRuns) -> None:
        self.used = Resources()
        self._live = live
        self._runs: dict[RunKey, Run] = {}
        self._foreign: dict[RunKey, ForeignRun] = {}

    def __len__(self) -> int:
        """Return the number of own runs."""
        return len(self._runs)

    def __contains__(self, key: RunKey) -> bool:
        """Return whether an own run may be alive."""
        return key in self._runs

    @property
    def has_foreign(self) -> bool:
        """Return whether a run of an earlier leader is alive."""
        return bool(self._foreign)

    @property
    def is_empty(self) -> bool:
        """Return whether no run is alive."""
        return not self._runs and not self._foreign

    def has_job(self, job: str) -> bool:
        """Return whether a run of a job is alive, whoever started it."""
        return any(task.job == job for task, _ in chain(self._runs, self._foreign))

    def find(self, key: RunKey) -> Run | None:
        """Return an own run."""
        return self._runs.get(key)

    def list_runs(self) -> tuple[Run, ...]:
        """Return the own runs."""
        return tuple(self._runs.values())

    def list_foreign(self) -> tuple[ForeignRun, ...]:
        """Return the runs of earlier leaders."""
        return tuple(self._foreign.values())

    def add(self, run: Run) -> None:
        """Count a run as alive."""
        self._runs[run.key] = run
        self.used = self.used + run.needs
        self._live.add(run.task)

    def update(self, run: Run) -> None:
        """Replace what is known of a run that is counted already."""
        self._runs[run.key] = run

    def remove(self, key: RunKey) -> Run | None:
        """Return a run that is alive no more, if it was counted."""
        run = self._runs.pop(key, None)
        if run is not None:
            self.used = self.used - run.needs
            self._live.remove(run.task)
        return run

    def find_foreign(self, key: RunKey) -> ForeignRun | None:
        """Return a run of an earlier leader."""
        return self._foreign.get(key)

    def add_foreign(self, foreign: ForeignRun) -> None:
        """Count a run of an earlier leader as alive."""
        self._foreign[foreign.key] = foreign
        self._live.add(foreign.run.task)

    def drop_foreign(self, keys: Iterable[RunKey]) -> None:
        """Forget runs of earlier leaders that have ended or are counted as own runs now."""
        for key in keys:
            if self._foreign.pop(key, None) is not None:
                self._live.remove(key[0])

    def forget_all(self) -> tuple[Run, ...]:
        """Forget every run; return the own ones."""
        runs = self.list_runs()
        for run in runs:
            self.remove(run.key)
        self.drop_foreign(tuple(self._foreign))
        return runs

    def select_unlisted(self, listed: Iterable[RunKey], sent_s: float) -> tuple[Run, ...]:
        """Return the runs that a list lacks though they were acknowledged before it was asked."""
        present = set(listed)
        return tuple(
            run
            for run in self._runs.values()
            if run.confirmed_s is not None and run.confirmed_s < sent_s and run.key not in present
        )
