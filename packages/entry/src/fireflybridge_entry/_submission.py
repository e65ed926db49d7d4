"""Submission of a job to the leader of the host's failure domain, repeated if it changes."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from itertools import count

import anyio

from fireflybridge_entry._codec import CodecError, Submission, decode_answer, encode_submission
from fireflybridge_entry._job_scheduler import JobScheduler
from fireflybridge_entry._leader_contacts import LeaderContacts
from fireflybridge_http import ConnectionPool, ExchangeError
from fireflybridge_jobs import (
    Answer,
    EarlierRuns,
    Job,
    JobSender,
    Moved,
    NotRun,
    RefusalReason,
    TimedOut,
    merge_fences,
)
from fireflybridge_leadership import Notifier
from fireflybridge_pauses import PauseMonitor
from fireflybridge_placement import RETRY_AFTER_S, compute_critical_path_ms, compute_objective_ms

MAX_IDLE_CONNECTIONS = 32
LEADER_WAIT_SHARE = 0.24  # share of its latency objective that a job may wait for a leader
ANSWER_MARGIN_S = 0.1  # the leader may answer at the deadline; the answer has to arrive
HAND_OVER_ANSWER_TIMEOUT_S = 0.1  # a leader that hands over reports the runs immediately


@dataclass(frozen=True, slots=True)
class LocalLeader:
    """The leader is this host."""


@dataclass(frozen=True, slots=True)
class RemoteLeader:
    """The leader is another host, which accepts jobs at ``address``.

    It may run them in ``domains``; the value is the newest fencing token known of its term there, 0
    if none is known.
    """

    address: str
    incarnation: str
    domains: Mapping[str, int] = field(compare=False)


Leader = LocalLeader | RemoteLeader | None


@dataclass(frozen=True, slots=True)
class SentSubmission:
    """Describe a submission of a job: the leader's address and newest fencing token, and its number.

    The address is empty, and the others are 0, if this host leads.
    """

    address: str = ""
    fence: int = 0
    number: int = 0


def _ignore_submission(_sent: SentSubmission) -> None:
    """Do nothing."""


class JobSubmitter:
    """Submit jobs to the leader, and resubmit them if the leader changes.

    A job that may have reached a lost leader is resubmitted with what is known of its earlier runs,
    so that the next leader adopts them instead of starting the tasks a second time.

    A submission carries the leader's newest stamp, and waits for a heartbeat's reply if that is old.
    Once this host waits no longer for its answer, heartbeats tell the leader.
    """

    def __init__(
        self,
        host: str,
        scheduler: JobScheduler,
        pauses: PauseMonitor,
        incarnation: str = "",
        contacts: LeaderContacts | None = None,
    ) -> None:
        """Submit without stamps, and regardless of replies, if there are no ``contacts``."""
        self._host = host
        self._incarnation = incarnation
        self._scheduler = scheduler
        self._pauses = pauses
        self._leader: Leader = None
        self._contacts = contacts
        self._changed = Notifier() if contacts is None else contacts.changed
        self._numbers = count(1)
        self._pools: dict[str, ConnectionPool] = {}
        self._exchanges: dict[anyio.CancelScope, RemoteLeader] = {}

    def set_leader(self, leader: Leader) -> None:
        """Submit to this leader from now on, and cancel exchanges with the previous one.

        Exchanges with a lost leader are cancelled immediately. A leader that hands over gets time
        to answer: its answers name the upstreams that run the jobs, so that the next leader doesn't
        have to wait to find them. It gets as long as it may take the submissions.
        """
        if leader == self._leader:
            if isinstance(leader, RemoteLeader):
                self.renew_leader(leader)
            return
        self._leader = leader
        now_s = anyio.current_time()
        for scope, sent_to in self._exchanges.items():
            timeout_s = 0.0 if leader is None else self._compute_answer_timeout(sent_to)
            scope.deadline = min(scope.deadline, now_s + timeout_s)
        self._changed.notify()

    def _compute_answer_timeout(self, replaced: RemoteLeader) -> float:
        """Return how long a leader that has been replaced may take submissions of this host."""
        if self._contacts is None:
            return HAND_OVER_ANSWER_TIMEOUT_S
        lease_left_s = self._contacts.compute_lease_left(replaced.incarnation)
        return max(HAND_OVER_ANSWER_TIMEOUT_S, lease_left_s)

    def renew_leader(self, leader: RemoteLeader) -> None:
        """Note newer terms of the current leader, or that another host leads in this one's place.

        Should the leader be lost, the jobs sent to it name these terms. Nothing changes while this
        host submits to another leader, or to none since it was lost.
        """
        if isinstance(self._leader, LocalLeader):
            self.set_leader(leader)
        if leader != self._leader:
            return
        self._leader = leader
        for scope, sent_to in self._exchanges.items():
            if sent_to == leader:
                # Runs may outlive a term that the leader no longer holds.
                domains = merge_fences(sent_to.domains, leader.domains)
                self._exchanges[scope] = replace(leader, domains=domains)

    @property
    def has_leader(self) -> bool:
        """Return whether jobs can be submitted now."""
        return self._leader is not None

    async def submit(
        self,
        job: Job,
        sent_after_s: float,
        on_sent: Callable[[SentSubmission], None] = _ignore_submission,
    ) -> Answer:
        """Return the answer to a job that this host has just received.

        ``on_sent`` is called before each submission to a leader.

        Its caller had not sent it before ``sent_after_s`` on the monotonic clock. If this host was
        paused since then, the caller may have left and sent it elsewhere, so it isn't submitted.
        """
        received_s = time.monotonic()
        reading_delay_s = self._pauses.compute_reading_delay()
        deadline_s = received_s + min(job.wait_ms, job.policy.timeout_ms) / 1000
        leader_wait_s = (
            LEADER_WAIT_SHARE * compute_objective_ms(job, compute_critical_path_ms(job)) / 1000
        )
        earlier: EarlierRuns | None = None
        while time.monotonic() < deadline_s:
            leader = await self._wait_for_leader(leader_wait_s, deadline_s)
            if not self._pauses.is_current(sent_after_s):
                return _give_up(earlier, RefusalReason.PAUSED, "this host was paused")
            match leader:
                case None:
                    break
                case LocalLeader():
                    age_s = time.monotonic() - received_s
                    sender = JobSender(max_age_s=_add_delay(age_s, reading_delay_s))
                    on_sent(SentSubmission())
                    answer = await self._scheduler.submit(job, age_s, earlier, sender)
                    if not isinstance(answer, Moved):
                        return answer
                    earlier = answer.earlier
                case RemoteLeader():
                    age_s = time.monotonic() - received_s
                    max_age_s = _add_delay(age_s, reading_delay_s)
                    submission = self._make_submission(leader, job, age_s, max_age_s, earlier)
                    fence = max(leader.domains.values(), default=0)
                    on_sent(SentSubmission(leader.address, fence, submission.number))
                    reply = await self._exchange(leader, submission, deadline_s)
                    match reply:
                        case Moved(earlier=earlier):
                            pass
                        case _Unsent():
                            pass
                        case _:
                            return reply
            await self._wait_for_change(leader)
        return _give_up(earlier, RefusalReason.NO_LEADER, "no leader took the job in time")

    def _make_submission(
        self,
        leader: RemoteLeader,
        job: Job,
        age_s: float,
        max_age_s: float | None,
        earlier: EarlierRuns | None,
    ) -> Submission:
        stamp = None if self._contacts is None else self._contacts.find_stamp(leader.incarnation)
        number = next(self._numbers)
        return Submission(
            self._host,
            job,
            age_s * 1000,
            earlier,
            self._incarnation,
            number,
            stamp,
            None if max_age_s is None else max_age_s * 1000,
        )

    async def _wait_for_leader(self, wait_s: float, deadline_s: float) -> Leader:
        """Return a leader that replies, or None if there is none for ``wait_s``.

        A leader that hasn't replied lately is either about to, or about to be lost.
        """
        lost_s = time.monotonic()
        while True:
            leader = self._leader
            match leader:
                case None:
                    limit_s = min(lost_s + wait_s, deadline_s)
                case RemoteLeader() if not self._is_in_contact(leader):
                    limit_s = deadline_s
                case _:
                    return leader
            left_s = limit_s - time.monotonic()
            if left_s <= 0:
                return None
            await self._changed.wait(left_s)
            if leader is not None:
                lost_s = time.monotonic()

    def _is_in_contact(self, leader: RemoteLeader) -> bool:
        return self._contacts is None or self._contacts.is_fresh(leader.incarnation)

    async def _wait_for_change(self, leader: Leader) -> None:
        """Wait briefly for the next leader, to avoid submitting to a lost one in a tight loop."""
        if self._leader == leader:
            await self._changed.wait(0.05)

    async def _exchange(
        self, leader: RemoteLeader, submission: Submission, deadline_s: float
    ) -> "Answer | _Unsent":
        pool = self._get_pool(leader.address)
        timeout_s = max(deadline_s - time.monotonic(), 0) + ANSWER_MARGIN_S
        may_wait = True  # at the leader
        with anyio.CancelScope() as scope:
            self._exchanges[scope] = leader
            try:
                response = await pool.exchange(encode_submission(submission), timeout_s)
                may_wait = False
                return decode_answer(response)
            except ExchangeError as error:
                if not error.may_have_run:
                    may_wait = False
                    return _Unsent()
            except CodecError:
                # A leader of another version may have started the job nevertheless.
                pass
            finally:
                leader = self._exchanges.pop(scope)
                if may_wait and self._contacts is not None:
                    self._contacts.withdraw(leader.incarnation, submission.number)
        return Moved(EarlierRuns(domains=leader.domains).merge(submission.earlier))

    def _get_pool(self, address: str) -> ConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = ConnectionPool(address, MAX_IDLE_CONNECTIONS)
        return pool


def _add_delay(age_s: float, reading_delay_s: float | None) -> float | None:
    """Return the longest time since a caller can have sent a job, None if that isn't known."""
    return None if reading_delay_s is None else age_s + reading_delay_s


def _give_up(earlier: EarlierRuns | None, reason: RefusalReason, detail: str) -> Answer:
    """Return the answer to a job that isn't submitted again; it is only refused if nothing ran."""
    return NotRun(reason, RETRY_AFTER_S) if earlier is None else TimedOut(detail)


@dataclass(frozen=True, slots=True)
class _Unsent:
    """The job wasn't sent to the leader."""
