"""Submissions that only another daemon may start, and answers that it holds."""

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
    Failed,
    MayHaveRun,
    Problem,
    Ran,
    Refused,
    Submission,
)
from fireflybridge_daemon._replies import Replies
from fireflybridge_peers import Answer as AnswerMessage
from fireflybridge_peers import Cancel, Fetch, Lost, Message, SendFailure, UnknownPeer
from fireflybridge_telemetry import Event, SpanKind, Tracer, choose_traceparent, log_event

# The executor answers at the submission's deadline; this much later it counts as unreachable.
ANSWER_MARGIN_S = 2.0
DEFAULT_WAIT_S = 60.0
# A new peer may be heard before the host list, read each second, tells its address.
LINK_WAIT_S = 2.0
LINK_POLL_S = 0.05
QUERY_WAIT_S = 2.0
NO_DIGEST = b""


class PeerDirectory(Protocol):
    """Find peers by incarnation and send messages to them."""

    def find_peer(self, incarnation: str) -> str | None:
        """Return the name of the peer that runs as this incarnation."""

    def list_peers(self) -> Iterable[str]:
        """Return the names of the peers that are heard."""

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""


class LocalAnswers(Protocol):
    """Answer what peers ask."""

    async def submit_forwarded(self, submission: Submission) -> Answer:
        """Answer a submission that another daemon forwarded."""

    def cancel_local(self, keys: Iterable[str]) -> None:
        """Cancel the jobs here that a caller cancelled at another daemon."""

    async def fetch_local(self, key: str, wait_s: float) -> Answer | None:
        """Return the answer of a submission here, ``None`` when it is unknown."""


@dataclass(frozen=True, slots=True)
class Silent:
    """State that a peer got a question, or may have, and gave no answer."""


@dataclass(frozen=True, slots=True)
class Unsent:
    """State that a question never left this daemon."""


class Forwarding:
    """Own the requests that wait for another daemon's answer."""

    def __init__(
        self, directory: PeerDirectory, replies: Replies, group: TaskGroup, tracer: Tracer
    ) -> None:
        self._directory = directory
        self._replies = replies
        self._group = group
        self._tracer = tracer
        self._requests = itertools.count(1)
        self._waiting: dict[int, _Waiter] = {}

    async def forward(self, executor: str, submission: Submission, digest: bytes) -> Answer:
        """Return the executor's answer, or a refusal when it can't be reached."""
        peer = self._directory.find_peer(executor)
        if peer is None:
            detail = "the daemon that may start this key is gone; an earlier request may have run"
            return Refused(Problem.EXECUTOR_GONE, Ran.MAY_HAVE_RUN, detail)
        limit_s = (submission.deadline_s or DEFAULT_WAIT_S) + ANSWER_MARGIN_S
        span = self._tracer.begin("forward", submission.traceparent, SpanKind.CLIENT)
        forwarded = replace(
            submission, traceparent=choose_traceparent(span, submission.traceparent)
        )
        answer = await self._ask(peer, executor, forwarded, digest, limit_s)
        self._tracer.end(span, peer=peer, answer=type(answer).__name__)
        match answer:
            case Silent():
                return fail_unknown(submission, Cause.PEER_LOST, peer)
            case Unsent():
                detail = f"daemon {peer} can't be reached; an earlier request may have run"
                return Refused(Problem.EXECUTOR_UNREACHABLE, Ran.MAY_HAVE_RUN, detail)
            case _:
                return answer

    async def query(self, key: str, wait_s: float) -> Answer:
        """Return the answer that some other daemon holds for a key."""
        found: list[Answer] = []
        question = Submission(key, "", "", (), deadline_s=wait_s)
        async with anyio.create_task_group() as group:
            for peer in self._directory.list_peers():
                group.start_soon(self._query_peer, peer, question, found, group.cancel_scope)
        if found:
            return found[0]
        detail = "no daemon that was reached knows this key"
        return Refused(Problem.UNKNOWN_KEY, Ran.MAY_HAVE_RUN, detail)

    def cancel(self, key: str) -> None:
        """Ask every peer to drop the submission's tasks that have not started.

        A peer that is heard and has no link yet gets the request once it has one: its daemon may
        be the executor, whose caller is told that the cancellation was taken.
        """
        for peer in self._directory.list_peers():
            self._group.start_soon(self._cancel_at, peer, key)

    def receive(self, message: AnswerMessage) -> None:
        """Hand a peer's answer to the request that waits for it."""
        waiter = self._waiting.get(message.request_id)
        if waiter is not None:
            waiter.answer = message.answer
            waiter.answered.set()

    def drop_peer(self, lost: Lost) -> None:
        """Settle the requests that a vanished incarnation of a peer will not answer.

        A question for the incarnation that now runs under the name is asked again: it may have
        gone to the old session. The executor answers a repeated question like a resubmission.
        """
        for request_id, waiter in self._waiting.items():
            if waiter.peer != lost.peer:
                continue
            if waiter.executor in ("", lost.incarnation) or isinstance(
                self._send(request_id, waiter), Err
            ):
                waiter.answered.set()

    def drop_silent(self, peer: str) -> None:
        """Wake the requests to a peer that is no longer heard.

        A peer that died for good never reports a new incarnation, and its callers would wait for
        the whole limit.
        """
        for waiter in self._waiting.values():
            if waiter.peer == peer:
                waiter.answered.set()

    async def serve(self, peer: str, fetch: Fetch, local: LocalAnswers) -> None:
        """Answer a peer's fetch."""
        answer = await _find_answer(fetch, local)
        if answer is not None:
            self._replies.send(peer, AnswerMessage(fetch.request_id, answer))

    async def _cancel_at(self, peer: str, key: str) -> None:
        match await self._send_linked(peer, Cancel((key,))):
            case Err(failure):
                log_event(Event.CANCELLATION_UNSENT, peer=peer, reason=repr(failure))

    async def _query_peer(
        self, peer: str, question: Submission, found: list[Answer], scope: anyio.CancelScope
    ) -> None:
        limit_s = (question.deadline_s or 0.0) + QUERY_WAIT_S
        answer = await self._ask(peer, "", question, NO_DIGEST, limit_s)
        match answer:
            case Silent() | Unsent() | Refused(problem=Problem.NOT_FOUND):
                return
            case _:
                found.append(answer)
                scope.cancel()

    async def _ask(
        self, peer: str, executor: str, submission: Submission, digest: bytes, limit_s: float
    ) -> Answer | Silent | Unsent:
        request_id = next(self._requests)
        waiter = _Waiter(peer, executor, digest, submission)
        self._waiting[request_id] = waiter
        try:
            question = Fetch(request_id, digest, submission)
            if isinstance(await self._send_linked(peer, question), Err):
                return Unsent()
            with anyio.move_on_after(limit_s):
                await waiter.answered.wait()
            return waiter.answer or Silent()
        finally:
            del self._waiting[request_id]

    async def _send_linked(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Send a message once there is a link to the peer, which may be heard before."""
        with anyio.move_on_after(LINK_WAIT_S):
            while True:
                match self._directory.send(peer, message):
                    case Err(UnknownPeer()):
                        await anyio.sleep(LINK_POLL_S)
                    case sent:
                        return sent
        return Err(UnknownPeer(peer))

    def _send(self, request_id: int, waiter: "_Waiter") -> Result[None, SendFailure]:
        fetch = Fetch(request_id, waiter.digest, waiter.submission)
        return self._directory.send(waiter.peer, fetch)


class _Waiter:
    """Hold a request until the peer's answer arrives.

    ``executor`` is the only incarnation that can answer, or empty.
    """

    def __init__(self, peer: str, executor: str, digest: bytes, submission: Submission) -> None:
        self.peer = peer
        self.executor = executor
        self.digest = digest
        self.submission = submission
        self.answered = anyio.Event()
        self.answer: Answer | None = None


def fail_unknown(submission: Submission, cause: Cause, peer: str) -> Failed:
    """Return the answer to a submission that was handed to a peer and has no known outcome.

    It is no refusal: the request itself may have started the tasks.
    """
    return Failed(tuple(MayHaveRun(cause, peer) for _ in submission.payloads))


async def _find_answer(fetch: Fetch, local: LocalAnswers) -> Answer | None:
    if fetch.digest != NO_DIGEST:
        return await local.submit_forwarded(fetch.submission)
    answer = await local.fetch_local(fetch.submission.key, fetch.submission.deadline_s or 0.0)
    return answer or Refused(Problem.NOT_FOUND, Ran.MAY_HAVE_RUN, "no record here")
