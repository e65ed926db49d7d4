"""Clearance of a leader's jobs by the other leaders, which each job needs before its first start."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from fireflybridge_clearances._holdings import (
    Answered,
    Held,
    Holding,
    LeaderReport,
    MayRun,
    NotHeld,
)
from fireflybridge_jobs import merge_fences
from fireflybridge_leadership import Holder, Notifier, Term

# A leader that has ended leaves runs whose lease lasts 0.62 s; another one lists them by then.
UNREACHABLE_S = 0.7


@dataclass(frozen=True, slots=True)
class _Clearance:
    """The failure domains whose leaders have cleared a job, with the fencing tokens of their terms.

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


class JobClearances:
    """Tell whether every other leader has cleared a job for this one.

    A caller may send a job to the leaders of several failure domains. Each asks all others before
    the first start, and once more when a failure domain has got another leader. Of two leaders with
    terms in the log, at least the one with the later term knows the other, and its question names
    its terms, so one of them learns of the other's job. A leader that hasn't replied for ``UNREACHABLE_S`` is passed
    over, so that a failure domain that is cut off goes on serving.
    """

    def __init__(self, holder: Holder, find_terms: Callable[[], Iterable[Term]]) -> None:
        """Set this host's identity, and how to find the newest known terms of all leaders."""
        self.asked = Notifier()
        """Notified when there is a job to ask for."""
        self._holder = holder
        self._find_terms = find_terms
        self._jobs: dict[str, _Clearance] = {}
        self._unsettled: dict[str, None] = {}
        """The jobs that a leader has not cleared under the terms in ``_settled_terms``."""
        self._settled_terms: list[Term] = []
        self._silent_since_s: dict[Holder, float] = {}

    def open(self, job: str) -> None:
        """Begin to ask the other leaders about a job."""
        self._jobs[job] = _Clearance(opened_s=time.monotonic())
        self._unsettled[job] = None
        self.asked.notify()

    def close(self, job: str) -> None:
        """Forget a job that has ended."""
        self._jobs.pop(job, None)
        self._unsettled.pop(job, None)

    def is_cleared(self, job: str) -> bool:
        """Return whether every other leader has cleared a job, or is out of reach."""
        terms = self._list_other_terms()
        if not terms:
            return True
        clearance = self._jobs.get(job, _Clearance())
        return self.find_holder(job) is None and all(
            _covers(clearance, term) or self._is_unreachable(term.holder) for term in terms
        )

    def rules_out_runs(self, job: str, domain: str, fence: int) -> bool:
        """Return whether no run of a job is alive in a failure domain, by its leader's lists.

        The leader must have got them under a token no lower than ``fence``.
        """
        clearance = self._jobs.get(job, _Clearance())
        return clearance.holder is None and clearance.listed_fences.get(domain, -1) >= fence

    def can_ask(self, domain: str) -> bool:
        """Return whether a failure domain has another leader, which has not been silent for long."""
        return any(
            term.domain == domain and not self._is_unreachable(term.holder)
            for term in self._list_other_terms()
        )

    def find_holder(self, job: str) -> Holder | None:
        """Return the other leader that decides on a job, if this one knows it."""
        holder = self._jobs.get(job, _Clearance()).holder
        if holder is None or holder not in self.list_leaders() or self._is_unreachable(holder):
            return None
        return holder

    def list_open(self, leader: Holder) -> tuple[str, ...]:
        """Return the jobs that another leader has not cleared yet, the newest ones last."""
        self._find_unsettled()
        terms = [term for term in self._settled_terms if term.holder == leader]
        return tuple(
            job
            for job in self._unsettled
            if not all(_covers(self._jobs[job], term) for term in terms)
        )

    def _find_unsettled(self) -> None:
        """Look at every job again if another leader has a new term."""
        terms = self._list_other_terms()
        if terms != self._settled_terms:
            self._settled_terms = terms
            self._unsettled = dict.fromkeys(self._jobs)

    def list_leaders(self) -> frozenset[Holder]:
        """Return the other leaders."""
        return frozenset(term.holder for term in self._list_other_terms())

    def list_unreachable(self) -> tuple[str, ...]:
        """Return the hosts of the leaders that are passed over, since they don't reply."""
        return tuple(leader.host for leader in self.list_leaders() if self._is_unreachable(leader))

    def takes_precedence(self, leader: Holder) -> bool:
        """Return whether this leader takes a job that both have received and neither has begun."""
        return _rank(self._holder) < _rank(leader)

    def defer_job(self, job: str, leader: Holder) -> None:
        """Leave a job to another leader, whose next report says whether it still holds it."""
        clearance = self._jobs[job]
        fences = {
            domain: fence
            for domain, fence in clearance.fences.items()
            if domain not in {t.domain for t in self._list_other_terms() if t.holder == leader}
        }
        deferred_s = {**clearance.deferred_s, leader: time.monotonic()}
        self._jobs[job] = _Clearance(fences, {}, leader, deferred_s, clearance.opened_s)
        self._unsettled[job] = None
        self.asked.notify()

    def note_silence(self, leader: Holder, since_s: float) -> None:
        """Note that another leader hasn't replied to a question sent at a monotonic time."""
        self._silent_since_s.setdefault(leader, since_s)

    def note_contact(self, leader: Holder) -> None:
        """Note that another leader can be reached."""
        self._silent_since_s.pop(leader, None)

    def is_silent(self, leader: Holder) -> bool:
        """Return whether another leader has not replied to the last question."""
        return leader in self._silent_since_s

    def apply_report(self, report: LeaderReport, asked_s: float) -> tuple[str, ...]:
        """Note what another leader has said in reply to a question sent at a monotonic time.

        Return the jobs that the report still concerns.
        """
        self.note_contact(report.leader)
        jobs = tuple(job for job in report.holdings if self._concerns(report, job, asked_s))
        for job in jobs:
            clearance = _apply_holding(self._jobs[job], report, report.holdings[job])
            self._jobs[job] = clearance
            if all(_covers(clearance, term) for term in self._list_other_terms()):
                self._unsettled.pop(job, None)
        return jobs

    def _concerns(self, report: LeaderReport, job: str, asked_s: float) -> bool:
        clearance = self._jobs.get(job)
        return clearance is not None and asked_s > max(
            clearance.opened_s, clearance.deferred_s.get(report.leader, 0.0)
        )

    def _list_other_terms(self) -> list[Term]:
        return [term for term in self._find_terms() if term.holder != self._holder]

    def _is_unreachable(self, leader: Holder) -> bool:
        silent_since_s = self._silent_since_s.get(leader)
        return silent_since_s is not None and time.monotonic() >= silent_since_s + UNREACHABLE_S


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
