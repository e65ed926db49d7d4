"""Which upstreams exist, as far as the platform's store told."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import anyio

from fireflybridge_jobs import UpstreamInfo
from fireflybridge_leadership import StoreError

REFRESH_S = 0.4  # keeps a draining upstream from getting work within the bound of two seconds
RETRY_S = 0.2
REMOVAL_GRACE_S = 2.5  # entries that expired in an outage return within two seconds after it


@dataclass(frozen=True, slots=True)
class DirectoryView:
    """Hold the upstreams by id."""

    upstreams: Mapping[str, UpstreamInfo]


class DirectorySource(Protocol):
    """Read the directory; raises ``StoreError`` when the store can't be reached."""

    async def refresh(self) -> Mapping[str, UpstreamInfo]:
        """Return every upstream that stands in the directory now."""
        ...


class Directory:
    """Keep the newest view, and keep entries that vanished around an outage for a while."""

    def __init__(
        self,
        source: DirectorySource,
        on_change: Callable[[DirectoryView], None],
        on_error: Callable[[StoreError], None],
    ) -> None:
        self._source = source
        self._on_change = on_change
        self._on_error = on_error
        self._view: Mapping[str, UpstreamInfo] = {}
        self._trouble_s = -REMOVAL_GRACE_S

    async def follow(self) -> None:
        """Report each change of the view until cancelled."""
        while True:
            try:
                self._take(await self._source.refresh())
                await anyio.sleep(REFRESH_S)
            except StoreError as error:
                self._trouble_s = time.monotonic()
                self._on_error(error)
                await anyio.sleep(RETRY_S)

    def _take(self, found: Mapping[str, UpstreamInfo]) -> None:
        view = dict(found)
        if time.monotonic() < self._trouble_s + REMOVAL_GRACE_S:
            view = {**self._view, **view}
        if view != self._view:
            self._view = view
            self._on_change(DirectoryView(view))
