"""Requests of other hosts: heartbeats, and submissions of jobs while this host leads."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

import anyio

from fireflybridge_entry._codec import (
    HEARTBEAT_PATH,
    SUBMIT_PATH,
    TERMS_PATH,
    CodecError,
    Heartbeat,
    HeartbeatReply,
    Peer,
    Submission,
    decode_heartbeat,
    decode_submission,
    decode_terms,
    encode_answer,
    encode_heartbeat_reply,
)
from fireflybridge_entry._job_scheduler import JobScheduler
from fireflybridge_entry._leader_monitor import PEER_TIMEOUT_S
from fireflybridge_entry._question_codec import (
    QUESTION_PATH,
    QuestionReply,
    decode_question,
    encode_question_reply,
)
from fireflybridge_entry._sender_leases import Sender, SenderLeases
from fireflybridge_http import Request, Response
from fireflybridge_jobs import Answer, JobSender, Moved, TimedOut
from fireflybridge_leadership import Leadership
from fireflybridge_pauses import PauseMonitor, WaitingClock
from fireflybridge_placement import CrashHistory

PEER_CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class _ReceivedHeartbeat:
    """Hold a sender of heartbeats and the time on the service's clock when it was heard from."""

    sender: Peer
    received_s: float


@dataclass(frozen=True, slots=True)
class LateSubmission:
    """A submission that wasn't taken; ``stamp_age_ms`` is None if its sender returned no stamp."""

    job: str
    sender: str
    number: int
    stamp_age_ms: float | None


def _ignore_late(_late: LateSubmission) -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class _Wait:
    """A submission whose sender waits for the answer, and the scope that ends the wait."""

    number: int
    scope: anyio.CancelScope


class PeerService:
    """Handle the requests of other hosts.

    The jobs of a host whose heartbeats have stopped, or that gets no replies to them, are cancelled:
    it can't receive their answers, and their callers may submit them to another host. It may have
    been paused, so a job that it sends is only taken once its heartbeats have come again. A job that
    its sender has withdrawn, or has sent too long ago to be known to wait, isn't taken.
    """

    def __init__(
        self,
        host: Peer,
        scheduler: JobScheduler,
        leadership: Leadership,
        pauses: PauseMonitor,
        crashes: CrashHistory | None = None,
        on_late: Callable[[LateSubmission], None] = _ignore_late,
    ) -> None:
        """Call ``on_late`` with each submission that isn't taken while this host leads."""
        self._on_late = on_late
        self._host = host
        self._pauses = pauses
        self._scheduler = scheduler
        self._leadership = leadership
        self._crashes = CrashHistory() if crashes is None else crashes
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}
        self._silent: set[str] = set()
        """Hosts whose heartbeats have stopped."""
        self._leases = SenderLeases(host.holder.incarnation)
        self._waits: dict[Sender, set[_Wait]] = {}
        self._clock = WaitingClock()

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        match (request.method, request.path):
            case ("POST", path) if path == HEARTBEAT_PATH:
                return self._handle_heartbeat(request)
            case ("POST", path) if path == SUBMIT_PATH:
                return await self._handle_submission(request)
            case ("POST", path) if path == TERMS_PATH:
                return self._handle_terms(request)
            case ("POST", path) if path == QUESTION_PATH:
                return self._handle_question(request)
            case _:
                return Response(404)

    async def watch_senders(self) -> None:
        """Cancel the jobs of hosts whose heartbeats have stopped; run until cancelled."""
        while True:
            with self._clock.count(PEER_CHECK_INTERVAL_S):
                await anyio.sleep(PEER_CHECK_INTERVAL_S)
            oldest_s = self._clock.now_s - PEER_TIMEOUT_S
            for host in [
                host
                for host, heartbeat in self._heartbeats.items()
                if heartbeat.received_s < oldest_s
            ]:
                del self._heartbeats[host]
                self._silent.add(host)
                self._cancel_jobs(host)

    def _cancel_jobs(self, host: str, current: str = "") -> None:
        """Cancel the jobs of a host's processes, but for those of its current one, if it has one."""
        self._leases.forget(host, current)
        for sender, waits in self._waits.items():
            if sender.host == host and not (current and sender.incarnation == current):
                for wait in waits:
                    wait.scope.cancel()

    def _end_withdrawn(self, sender: Sender, submissions: Collection[int]) -> None:
        """End the waits of submissions that a sender has withdrawn, and take none of them later."""
        self._leases.withdraw(sender, submissions)
        for wait in self._waits.get(sender, ()):
            if wait.number in submissions:
                wait.scope.cancel()

    def find_strongest(self, domains: Collection[str]) -> Peer | None:
        """Return the strongest host of failure domains that sends heartbeats and isn't draining."""
        peers = (heartbeat.sender for heartbeat in self._heartbeats.values())
        candidates = (
            peer for peer in peers if peer.failure_domain in domains and not peer.draining
        )
        return max(candidates, key=lambda peer: peer.strength, default=None)

    def _handle_heartbeat(self, request: Request) -> Response:
        try:
            heartbeat = decode_heartbeat(request.body)
        except CodecError:
            return Response(400)
        self._hear_from(heartbeat)
        sender = heartbeat.sender
        peers = tuple(
            heartbeat.sender
            for heartbeat in self._heartbeats.values()
            if heartbeat.sender.failure_domain == sender.failure_domain
        )
        terms = tuple(self._leadership.terms.values())
        crashes = self._crashes.list_recent()
        stamp = self._leases.make_stamp()
        return encode_heartbeat_reply(HeartbeatReply(self._host, terms, peers, crashes, stamp))

    def _hear_from(self, heartbeat: Heartbeat) -> None:
        """Note that a host sends heartbeats, and that it gets the replies if it returns stamps."""
        holder = heartbeat.sender.holder
        sender = Sender(holder.host, holder.incarnation)
        last = self._heartbeats.get(holder.host)
        if last is not None and last.sender.holder.incarnation != holder.incarnation:
            # Nobody waits for the jobs of a process that has ended.
            self._cancel_jobs(holder.host, holder.incarnation)
        self._end_withdrawn(sender, heartbeat.withdrawn)
        if self._leases.renew(sender, heartbeat.stamp):
            self._silent.discard(holder.host)
            self._heartbeats[holder.host] = _ReceivedHeartbeat(heartbeat.sender, self._clock.now_s)

    def _note_contact(self, sender: Sender) -> None:
        """Note that a host, whose heartbeats are known, is heard from by another message."""
        last = self._heartbeats.get(sender.host)
        if last is not None and last.sender.holder.incarnation == sender.incarnation:
            self._heartbeats[sender.host] = replace(last, received_s=self._clock.now_s)

    def _handle_terms(self, request: Request) -> Response:
        try:
            self._leadership.add_terms(decode_terms(request.body))
        except CodecError:
            return Response(400)
        return Response(200)

    def _handle_question(self, request: Request) -> Response:
        """Answer another leader, whose terms this host may not have read in the log yet."""
        try:
            question = decode_question(request.body)
        except CodecError:
            return Response(400)
        self._leadership.add_terms(question.terms)
        report = self._scheduler.answer_questions(
            self._host.holder, question.asker, question.jobs, question.taken_since
        )
        terms = tuple(
            term
            for term in self._leadership.terms.values()
            if term.fence > question.known.get(term.domain, 0)
        )
        return encode_question_reply(QuestionReply(terms, report))

    def _may_take(self, sender: Sender, submission: Submission, request: Request) -> bool:
        """Return whether this host leads and the sender still waits for the answer."""
        stamp = submission.stamp
        return (
            bool(self._leadership.find_terms_held_by(self._host.holder))
            and submission.sender not in self._silent
            and (stamp is None or self._leases.is_valid(stamp))
            and not self._leases.is_withdrawn(sender, submission.number)
            and self._pauses.is_current(request.sent_after_s)
        )

    async def _handle_submission(self, request: Request) -> Response:
        try:
            submission = decode_submission(request.body)
        except CodecError:
            return Response(400)
        sender = Sender(submission.sender, submission.incarnation)
        if not self._may_take(sender, submission, request):
            self._report_late(submission)
            return encode_answer(Moved(submission.earlier))
        if submission.stamp is not None and self._leases.renew(sender, submission.stamp):
            self._note_contact(sender)
        return encode_answer(await self._wait_for_answer(sender, submission))

    def _report_late(self, submission: Submission) -> None:
        if self._leadership.find_terms_held_by(self._host.holder):
            age_ms = self._compute_stamp_age_ms(submission)
            late = LateSubmission(submission.job.id, submission.sender, submission.number, age_ms)
            self._on_late(late)

    def _compute_stamp_age_ms(self, submission: Submission) -> float | None:
        stamp = submission.stamp
        return None if stamp is None else self._leases.compute_age(stamp) * 1000

    async def _wait_for_answer(self, sender: Sender, submission: Submission) -> Answer:
        """Return the answer to a job, unless its sender leaves before."""
        answer: Answer = TimedOut("the entry host left")
        waits = self._waits.setdefault(sender, set())
        with anyio.CancelScope() as scope:
            wait = _Wait(submission.number, scope)
            waits.add(wait)
            try:
                answer = await self._scheduler.submit(
                    submission.job,
                    submission.age_ms / 1000,
                    submission.earlier,
                    self._describe_sender(sender, submission, scope),
                )
            finally:
                waits.discard(wait)
                if not waits:
                    self._waits.pop(sender, None)
        return answer

    def _describe_sender(
        self, sender: Sender, submission: Submission, scope: anyio.CancelScope
    ) -> JobSender:
        return JobSender(
            sender.host,
            submission.number,
            self._compute_stamp_age_ms(submission),
            lambda: not scope.cancel_called and self._leases.holds(sender),
            self._compute_max_age(submission),
        )

    def _compute_max_age(self, submission: Submission) -> float | None:
        """Return the longest time in seconds since the caller can have sent a job, if it is known.

        The submission was sent after the stamp in it was made.
        """
        if submission.max_age_ms is None or submission.stamp is None:
            return None
        return submission.max_age_ms / 1000 + self._leases.compute_age(submission.stamp)
