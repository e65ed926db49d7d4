"""Clearance of a leader's jobs by the other leaders, which each job needs before its first start."""

import time
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from math import inf

from fireflybridge_clearances._holdings import (
    Answered,
    Held,
    Holding,
    LeaderReport,
    MayRun,
    NotHeld,
)
from fireflybridge_clearances._ledger import JobLedger, LedgerPart
from fireflybridge_clearances._other_leaders import OtherLeaders
from fireflybridge_clearances._taken_elsewhere import TakenElsewhere
from fireflybridge_jobs import merge_fences
from fireflybridge_leadership import Holder, Notifier, Term

# A caller's first submission reaches a leader sooner; one that was held up must be asked for.
MAX_SUBMISSION_AGE_S = 0.45
RESULT_RETENTION_S = 5.0  # a leader knows the results of its jobs for so long after their deadlines


@dataclass(frozen=True, slots=True)
class _Clearance:
    """The failure domains whose leaders have cleared a job, with the fencing tokens of their terms.

    The job needs no question to a failure domain whose leader has told all jobs that it had taken
    until ``told_until_s``, unless that is one of ``suspects``: there its leader may hold the job.

    ``holder`` is another leader that decides on the job. ``deferred_s`` is when this leader has left
    the job to one that asked; what that one had said before then doesn't count any more. What was
    asked before ``opened_s`` concerns an earlier submission of the job. ``listed_fences`` holds the
    domains of which it is certain that no run of the job is alive there.
    """

    fences: Mapping[str, int] = field(default_factory=dict)
    listed_fences: Mapping[str, int] = field(default_factory=dict)
    holder: Holder | None = None
    deferred_s: Mapping[Holder, float] = field(default_factory=dict)
    opened_s: float = 0.0
    told_until_s: float = inf
    suspects: frozenset[str] = frozenset()


UNKNOWN = _Clearance()


class JobClearances:
    """Tell whether every other leader has cleared a job for this one.

    A caller may send a job to the leaders of several failure domains, the second time no earlier
    than ``resubmission_delay_s`` after the first. So a job that has just been sent is cleared by a
    leader that has told, since shortly before that time, all jobs that it had taken, without this one.
    Any other job is asked about before its first start, and once more when a failure domain has got
    another leader. Of two leaders with terms in the log, at least the one with the later term knows
    the other, and its question names its terms, so one of them learns of the other's job.
    """

    def __init__(
        self,
        holder: Holder,
        find_terms: Callable[[], Iterable[Term]],
        resubmission_delay_s: float = 0.0,
    ) -> None:
        """Set this host's identity, and how to find the newest known terms of all leaders.

        With a delay of 0 s, callers may send a job twice at one time, so every job is asked about.
        """
        self.asked = Notifier()
        """Notified when there is a job to ask for."""
        self.leaders = OtherLeaders(holder, find_terms)
        """Which other leaders there are, and whether they reply."""
        self._holder = holder
        self._resubmission_delay_s = resubmission_delay_s
        self._jobs: dict[str, _Clearance] = {}
        self._asked_jobs: dict[str, None] = {}
        """The jobs that a leader must be asked about."""
        self._ledger = JobLedger()
        self._elsewhere = TakenElsewhere()

    # Jobs of this leader

    def open(self, job: str, max_age_s: float | None = None, keep_s: float = 0.0) -> None:
        """Take a job that this leader may hold for ``keep_s``, and ask the other leaders if need be.

        Its caller has sent it at most ``max_age_s`` ago; None if that isn't known, or if another
        leader may have started it.
        """
        now_s = time.monotonic()
        self._ledger.note(job, keep_s + RESULT_RETENTION_S)
        told_until_s = inf
        if max_age_s is not None and max_age_s <= MAX_SUBMISSION_AGE_S < self._resubmission_delay_s:
            told_until_s = now_s - self._resubmission_delay_s + MAX_SUBMISSION_AGE_S
        suspects = self._elsewhere.find_domains(job)
        self._jobs[job] = _Clearance(opened_s=now_s, told_until_s=told_until_s, suspects=suspects)
        self._ask(job)

    def extend(self, job: str, keep_s: float) -> None:
        """Note that this leader may hold a job for longer, in seconds from now."""
        self._ledger.note(job, keep_s + RESULT_RETENTION_S)

    def close(self, job: str) -> None:
        """Forget a job that has ended."""
        self._jobs.pop(job, None)
        self._asked_jobs.pop(job, None)
        for leader in self.leaders:
            leader.settle(job)

    def note_runs(self, jobs: Iterable[str]) -> None:
        """Note the jobs of runs that were found on the upstreams of this leader."""
        for job in jobs:
            self._ledger.note(job, RESULT_RETENTION_S)

    def _ask(self, job: str) -> None:
        """Ask the leaders that have to clear a job, and haven't."""
        self._ask_new_leaders()
        clearance = self._jobs[job]
        if clearance.told_until_s < inf and not clearance.suspects:
            return
        self._asked_jobs[job] = None
        self._ask_each(job, self.leaders.terms)
        self.asked.notify()

    def _ask_each(self, job: str, terms: Iterable[Term]) -> None:
        """Ask those leaders of terms that have to clear a job, and haven't."""
        for term in terms:
            leader = self.leaders.find(term.holder)
            if leader is not None and self._must_ask(self._jobs[job], term):
                leader.ask(job)

    def _ask_new_leaders(self) -> None:
        """Ask another leader with a new term about the jobs that it hasn't cleared under it."""
        new_terms = self.leaders.take_new_terms()
        if new_terms:
            for job in self._asked_jobs:
                self._ask_each(job, new_terms)

    def _must_ask(self, clearance: _Clearance, term: Term) -> bool:
        return not _covers(clearance, term) and (
            clearance.told_until_s == inf or term.domain in clearance.suspects
        )

    def is_cleared(self, job: str) -> bool:
        """Return whether every other leader has cleared a job, or is out of reach."""
        self._ask_new_leaders()
        if not self.leaders.terms:
            return True
        clearance = self._jobs.get(job, UNKNOWN)
        return self.find_holder(job) is None and all(
            _covers(clearance, term)
            or self._has_told(clearance, term.domain)
            or self.leaders.is_out_of_reach(term)
            for term in self.leaders.terms
        )

    def _has_told(self, clearance: _Clearance, domain: str) -> bool:
        """Return whether the leaders of a failure domain have told of their jobs, not of this one."""
        has_told = self.leaders.has_told(domain, clearance.told_until_s)
        return has_told and domain not in clearance.suspects

    def rules_out_runs(self, job: str, domain: str, fence: int) -> bool:
        """Return whether no run of a job is alive in a failure domain, by its leader's lists.

        The leader must have got them under a token no lower than ``fence``.
        """
        clearance = self._jobs.get(job, UNKNOWN)
        return clearance.holder is None and clearance.listed_fences.get(domain, -1) >= fence

    def find_holder(self, job: str) -> Holder | None:
        """Return the other leader that decides on a job, if this one knows it."""
        holder = self._jobs.get(job, UNKNOWN).holder
        if holder is None:
            return None
        self._ask_new_leaders()
        leader = self.leaders.find(holder)
        return None if leader is None or leader.is_unreachable else holder

    def takes_precedence(self, leader: Holder) -> bool:
        """Return whether this leader takes a job that both have received and neither has begun."""
        return _rank(self._holder) < _rank(leader)

    def defer_job(self, job: str, leader: Holder) -> None:
        """Leave a job to another leader, whose next report says whether it still holds it."""
        clearance = self._jobs[job]
        domains = self.leaders.find_domains(leader)
        self._jobs[job] = replace(
            clearance,
            fences={d: fence for d, fence in clearance.fences.items() if d not in domains},
            listed_fences={},
            holder=leader,
            deferred_s={**clearance.deferred_s, leader: time.monotonic()},
            suspects=clearance.suspects | domains,
        )
        self._ask(job)

    # Other leaders

    def list_open(self, leader: Holder) -> tuple[str, ...]:
        """Return the jobs that another leader is to be asked about now, the new ones first."""
        self._ask_new_leaders()
        found = self.leaders.find(leader)
        return () if found is None else found.list_questions()

    def has_new_questions(self, leader: Holder) -> bool:
        """Return whether there are jobs that another leader wasn't asked about yet."""
        self._ask_new_leaders()
        found = self.leaders.find(leader)
        return found is not None and found.has_new_questions

    def has_questions(self, leader: Holder) -> bool:
        """Return whether there are jobs that another leader hasn't cleared."""
        self._ask_new_leaders()
        found = self.leaders.find(leader)
        return found is not None and found.has_questions

    def note_asked(self, leader: Holder, jobs: Iterable[str]) -> None:
        """Note that another leader has replied to the questions about jobs."""
        found = self.leaders.find(leader)
        if found is not None:
            found.note_asked(jobs)

    def get_ledger_number(self, leader: Holder) -> int:
        """Return the number of the last job that another leader has told of those it has taken."""
        found = self.leaders.find(leader)
        return 0 if found is None else found.ledger_number

    def list_taken(self, since: int) -> LedgerPart:
        """Return the jobs that this leader has taken, with numbers above one."""
        return self._ledger.list_since(since)

    def note_asker(self, job: str, asker: Holder) -> None:
        """Note that another leader, which asks about a job, has taken it."""
        domains = self.leaders.find_domains(asker)
        if domains:
            self._elsewhere.note(job, domains, RESULT_RETENTION_S)

    def apply_report(self, report: LeaderReport, asked_s: float) -> tuple[str, ...]:
        """Note what another leader has said in reply to a question sent at a monotonic time.

        Return the jobs that the report still concerns.
        """
        self._ask_new_leaders()
        self.leaders.note_contact(report.leader)
        self._apply_ledger(report, asked_s)
        jobs = tuple(job for job in report.holdings if self._concerns(report, job, asked_s))
        for job in jobs:
            clearance = _apply_holding(self._jobs[job], report, report.holdings[job])
            self._jobs[job] = clearance
            self._note_answer(report.leader, job, clearance)
        return jobs

    def _apply_ledger(self, report: LeaderReport, asked_s: float) -> None:
        """Note the jobs that another leader has taken, and until when it has told all of them."""
        leader = self.leaders.find(report.leader)
        if leader is None:
            return
        leader.ledger_number = report.taken.last_number
        domains = report.fences.keys()
        for job, keep_s in report.taken.jobs.items():
            self._elsewhere.note(job, domains, keep_s)
            if job in self._jobs:
                self._suspect(job, domains)
        if report.knows_runs and report.taken.is_last:
            led = [t for t in self.leaders.terms if report.fences.get(t.domain, -1) >= t.fence]
            self.leaders.note_report(report.leader, led, asked_s)

    def _suspect(self, job: str, domains: Collection[str]) -> None:
        """Ask about a job of this leader that a leader of other failure domains has taken as well."""
        clearance = self._jobs[job]
        if clearance.told_until_s < inf and not clearance.suspects.issuperset(domains):
            self._jobs[job] = replace(clearance, suspects=clearance.suspects.union(domains))
            self._ask(job)

    def _note_answer(self, holder: Holder, job: str, clearance: _Clearance) -> None:
        leader = self.leaders.find(holder)
        if leader is None:
            return
        if all(_covers(clearance, term) for term in self.leaders.terms if term.holder == holder):
            leader.settle(job)
        else:
            leader.ask_again(job)

    def _concerns(self, report: LeaderReport, job: str, asked_s: float) -> bool:
        clearance = self._jobs.get(job)
        return clearance is not None and asked_s > max(
            clearance.opened_s, clearance.deferred_s.get(report.leader, 0.0)
        )


def _apply_holding(clearance: _Clearance, report: LeaderReport, holding: Holding) -> _Clearance:
    holder = None if clearance.holder == report.leader else clearance.holder
    match holding:
        case NotHeld():
            listed = {domain: report.fences[domain] for domain in report.listed}
            return replace(
                clearance,
                fences=merge_fences(clearance.fences, report.fences),
                listed_fences=merge_fences(clearance.listed_fences, listed),
                holder=holder,
            )
        case Held():
            return replace(clearance, holder=report.leader)
        case MayRun() | Answered():
            return replace(clearance, holder=holder)


def _covers(clearance: _Clearance, term: Term) -> bool:
    return clearance.fences.get(term.domain, 0) >= term.fence


def _rank(holder: Holder) -> tuple[str, str]:
    return holder.host, holder.incarnation
