"""Runs of earlier leaders that this host can't know of yet."""

from collections.abc import Collection
from dataclasses import dataclass, replace

from fireflybridge_jobs import UpstreamInfo

UNKNOWN_RUN_LIFETIME_S = 2.0  # lease of an earlier leader plus adoption wait of another new one
# An upstream that only this host doesn't reach must not hold up the others for good.
MAX_LIST_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class _UnlistedUpstream:
    """An upstream without a list of its runs; from ``expiry_s`` on it is taken to run nothing."""

    info: UpstreamInfo
    latest_expiry_s: float
    expiry_s: float


class UnknownRuns:
    """Tell whether an upstream may run tasks for an earlier leader without this host's knowledge.

    Under a new fencing token an upstream may run any task until it has listed its runs: the token
    of the list keeps the commands of earlier leaders out. An upstream that doesn't reply is no
    exception, since an earlier leader may still reach it and extend the leases there. It counts for
    a while, and for longer if it reports itself to the directory meanwhile.
    """

    def __init__(self) -> None:
        self._unlisted: dict[str, _UnlistedUpstream] = {}

    @property
    def upstreams(self) -> tuple[str, ...]:
        """Return the upstreams that have not listed their runs yet."""
        return tuple(self._unlisted)

    def expect_list(self, info: UpstreamInfo, led_since_s: float, now_s: float) -> None:
        """Note that an upstream is used from now on, under a token led since a monotonic time."""
        latest_s = led_since_s + MAX_LIST_WAIT_S
        expiry_s = min(now_s + UNKNOWN_RUN_LIFETIME_S, latest_s)
        known = self._unlisted.get(info.id)
        if known is not None and known.latest_expiry_s == latest_s:
            expiry_s = max(expiry_s, known.expiry_s)
        self._unlisted[info.id] = _UnlistedUpstream(info, latest_s, expiry_s)

    def note_entry(self, info: UpstreamInfo) -> None:
        """Note an upstream's newest entry, which may show that it is up."""
        unlisted = self._unlisted.get(info.id)
        if unlisted is not None and info.revision != unlisted.info.revision:
            expiry_s = unlisted.latest_expiry_s
            self._unlisted[info.id] = replace(unlisted, info=info, expiry_s=expiry_s)

    def forget(self, upstream: str) -> None:
        """Note that an upstream has listed its runs."""
        self._unlisted.pop(upstream, None)

    def retain_domains(self, domains: Collection[str]) -> None:
        """Forget the upstreams of all other failure domains, which this host doesn't use."""
        self._unlisted = {
            name: unlisted
            for name, unlisted in self._unlisted.items()
            if unlisted.info.failure_domain in domains
        }

    def may_exist(self, now_s: float) -> bool:
        """Return whether a run that this host doesn't know of may be alive at a monotonic time."""
        return any(unlisted.expiry_s > now_s for unlisted in self._unlisted.values())
