"""Kinds of task, each one route of one team: run time, class and probes."""

from fireflybridge_core import Task
from fireflybridge_dispatch._classes import WorkClass, classify
from fireflybridge_dispatch._estimates import RunTime, RunTimes

PROBE_INTERVAL_S = 1.0  # one submission of a kind is admitted this often although estimates say no
MAX_KINDS = 4096


class Kinds:
    """Own what is learned of each kind of task, in bounded memory."""

    def __init__(self) -> None:
        self._run_times = RunTimes()
        self._classes: dict[tuple[str, str], WorkClass] = {}
        self._probes: dict[tuple[str, str], float] = {}

    def estimate(self, task: Task) -> tuple[RunTime, WorkClass]:
        """Return the learned run time and the class of a task's kind."""
        kind = (task.route, task.team)
        run_time = self._run_times.estimate(task.route, task.team, task.expected_s)
        reference_s = self._run_times.find_reference(run_time.typical_s)
        if len(self._classes) > MAX_KINDS:
            self._classes.clear()
        previous = self._classes.get(kind, WorkClass.SHORT)
        self._classes[kind] = work_class = classify(run_time.typical_s, reference_s, previous)
        return run_time, work_class

    def learn(self, task: Task, run_s: float) -> RunTime:
        """Learn from a run time in seconds; return the new estimate of the task's kind."""
        return self._run_times.observe(task.route, task.team, run_s)

    def may_probe(self, task: Task, now: float) -> bool:
        """Allow one submission of a kind now and then, so that wrong estimates are unlearned."""
        kind = (task.route, task.team)
        if now - self._probes.get(kind, -PROBE_INTERVAL_S) < PROBE_INTERVAL_S:
            return False
        if len(self._probes) > MAX_KINDS:
            self._probes.clear()
        self._probes[kind] = now
        return True
