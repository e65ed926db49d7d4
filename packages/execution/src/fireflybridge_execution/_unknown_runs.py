"""Runs of earlier leaders that this host can't know of yet."""

from dataclasses import dataclass, replace

from fireflybridge_jobs import UpstreamInfo

UNKNOWN_RUN_LIFETIME_S = 2.0  # lease of an earlier leader plus adoption wait of another new one
# An upstream that only this host doesn't reach must not hold up the others for good.
MAX_LIST_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class _UnlistedUpstream:
    """An upstream without a list of its runs; from ``expiry_s`` on it is taken to run nothing."""

    revision: int
    led_since_s: float
    expiry_s: float


class UnknownRuns:
    """Tell whether an upstream may run tasks for an earlier leader without this host's knowledge.

    Under a new fencing token an upstream may run any task until it has listed its runs: the token
    of the list keeps the commands of earlier leaders out. An upstream that doesn't reply is no
    exception, since an earlier leader may still reach it and extend the leases there. One that has
    stopped reporting itself to the directory as well is soon taken to run nothing, any other later.
    """

    def __init__(self) -> None:
        self._unlisted: dict[str, _UnlistedUpstream] = {}

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that have not listed their runs yet."""
        return tuple(self._unlisted)

    def expect_list(self, info: UpstreamInfo, led_since_s: float) -> None:
        """Note that an upstream is used under a new token since a monotonic time."""
        expiry_s = led_since_s + UNKNOWN_RUN_LIFETIME_S
        self._unlisted[info.id] = _UnlistedUpstream(info.revision, led_since_s, expiry_s)

    def note_entry(self, info: UpstreamInfo, read_s: float) -> None:
        """Note an upstream's entry, read at a monotonic time, which may show that it is up."""
        unlisted = self._unlisted.get(info.id)
        if unlisted is not None and info.revision != unlisted.revision:
            latest_s = unlisted.led_since_s + MAX_LIST_WAIT_S
            expiry_s = min(read_s + UNKNOWN_RUN_LIFETIME_S, latest_s)
            self._unlisted[info.id] = replace(unlisted, revision=info.revision, expiry_s=expiry_s)

    def forget(self, upstream: str) -> None:
        """Note that an upstream has listed its runs, or that its failure domain isn't led any more."""
        self._unlisted.pop(upstream, None)

    def forget_removed(self, upstream: str, now_s: float) -> None:
        """Note that an upstream is no longer in use; what it may still run counts on."""
        unlisted = self._unlisted.get(upstream)
        if unlisted is not None and unlisted.expiry_s <= now_s:
            self.forget(upstream)

    def may_exist(self, now_s: float) -> bool:
        """Return whether a run that this host doesn't know of may be alive at a monotonic time."""
        return any(unlisted.expiry_s > now_s for unlisted in self._unlisted.values())
