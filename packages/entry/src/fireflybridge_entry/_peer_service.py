"""Requests of other hosts: heartbeats, and submissions of jobs while this host leads."""

from collections.abc import Collection
from dataclasses import dataclass

import anyio

from fireflybridge_entry._codec import (
    HEARTBEAT_PATH,
    SUBMIT_PATH,
    TERMS_PATH,
    CodecError,
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
from fireflybridge_http import Request, Response
from fireflybridge_jobs import Answer, Moved, TimedOut
from fireflybridge_leadership import Leadership
from fireflybridge_pauses import PauseMonitor, WaitingClock
from fireflybridge_placement import CrashHistory

PEER_CHECK_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class _ReceivedHeartbeat:
    """Hold a sender of heartbeats and the time on the service's clock when its newest one arrived."""

    sender: Peer
    received_s: float


@dataclass(frozen=True, slots=True)
class _Sender:
    """Identify the process that has submitted a job; hosts of earlier releases name no incarnation."""

    host: str
    incarnation: str


class PeerService:
    """Handle the requests of other hosts.

    The jobs of a host whose heartbeats have stopped are cancelled: it can't receive their answers,
    and their callers may submit them to another host. It may have been paused, so a job that it sends
    is only taken once its heartbeats have come again.
    """

    def __init__(
        self,
        host: Peer,
        scheduler: JobScheduler,
        leadership: Leadership,
        pauses: PauseMonitor,
        crashes: CrashHistory | None = None,
    ) -> None:
        self._host = host
        self._pauses = pauses
        self._scheduler = scheduler
        self._leadership = leadership
        self._crashes = CrashHistory() if crashes is None else crashes
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}
        self._silent: set[str] = set()
        """Hosts whose heartbeats have stopped."""
        self._cancel_scopes: dict[_Sender, set[anyio.CancelScope]] = {}
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
        for sender, scopes in self._cancel_scopes.items():
            if sender.host == host and not (current and sender.incarnation == current):
                for scope in scopes:
                    scope.cancel()

    def find_strongest(self, domains: Collection[str]) -> Peer | None:
        """Return the strongest host of failure domains that sends heartbeats and isn't draining."""
        peers = (heartbeat.sender for heartbeat in self._heartbeats.values())
        candidates = (
            peer for peer in peers if peer.failure_domain in domains and not peer.draining
        )
        return max(candidates, key=lambda peer: peer.strength, default=None)

    def _handle_heartbeat(self, request: Request) -> Response:
        try:
            sender = decode_heartbeat(request.body)
        except CodecError:
            return Response(400)
        host = sender.holder.host
        self._silent.discard(host)
        last = self._heartbeats.get(host)
        if last is not None and last.sender.holder.incarnation != sender.holder.incarnation:
            # Nobody waits for the jobs of a process that has ended.
            self._cancel_jobs(host, sender.holder.incarnation)
        self._heartbeats[host] = _ReceivedHeartbeat(sender, self._clock.now_s)
        peers = tuple(
            heartbeat.sender
            for heartbeat in self._heartbeats.values()
            if heartbeat.sender.failure_domain == sender.failure_domain
        )
        terms = tuple(self._leadership.terms.values())
        crashes = self._crashes.list_recent()
        return encode_heartbeat_reply(HeartbeatReply(self._host, terms, peers, crashes))

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
        report = self._scheduler.describe_jobs(self._host.holder, question.asker, question.jobs)
        terms = tuple(self._leadership.terms.values())
        return encode_question_reply(QuestionReply(terms, report))

    def _may_take(self, submission: Submission, request: Request) -> bool:
        """Return whether this host leads and the sender still waits for the answer."""
        return (
            bool(self._leadership.find_terms_held_by(self._host.holder))
            and submission.sender not in self._silent
            and self._pauses.is_current(request.sent_after_s)
        )

    async def _handle_submission(self, request: Request) -> Response:
        try:
            submission = decode_submission(request.body)
        except CodecError:
            return Response(400)
        if not self._may_take(submission, request):
            return encode_answer(Moved(submission.earlier))
        answer: Answer = TimedOut("the entry host fell silent")
        sender = _Sender(submission.sender, submission.incarnation)
        scopes = self._cancel_scopes.setdefault(sender, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                answer = await self._scheduler.submit(
                    submission.job, submission.age_ms / 1000, submission.earlier
                )
            finally:
                scopes.discard(scope)
                if not scopes:
                    self._cancel_scopes.pop(sender, None)
        return encode_answer(answer)
