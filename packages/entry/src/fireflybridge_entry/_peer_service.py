"""What a host answers to the others: heartbeats, and jobs while it leads."""

import time
from collections.abc import Collection
from dataclasses import dataclass

import anyio

from fireflybridge_entry._codec import (
    HEARTBEAT_PATH,
    SUBMIT_PATH,
    CodecError,
    HeartbeatReply,
    Peer,
    decode_heartbeat,
    decode_submission,
    encode_answer,
    encode_heartbeat_reply,
)
from fireflybridge_entry._job_scheduler import JobScheduler
from fireflybridge_entry._link import SILENCE_S
from fireflybridge_http import Request, Response
from fireflybridge_jobs import Answer, Moved, TimedOut
from fireflybridge_leadership import Leadership

PEER_CHECK_S = 0.1


@dataclass(frozen=True, slots=True)
class _Heard:
    """Hold the sender of a heartbeat and when the newest one arrived."""

    peer: Peer
    at_s: float


class PeerService:
    """Handle the requests of other hosts.

    The jobs of a host whose heartbeats have stopped are given up: it can't receive their answers,
    and their callers may send them to another host.
    """

    def __init__(self, host: Peer, scheduler: JobScheduler, leadership: Leadership) -> None:
        self._host = host
        self._scheduler = scheduler
        self._leadership = leadership
        self._heard: dict[str, _Heard] = {}
        self._scopes: dict[str, set[anyio.CancelScope]] = {}

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        match (request.method, request.path):
            case ("POST", path) if path == HEARTBEAT_PATH:
                return self._take_heartbeat(request)
            case ("POST", path) if path == SUBMIT_PATH:
                return await self._submit(request)
            case _:
                return Response(404)

    async def watch_senders(self) -> None:
        """Give up the jobs of hosts that have fallen silent, until cancelled."""
        while True:
            await anyio.sleep(PEER_CHECK_S)
            limit_s = time.monotonic() - SILENCE_S
            for host in [host for host, heard in self._heard.items() if heard.at_s < limit_s]:
                del self._heard[host]
                for scope in self._scopes.get(host, ()):
                    scope.cancel()

    def find_strongest(self, domains: Collection[str]) -> Peer | None:
        """Return the strongest host of failure domains that is heard and isn't draining."""
        peers = (heard.peer for heard in self._heard.values())
        able = (peer for peer in peers if peer.failure_domain in domains and not peer.draining)
        return max(able, key=lambda peer: peer.strength, default=None)

    def _take_heartbeat(self, request: Request) -> Response:
        try:
            sender = decode_heartbeat(request.body)
        except CodecError:
            return Response(400)
        self._heard[sender.holder.host] = _Heard(sender, time.monotonic())
        peers = tuple(
            heard.peer
            for heard in self._heard.values()
            if heard.peer.failure_domain == sender.failure_domain
        )
        terms = tuple(self._leadership.terms.values())
        return encode_heartbeat_reply(HeartbeatReply(self._host, terms, peers))

    async def _submit(self, request: Request) -> Response:
        try:
            submission = decode_submission(request.body)
        except CodecError:
            return Response(400)
        if not self._leadership.find_led_by(self._host.holder):
            return encode_answer(Moved(submission.earlier))
        answer: Answer = TimedOut("the entry host fell silent")
        scopes = self._scopes.setdefault(submission.sender, set())
        with anyio.CancelScope() as scope:
            scopes.add(scope)
            try:
                answer = await self._scheduler.submit(
                    submission.job, submission.age_ms / 1000, submission.earlier
                )
            finally:
                scopes.discard(scope)
        return encode_answer(answer)
