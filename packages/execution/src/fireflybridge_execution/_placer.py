"""Placement of a job's waiting tasks on upstreams with free capacity."""

import time
from collections.abc import Iterable
from dataclasses import replace
from math import inf

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._events import Placement
from fireflybridge_execution._free_capacity import FreeCapacity
from fireflybridge_execution._run_registry import Run
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_jobs import TaskId
from fireflybridge_placement import (
    CrashHistory,
    RunProgress,
    TaskRequirements,
    TimeLimits,
    UpstreamCandidate,
    UpstreamIndex,
    WorkEstimator,
    compute_objective_ms,
    compute_run_time_limit,
    select_missed_limits,
    should_move,
)

LATE_FACTOR = 3  # an answer after this many times the objective is worthless
MIN_DURATION_SHARE = 0.375  # work 40% below the prediction on an upstream of speed 1.6


class Placer:
    """Supply the placement decisions with the state of upstreams and tasks, and apply the results."""

    def __init__(self, sessions: SessionManager, crashes: CrashHistory) -> None:
        self.estimator = WorkEstimator()
        self._sessions = sessions
        self._crashes = crashes
        self._free = FreeCapacity(sessions, self.estimator)

    def mark_changed(self, upstream: str) -> None:
        """Note that an upstream's runs, state or health have changed."""
        self._free.mark_changed(upstream)

    def record_run_time(
        self, route: str, upstream: str, estimate_ms: float, elapsed_ms: float
    ) -> None:
        """Learn from the run time of a completed run."""
        self.estimator.record(route, upstream, estimate_ms, elapsed_ms)
        self._free.mark_changed(upstream)

    def has_room(self, jobs: Iterable[ActiveJob]) -> bool:
        """Return whether an upstream has room for the first waiting task of any of the jobs."""
        needs = {job.get_step(job.waiting[0]).needs for job in jobs if job.waiting}
        return self._free.get_index().has_room(needs)

    def place(self, active: ActiveJob, now_s: float) -> tuple[Placement, ...]:
        """Place as many waiting tasks of a job as fit."""
        tasks = [
            task
            for task in active.waiting
            if task not in self._sessions.live_runs and not self._crashes.holds_back(task)
        ]
        placed = (self._place_task(active, task, now_s) for task in tasks)
        return tuple(placement for placement in placed if placement is not None)

    def predict_critical_path_ms(self, active: ActiveJob) -> float:
        """Return the predicted work of a job's longest chain of dependent tasks."""
        route = active.job.policy.route
        return self.estimator.predict_work_ms(route, active.critical_path_ms)

    def will_miss_deadline(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether a job's longest waiting task can't be done before the deadline."""
        return now_s > self.compute_last_chance(active)

    def compute_last_chance(self, active: ActiveJob) -> float:
        """Return the last time at which a job's longest waiting task may still be started."""
        estimates_ms = (active.job.steps[task.step].estimate_ms for task in active.waiting)
        longest_ms = max(estimates_ms, default=0.0)
        needed_ms = self.estimator.predict_work_ms(active.job.policy.route, longest_ms)
        return active.deadline_s - MIN_DURATION_SHARE * needed_ms / 1000

    def find_move(
        self, active: ActiveJob, upstream: str, run: Run, percent: float
    ) -> RunProgress | None:
        """Return the progress of a run if it is to be moved to another upstream, else None."""
        now_s = time.monotonic()
        estimate_ms = active.get_step(run.task).estimate_ms
        progress = RunProgress(
            (now_s - run.placed_s) * 1000,
            percent,
            self.estimator.predict_work_ms(active.job.policy.route, estimate_ms),
            self.estimator.get_speed(upstream),
            active.count_moves(run.task),
        )
        limits = self._compute_limits(active, now_s, self.predict_critical_path_ms(active))
        if not select_missed_limits(progress, limits):
            return None
        pool = active.job.policy.pool
        free_speed = self._free.get_index().find_fastest_speed(pool, run.needs, upstream)
        if free_speed is None or not should_move(progress, limits, free_speed):
            return None
        return progress

    def _place_task(self, active: ActiveJob, task: TaskId, now_s: float) -> Placement | None:
        index = self._free.get_index()
        requirements = self._build_requirements(active, task, index, now_s)
        suspect = self._crashes.is_suspect(task)
        chosen = _choose_alone(index, requirements) if suspect else index.choose(requirements)
        session = None if chosen is None else self._sessions.find(chosen.id)
        if chosen is None or session is None:
            return None
        active.waiting.remove(task)
        number = active.record_placement(task, chosen.id, now_s)
        exclusive = suspect and chosen.idle
        session.start(
            task,
            number,
            active.job.spec,
            requirements.needs,
            active.requested_s,
            exclusive=exclusive,
        )
        list_age_ms = (now_s - (session.listed_s or now_s)) * 1000
        return Placement(task, number, chosen.id, chosen.speed, list_age_ms)

    def _build_requirements(
        self, active: ActiveJob, task: TaskId, index: UpstreamIndex, now_s: float
    ) -> TaskRequirements:
        step = active.get_step(task)
        excluded = active.list_avoided_upstreams(task)
        if excluded and not index.has_fitting(active.job.policy.pool, step.needs, excluded):
            excluded = frozenset()
        if step.max_per_upstream:
            excluded |= active.list_full_upstreams(task.step, step.max_per_upstream)
        work_ms = self.estimator.predict_work_ms(active.job.policy.route, step.estimate_ms)
        left_ms = (active.deadline_s - now_s) * 1000
        limit_ms = compute_run_time_limit(work_ms, left_ms, self.estimator.get_fast_speed())
        return TaskRequirements(
            active.job.policy.pool,
            step.needs,
            work_ms,
            step.required_label,
            step.data_rack,
            self._compute_limits(active, now_s, work_ms).objective_ms,
            inf if active.accepts_any_speed else limit_ms,
            excluded,
        )

    def _compute_limits(
        self, active: ActiveJob, now_s: float, critical_path_ms: float
    ) -> TimeLimits:
        age_ms = (now_s - active.received_s) * 1000
        objective_ms = compute_objective_ms(active.job, critical_path_ms)
        return TimeLimits(
            objective_ms - age_ms,
            LATE_FACTOR * objective_ms - age_ms,
            (active.deadline_s - now_s) * 1000,
        )


def _choose_alone(index: UpstreamIndex, requirements: TaskRequirements) -> UpstreamCandidate | None:
    """Return an upstream that runs nothing, so that a crash harms no other task, or else any."""
    idle = index.choose(replace(requirements, needs_idle=True))
    return index.choose(requirements) if idle is None else idle
