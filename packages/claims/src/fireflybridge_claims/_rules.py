"""Decisions about claims, as plain functions."""

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


def fold_batch(view: ShardView, batch: Batch, offset: int) -> None:
    """Fold the record at ``offset``, which must be the view's next one, into the view."""
    if offset != view.next_offset:
        raise ValueError(f"offset {offset} folded where {view.next_offset} comes next")
    for claim in batch.claims:
        view.hold(claim, offset)
    view.next_offset = offset + 1


def decide(claim: Claim, view: ShardView) -> Decision | Undecided:
    """Decide a claim from the records known so far; the first record of a key wins.

    While a lost record may hold any key, nothing is decided: an entry read after the loss need
    not be the first of its key.
    """
    if view.lost_for_s:
        return refuse(view.lost_for_s, "records of the shard are missing or not understood")
    holder = view.find(claim.key_hash)
    if holder is None:
        if view.full_for_s:
            return refuse(view.full_for_s, f"{len(view)} claims are remembered already")
        return Undecided()
    if holder.digest != claim.digest:
        return Conflict(holder.executor)
    if (holder.executor, holder.attempt) == (claim.executor, claim.attempt):
        return Granted()
    return HeldBy(holder.executor, holder.attempt)


def refuse(retry_after_s: float, detail: str) -> Unavailable:
    """Return the decision that the shard's registrar cannot decide now."""
    return Unavailable(StepError("claims.decide", "registrar", detail), retry_after_s)


def must_refuse_after_loss(
    now_s: float, known_s: float | None, retention_s: float, log_retention_s: float
) -> bool:
    """Return whether records that the log has dropped unread may still be needed.

    ``known_s`` is when the end of the stream was last known, ``None`` before the first read. The
    dropped records are younger than that. ``log_retention_s`` is how long the log is said to keep
    records, 0 if unknown. The log's word is taken when it keeps them longer than the retention and
    nothing seen contradicts it.
    """
    if log_retention_s <= retention_s:
        return True
    return known_s is not None and now_s - known_s < log_retention_s
