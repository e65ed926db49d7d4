"""Decisions about claims, as functions without I/O."""

from fireflybridge_claims._types import (
    Batch,
    Claim,
    Conflict,
    Decision,
    Granted,
    HeldBy,
    Unavailable,
    Undecided,
)
from fireflybridge_claims._view import ShardView
from fireflybridge_core import StepError


def apply_batch(view: ShardView, batch: Batch, offset: int) -> None:
    """Apply the record at ``offset``, which must be the view's next offset, to the view."""
    if offset != view.next_offset:
        raise ValueError(f"offset {offset} was applied, but {view.next_offset} comes next")
    for claim in batch.claims:
        view.add(claim, offset)
    view.next_offset = offset + 1


def decide(claim: Claim, view: ShardView) -> Decision | Undecided:
    """Decide a claim from the records known so far; the first record of a key wins.

    While a lost record may hold any key, nothing is decided: an entry read after the loss may not
    be the first of its key.
    """
    if view.loss_expires_in_s:
        return refuse(view.loss_expires_in_s, "records of the shard are missing or not understood")
    holder = view.find(claim.key_hash)
    if holder is None:
        if view.room_expected_in_s:
            return refuse(view.room_expected_in_s, f"{len(view)} claims are remembered already")
        return Undecided()
    if holder.digest != claim.digest:
        return Conflict(holder.executor)
    if (holder.executor, holder.attempt) == (claim.executor, claim.attempt):
        return Granted()
    return HeldBy(holder.executor, holder.attempt)


def refuse(retry_after_s: float, detail: str) -> Unavailable:
    """Return the decision that the claim cannot be decided now."""
    return Unavailable(StepError("claims.decide", "registrar", detail), retry_after_s)


def must_refuse_after_loss(
    now_s: float, synced_s: float | None, retention_s: float, log_retention_s: float
) -> bool:
    """Return whether records that the log has dropped before they were read may still be needed.

    ``synced_s`` is when the stream was last read to its end, ``None`` before the first time. The
    dropped records are newer than that. ``log_retention_s`` is the retention that the log is
    configured with, 0 if unknown. It is trusted when it is longer than ``retention_s``, unless the
    log dropped records sooner than that.
    """
    if log_retention_s <= retention_s:
        return True
    return synced_s is not None and now_s - synced_s < log_retention_s
