"""Placement of a job's waiting tasks on upstreams with free capacity."""

import time
from collections.abc import Collection, Mapping
from dataclasses import replace
from math import inf

from fireflybridge_execution._active_job import ActiveJob
from fireflybridge_execution._events import Placement
from fireflybridge_execution._run_registry import Run
from fireflybridge_execution._session import UpstreamSession
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_jobs import Job, TaskId
from fireflybridge_placement import (
    RunProgress,
    TaskRequirements,
    TimeLimits,
    UpstreamCandidate,
    WorkEstimator,
    choose_upstream,
    compute_critical_path_ms,
    compute_objective_ms,
    should_move,
)

FASTEST_SHARE = 0.9  # learned speeds of equal upstreams differ by about a tenth
NEGLIGIBLE_SPEED = 1e-6
LATE_FACTOR = 3  # an answer after this many times the objective is worthless
MIN_DURATION_SHARE = 0.375  # work 40% below the prediction on an upstream of speed 1.6


class Placer:
    """Supply the placement decisions with the state of upstreams and tasks, and apply the results."""

    def __init__(self, sessions: SessionManager) -> None:
        self.estimator = WorkEstimator()
        self._sessions = sessions

    def list_candidates(
        self, jobs: Collection[ActiveJob], now_s: float
    ) -> dict[str, UpstreamCandidate]:
        """Return by id the upstreams that can run the smallest of the jobs' first waiting tasks."""
        waiting = [job.get_step(job.waiting[0]).needs for job in jobs if job.waiting]
        if not waiting:
            return {}
        smallest = min(waiting, key=lambda needs: needs.cpu_millicores)
        sessions = self._sessions.list_available(now_s, smallest)
        return {session.info.id: self._build_candidate(session) for session in sessions}

    def place(
        self, active: ActiveJob, candidates: dict[str, UpstreamCandidate], now_s: float
    ) -> tuple[Placement, ...]:
        """Place as many waiting tasks of a job as fit, and update the candidates."""
        tasks = [task for task in active.waiting if task not in self._sessions.live_runs]
        placed = (self._place_task(active, task, candidates, now_s) for task in tasks)
        return tuple(placement for placement in placed if placement is not None)

    def predict_critical_path_ms(self, job: Job) -> float:
        """Return the predicted work of a job's longest chain of dependent tasks."""
        return self.estimator.predict_work_ms(job.policy.route, compute_critical_path_ms(job))

    def will_miss_deadline(self, active: ActiveJob, now_s: float) -> bool:
        """Return whether a job's longest waiting task can't be done before the deadline."""
        estimates_ms = (active.job.steps[task.step].estimate_ms for task in active.waiting)
        longest_ms = max(estimates_ms, default=0.0)
        needed_ms = self.estimator.predict_work_ms(active.job.policy.route, longest_ms)
        return now_s + MIN_DURATION_SHARE * needed_ms / 1000 > active.deadline_s

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
        limits = self._compute_limits(active, now_s, self.predict_critical_path_ms(active.job))
        moves = should_move(progress, limits, self._find_fastest_free_speed(upstream, run, now_s))
        return progress if moves else None

    def _place_task(
        self,
        active: ActiveJob,
        task: TaskId,
        candidates: dict[str, UpstreamCandidate],
        now_s: float,
    ) -> Placement | None:
        requirements = self._build_requirements(active, task, candidates, now_s)
        chosen = choose_upstream(requirements, candidates.values())
        session = None if chosen is None else self._sessions.find(chosen)
        if chosen is None or session is None:
            return None
        active.waiting.remove(task)
        number = active.record_placement(task, chosen, now_s)
        session.start(task, number, active.job.spec, requirements.needs)
        candidate = candidates[chosen]
        if session.admits(now_s):
            candidates[chosen] = replace(candidate, available=session.available)
        else:
            del candidates[chosen]
        return Placement(task, number, chosen, candidate.speed)

    def _build_candidate(self, session: UpstreamSession) -> UpstreamCandidate:
        return UpstreamCandidate(
            session.info.id,
            session.info.pool,
            session.available,
            self.estimator.get_speed(session.info.id),
            session.info.labels,
        )

    def _build_requirements(
        self,
        active: ActiveJob,
        task: TaskId,
        candidates: Mapping[str, UpstreamCandidate],
        now_s: float,
    ) -> TaskRequirements:
        step = active.get_step(task)
        excluded = active.list_avoided_upstreams(task)
        if excluded.issuperset(candidates):
            excluded = frozenset()
        if step.max_per_upstream:
            excluded |= active.list_full_upstreams(task.step, step.max_per_upstream)
        work_ms = self.estimator.predict_work_ms(active.job.policy.route, step.estimate_ms)
        left_ms = (active.deadline_s - now_s) * 1000
        fastest = FASTEST_SHARE * self.estimator.get_highest_speed()
        limit_ms = inf if active.accepts_any_speed else max(left_ms, work_ms / fastest)
        return TaskRequirements(
            active.job.policy.pool,
            step.needs,
            work_ms,
            step.required_label,
            step.data_rack,
            self._compute_limits(active, now_s, work_ms).objective_ms,
            limit_ms,
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

    def _find_fastest_free_speed(self, upstream: str, run: Run, now_s: float) -> float:
        """Return the speed of the fastest other upstream that can take a run, or one near zero."""
        free = (
            self.estimator.get_speed(session.info.id)
            for session in self._sessions.list_available(now_s, run.needs)
            if session.info.id != upstream
        )
        return max(free, default=NEGLIGIBLE_SPEED)
