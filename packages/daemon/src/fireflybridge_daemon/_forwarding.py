"""Forwarding of submissions that only another daemon may start, and fetching of its answers."""

import itertools
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from result import Err, Result

from fireflybridge_core import (
    Answer,
    Cause,
    ExecutionState,
    Failed,
    MayHaveRun,
    Problem,
    Refused,
    Submission,
)
from fireflybridge_daemon._replies import Replies
from fireflybridge_peers import Answer as AnswerMessage
from fireflybridge_peers import Cancel, Fetch, Lost, Message, SendFailure, UnknownPeer
from fireflybridge_telemetry import Event, SpanKind, Tracer, choose_traceparent, log_event

# The executor answers by the submission's deadline; without an answer this much later it is
# considered unreachable.
ANSWER_MARGIN_S = 2.0
DEFAULT_WAIT_S = 60.0
# A new peer's heartbeat may arrive before the host list, read each second, contains its address.
LINK_WAIT_S = 2.0
LINK_POLL_S = 0.05
QUERY_WAIT_S = 2.0
NO_DIGEST = b""


class PeerDirectory(Protocol):
    """Finds peers by incarnation and sends messages to them."""

    def find_peer(self, incarnation: str) -> str | None:
        """Return the name of the peer that runs as this incarnation."""

    def list_peers(self) -> Iterable[str]:
        """Return the names of the live peers."""

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""


class LocalAnswers(Protocol):
    """Answers requests of peers."""

    async def submit_forwarded(self, submission: Submission) -> Answer:
        """Answer a submission that another daemon forwarded."""

    def cancel_local(self, keys: Iterable[str]) -> None:
        """Cancel jobs of this daemon that a caller cancelled at another daemon."""

    async def fetch_local(self, key: str, wait_s: float) -> Answer | None:
        """Return the answer of a submission on this daemon, ``None`` when its key is unknown."""


@dataclass(frozen=True, slots=True)
class Silent:
    """No answer arrived to a request that the peer received or may have received."""


@dataclass(frozen=True, slots=True)
class Unsent:
    """The request was never sent."""


class Forwarding:
    """Send requests to other daemons and wait for their answers."""

    def __init__(
        self, directory: PeerDirectory, replies: Replies, group: TaskGroup, tracer: Tracer
    ) -> None:
        self._directory = directory
        self._replies = replies
        self._group = group
        self._tracer = tracer
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}

    async def forward(self, executor: str, submission: Submission, digest: bytes) -> Answer:
        """Return the executor's answer, or a refusal when it cannot be reached."""
        peer = self._directory.find_peer(executor)
        if peer is None:
            detail = "the daemon that may start this key is gone; an earlier request may have run"
            return Refused(Problem.EXECUTOR_GONE, ExecutionState.MAY_HAVE_RUN, detail)
        limit_s = (submission.deadline_s or DEFAULT_WAIT_S) + ANSWER_MARGIN_S
        span = self._tracer.begin("forward", submission.traceparent, SpanKind.CLIENT)
        forwarded = replace(
            submission, traceparent=choose_traceparent(span, submission.traceparent)
        )
        answer = await self._request(peer, executor, forwarded, digest, limit_s)
        self._tracer.end(span, peer=peer, answer=type(answer).__name__)
        match answer:
            case Silent():
                return fail_with_unknown_outcome(submission, Cause.PEER_LOST, peer)
            case Unsent():
                detail = f"daemon {peer} can't be reached; an earlier request may have run"
                return Refused(Problem.EXECUTOR_UNREACHABLE, ExecutionState.MAY_HAVE_RUN, detail)
            case _:
                return answer

    async def query(self, key: str, wait_s: float) -> Answer:
        """Return the answer that any other daemon has for a key."""
        found: list[Answer] = []
        request = Submission(key, "", "", (), deadline_s=wait_s)
        async with anyio.create_task_group() as group:
            for peer in self._directory.list_peers():
                group.start_soon(self._query_peer, peer, request, found, group.cancel_scope)
        if found:
            return found[0]
        detail = "no daemon that was reached knows this key"
        return Refused(Problem.UNKNOWN_KEY, ExecutionState.MAY_HAVE_RUN, detail)

    def cancel(self, key: str) -> None:
        """Ask every peer to cancel the submission's tasks that have not started.

        A live peer without a link gets the message once it has one: it may be the executor, and
        the caller gets the reply that the cancellation was accepted.
        """
        for peer in self._directory.list_peers():
            self._group.start_soon(self._cancel_at, peer, key)

    def receive(self, message: AnswerMessage) -> None:
        """Pass a peer's answer to the request that waits for it."""
        pending = self._pending.get(message.request_id)
        if pending is not None:
            pending.answer = message.answer
            pending.answered.set()

    def drop_peer(self, lost: Lost) -> None:
        """End the requests that a peer will not answer after its session has ended.

        A request for the incarnation that now runs under the peer's name is sent again, because the
        first message may have been lost with the old session. The executor handles the repeated
        request as a resubmission.
        """
        for request_id, pending in self._pending.items():
            if pending.peer != lost.peer:
                continue
            if pending.executor in ("", lost.incarnation) or isinstance(
                self._resend(request_id, pending), Err
            ):
                pending.answered.set()

    def end_requests_to(self, peer: str) -> None:
        """End the requests to a peer whose heartbeats have stopped.

        A peer that never restarts reports no new incarnation, so callers would otherwise wait for
        the whole time limit.
        """
        for pending in self._pending.values():
            if pending.peer == peer:
                pending.answered.set()

    async def serve(self, peer: str, fetch: Fetch, local: LocalAnswers) -> None:
        """Answer a peer's fetch."""
        answer = await _find_answer(fetch, local)
        if answer is not None:
            self._replies.send(peer, AnswerMessage(fetch.request_id, answer))

    async def _cancel_at(self, peer: str, key: str) -> None:
        match await self._send_when_linked(peer, Cancel((key,))):
            case Err(failure):
                log_event(Event.CANCELLATION_UNSENT, peer=peer, reason=repr(failure))

    async def _query_peer(
        self, peer: str, request: Submission, found: list[Answer], scope: anyio.CancelScope
    ) -> None:
        limit_s = (request.deadline_s or 0.0) + QUERY_WAIT_S
        answer = await self._request(peer, "", request, NO_DIGEST, limit_s)
        match answer:
            case Silent() | Unsent() | Refused(problem=Problem.NOT_FOUND):
                return
            case _:
                found.append(answer)
                scope.cancel()

    async def _request(
        self, peer: str, executor: str, submission: Submission, digest: bytes, limit_s: float
    ) -> Answer | Silent | Unsent:
        request_id = next(self._request_ids)
        pending = _PendingRequest(peer, executor, digest, submission)
        self._pending[request_id] = pending
        try:
            request = Fetch(request_id, digest, submission)
            if isinstance(await self._send_when_linked(peer, request), Err):
                return Unsent()
            with anyio.move_on_after(limit_s):
                await pending.answered.wait()
            return pending.answer or Silent()
        finally:
            del self._pending[request_id]

    async def _send_when_linked(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Send a message to a peer, waiting a limited time for a link to it."""
        with anyio.move_on_after(LINK_WAIT_S):
            while True:
                match self._directory.send(peer, message):
                    case Err(UnknownPeer()):
                        await anyio.sleep(LINK_POLL_S)
                    case sent:
                        return sent
        return Err(UnknownPeer(peer))

    def _resend(self, request_id: int, pending: "_PendingRequest") -> Result[None, SendFailure]:
        fetch = Fetch(request_id, pending.digest, pending.submission)
        return self._directory.send(pending.peer, fetch)


class _PendingRequest:
    """Request that waits for a peer's answer.

    ``executor`` is the only incarnation that can answer; it is empty if any peer can.
    """

    def __init__(self, peer: str, executor: str, digest: bytes, submission: Submission) -> None:
        self.peer = peer
        self.executor = executor
        self.digest = digest
        self.submission = submission
        self.answered = anyio.Event()
        self.answer: Answer | None = None


def fail_with_unknown_outcome(submission: Submission, cause: Cause, peer: str) -> Failed:
    """Return the answer to a submission that was sent to a peer and whose outcome is unknown.

    It is not a refusal, because the peer may have started the tasks.
    """
    return Failed(tuple(MayHaveRun(cause, peer) for _ in submission.payloads))


async def _find_answer(fetch: Fetch, local: LocalAnswers) -> Answer | None:
    if fetch.digest != NO_DIGEST:
        return await local.submit_forwarded(fetch.submission)
    answer = await local.fetch_local(fetch.submission.key, fetch.submission.deadline_s or 0.0)
    return answer or Refused(Problem.NOT_FOUND, ExecutionState.MAY_HAVE_RUN, "no record here")
