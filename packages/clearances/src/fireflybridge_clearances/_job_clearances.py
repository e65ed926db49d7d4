"""Clearance of a leader's jobs by the other leaders, which each job needs before its first start."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from fireflybridge_clearances._holdings import Held, Holding, LeaderReport, NotHeld
from fireflybridge_leadership import Holder, Notifier, Term

# A leader that has ended leaves runs whose lease lasts 0.62 s; another one lists them by then.
UNREACHABLE_S = 0.7


@dataclass(frozen=True, slots=True)
class _Clearance:
    """The failure domains whose leaders have cleared a job, with the fencing tokens of their terms.

    ``holder`` is another leader that decides on the job. ``yielded_s`` is when this leader has left
    the job to one that asked; what that one had said before then doesn't count any more.
    """

    fences: Mapping[str, int] = field(default_factory=dict)
    holder: Holder | None = None
    yielded_s: Mapping[Holder, float] = field(default_factory=dict)


class JobClearances:
    """Tell whether every other leader has cleared a job for this one.

    A caller may send a job to the leaders of several failure domains. Each asks all others before
    the first start, and once more when a failure domain has got another leader. Of two leaders, at
    least the one with the later term knows the other, and its question names its terms, so one of
    them learns of the other's job. A leader that hasn't replied for ``UNREACHABLE_S`` is passed
    over, so that a failure domain that is cut off goes on serving.
    """

    def __init__(self, holder: Holder, find_terms: Callable[[], Iterable[Term]]) -> None:
        """Set this host's identity, and how to find the newest known terms of all leaders."""
        self.asked = Notifier()
        """Notified when there is a job to ask for."""
        self._holder = holder
        self._find_terms = find_terms
        self._jobs: dict[str, _Clearance] = {}
        self._silent_since_s: dict[Holder, float] = {}

    def open(self, job: str) -> None:
        """Begin to ask the other leaders about a job."""
        self._jobs[job] = _Clearance()
        self.asked.notify()

    def close(self, job: str) -> None:
        """Forget a job that has ended."""
        self._jobs.pop(job, None)

    def is_cleared(self, job: str) -> bool:
        """Return whether every other leader has cleared a job, or is out of reach."""
        terms = self._list_other_terms()
        if not terms:
            return True
        clearance = self._jobs.get(job, _Clearance())
        return self.find_holder(job) is None and all(
            _covers(clearance, term) or self._is_unreachable(term.holder) for term in terms
        )

    def find_holder(self, job: str) -> Holder | None:
        """Return the other leader that decides on a job, if this one knows it."""
        holder = self._jobs.get(job, _Clearance()).holder
        if holder is None or holder not in self.list_leaders() or self._is_unreachable(holder):
            return None
        return holder

    def list_open(self, leader: Holder) -> tuple[str, ...]:
        """Return the jobs that another leader has not cleared yet."""
        terms = [term for term in self._list_other_terms() if term.holder == leader]
        return tuple(
            job
            for job, clearance in self._jobs.items()
            if not all(_covers(clearance, term) for term in terms)
        )

    def list_leaders(self) -> frozenset[Holder]:
        """Return the other leaders."""
        return frozenset(term.holder for term in self._list_other_terms())

    def list_unreachable(self) -> tuple[str, ...]:
        """Return the hosts of the leaders that are passed over, since they don't reply."""
        return tuple(leader.host for leader in self.list_leaders() if self._is_unreachable(leader))

    def takes_precedence(self, leader: Holder) -> bool:
        """Return whether this leader takes a job that both have received and neither has begun."""
        return _rank(self._holder) < _rank(leader)

    def yield_job(self, job: str, leader: Holder) -> None:
        """Leave a job to another leader, whose next report says whether it still holds it."""
        clearance = self._jobs[job]
        fences = {
            domain: fence
            for domain, fence in clearance.fences.items()
            if domain not in {t.domain for t in self._list_other_terms() if t.holder == leader}
        }
        yielded_s = {**clearance.yielded_s, leader: time.monotonic()}
        self._jobs[job] = _Clearance(fences, leader, yielded_s)
        self.asked.notify()

    def note_silence(self, leader: Holder) -> None:
        """Note that another leader hasn't replied."""
        self._silent_since_s.setdefault(leader, time.monotonic())

    def note_contact(self, leader: Holder) -> None:
        """Note that another leader can be reached."""
        self._silent_since_s.pop(leader, None)

    def is_silent(self, leader: Holder) -> bool:
        """Return whether another leader has not replied to the last question."""
        return leader in self._silent_since_s

    def apply_report(self, report: LeaderReport, asked_s: float) -> None:
        """Note what another leader has said in reply to a question sent at a monotonic time."""
        self.note_contact(report.leader)
        for job, holding in report.holdings.items():
            clearance = self._jobs.get(job)
            if clearance is not None and asked_s > clearance.yielded_s.get(report.leader, 0.0):
                self._jobs[job] = _apply_holding(clearance, report, holding)

    def _list_other_terms(self) -> list[Term]:
        return [term for term in self._find_terms() if term.holder != self._holder]

    def _is_unreachable(self, leader: Holder) -> bool:
        silent_since_s = self._silent_since_s.get(leader)
        return silent_since_s is not None and time.monotonic() > silent_since_s + UNREACHABLE_S


def _apply_holding(clearance: _Clearance, report: LeaderReport, holding: Holding) -> _Clearance:
    holder = None if clearance.holder == report.leader else clearance.holder
    match holding:
        case NotHeld():
            fences = {**clearance.fences, **report.fences}
            return replace(clearance, fences=fences, holder=holder)
        case Held():
            return replace(clearance, holder=report.leader)
        case _:
            return replace(clearance, holder=holder)


def _covers(clearance: _Clearance, term: Term) -> bool:
    return clearance.fences.get(term.domain, 0) >= term.fence


def _rank(holder: Holder) -> tuple[str, str]:
    return holder.host, holder.incarnation
