"""Run time, work class and trial admissions of each kind of task.

A kind of task is one route used by one team.
"""

from fireflybridge_core import Task
from fireflybridge_dispatch._run_times import RunTime, RunTimes
from fireflybridge_dispatch._work_classes import WorkClass, classify

TRIAL_INTERVAL_S = 1.0  # one submission of a kind is admitted this often against the estimates
MAX_KINDS = 4096


class TaskKinds:
    """Hold what is learned about each kind of task, in bounded memory."""

    def __init__(self) -> None:
        self._run_times = RunTimes()
        self._classes: dict[tuple[str, str], WorkClass] = {}
        self._trials: dict[tuple[str, str], float] = {}

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

    def record_run(self, task: Task, run_s: float) -> RunTime:
        """Record a run time in seconds; return the new estimate for the task's kind."""
        return self._run_times.observe(task.route, task.team, run_s)

    def try_trial_admission(self, task: Task, now: float) -> bool:
        """Allow one submission of a kind per interval, so that wrong estimates get corrected."""
        kind = (task.route, task.team)
        if now - self._trials.get(kind, -TRIAL_INTERVAL_S) < TRIAL_INTERVAL_S:
            return False
        if len(self._trials) > MAX_KINDS:
            self._trials.clear()
        self._trials[kind] = now
        return True
