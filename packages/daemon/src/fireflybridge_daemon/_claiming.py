"""Claims of chosen keys, decided by the registrar of their shard on this daemon or at a peer."""

import time
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from result import Err, Result

from fireflybridge_claims import (
    Claim,
    Conflict,
    Decision,
    Granted,
    HeldBy,
    LogFailed,
    RecordSkipped,
    Registrar,
    RegistrarLimits,
    Report,
    Unavailable,
)
from fireflybridge_core import StepError, find_shard
from fireflybridge_peers import (
    ClaimConflict,
    ClaimGranted,
    ClaimHeld,
    ClaimReply,
    ClaimRequest,
    ClaimUnavailable,
    ClaimVerdict,
    Message,
    SendFailure,
)
from fireflybridge_platform import Log
from fireflybridge_telemetry import Event, Metrics, log_event

# A healthy registrar answers within the time of an append. If it does not answer, half of the
# timeout remains to claim through the log.
REMOTE_TIMEOUT_SHARE = 0.5
RETRY_AFTER_S = 1.0


class Router(Protocol):
    """Finds the registrar of a shard and sends messages to peers."""

    def find_registrar(self, shard: int) -> str:
        """Return the name of the daemon that owns the shard; empty for this daemon."""

    def send(self, peer: str, message: Message) -> Result[None, SendFailure]:
        """Queue a message to a peer."""


class Claims:
    """Manage this daemon's registrars and the claims that wait for a peer's registrar."""

    def __init__(
        self,
        log: Log,
        incarnation: str,
        limits: RegistrarLimits,
        router: Router,
        group: TaskGroup,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._incarnation = incarnation
        self._limits = limits
        self._router = router
        self._group = group
        self._metrics = metrics
        self._clock = clock
        self._registrars: dict[int, Registrar] = {}
        self._pending: dict[tuple[str, int], _PendingClaim] = {}

    @property
    def remembered(self) -> int:
        """Return how many claims the registrars here remember."""
        return sum(registrar.remembered for registrar in self._registrars.values())

    async def claim(self, claim: Claim) -> Decision:
        """Return the decision on a claim made by this daemon.

        A registrar that does not answer is bypassed: any daemon may append to a shard after
        reading it, and the first record for a key still wins.
        """
        shard = find_shard(claim.key_hash)
        owner = self._router.find_registrar(shard)
        if owner:
            decision = await self._ask_peer(owner, shard, claim)
            if decision is not None:
                return decision
        return await self._get_registrar(shard).claim(claim)

    async def serve(self, peer: str, request: ClaimRequest) -> None:
        """Decide a peer's claim and send the reply."""
        claim = Claim(request.key_hash, request.digest, request.executor, request.attempt)
        decision = await self._get_registrar(request.shard).claim(claim)
        reply = ClaimReply(
            request.shard,
            request.key_hash,
            request.digest,
            request.executor,
            request.attempt,
            _make_verdict(decision),
        )
        # If the reply is lost, the peer claims through the log itself.
        self._router.send(peer, reply)

    def receive(self, peer: str, reply: ClaimReply) -> None:
        """Hand a registrar's reply to the claim that waits for it."""
        pending = self._pending.get((peer, reply.attempt))
        if pending is not None and pending.key_hash == reply.key_hash:
            pending.verdict = reply.verdict
            pending.decided.set()

    async def _ask_peer(self, owner: str, shard: int, claim: Claim) -> Decision | None:
        request = ClaimRequest(shard, claim.key_hash, claim.digest, claim.executor, claim.attempt)
        pending = _PendingClaim(claim.key_hash)
        self._pending[(owner, claim.attempt)] = pending
        try:
            if isinstance(self._router.send(owner, request), Err):
                return None
            with anyio.move_on_after(self._limits.claim_timeout_s * REMOTE_TIMEOUT_SHARE):
                await pending.decided.wait()
        finally:
            del self._pending[(owner, claim.attempt)]
        return None if pending.verdict is None else _read_verdict(owner, claim, pending.verdict)

    def _get_registrar(self, shard: int) -> Registrar:
        """Return this daemon's registrar of a shard, started on first use."""
        registrar = self._registrars.get(shard)
        if registrar is None:
            registrar = Registrar(
                self._log,
                shard,
                self._incarnation,
                self._clock,
                limits=self._limits,
                report=self._report,
            )
            self._registrars[shard] = registrar
            self._group.start_soon(registrar.run)
        return registrar

    def _report(self, report: Report) -> None:
        match report:
            case LogFailed(shard=shard, error=error):
                self._metrics.log_errors.labels(error.step).inc()
                log_event(Event.CLAIM_LOG_FAILED, shard=shard, error=str(error))
            case RecordSkipped(shard=shard, offset=offset, reason=reason):
                log_event(
                    Event.CLAIM_RECORD_UNREADABLE,
                    shard=shard,
                    offset=offset,
                    reason=type(reason).__name__,
                )
            case _:
                log_event(Event.CLAIM_SHARD_REPORT, report=repr(report))


class _PendingClaim:
    """Claim that waits for the verdict of a peer's registrar."""

    def __init__(self, key_hash: bytes) -> None:
        self.key_hash = key_hash
        self.decided = anyio.Event()
        self.verdict: ClaimVerdict | None = None


def _make_verdict(decision: Decision) -> ClaimVerdict:
    match decision:
        case Granted():
            return ClaimGranted()
        case HeldBy(executor=executor, attempt=attempt):
            return ClaimHeld(executor, attempt)
        case Conflict():
            return ClaimConflict()
        case Unavailable(error=error):
            return ClaimUnavailable(str(error))


def _read_verdict(owner: str, claim: Claim, verdict: ClaimVerdict) -> Decision:
    match verdict:
        case ClaimGranted():
            return Granted()
        case ClaimHeld(executor=executor, attempt=attempt):
            return HeldBy(executor, attempt)
        case ClaimConflict():
            return Conflict(owner)
        case ClaimUnavailable(detail=detail):
            return Unavailable(StepError("claims.claim", owner, detail), RETRY_AFTER_S)
