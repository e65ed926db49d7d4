"""Which upstreams exist, as far as the platform's store told."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

import anyio

from fireflybridge_jobs import UpstreamInfo
from fireflybridge_leadership import StoreError

REFRESH_S = 0.4  # keeps a draining upstream from getting work within the bound of two seconds
STANDBY_REFRESH_S = 3.0  # a host that must lead without the store knows the upstreams
RETRY_S = 0.2
REMOVAL_GRACE_S = 2.5  # entries that expired in an outage return within two seconds after it


@dataclass(frozen=True, slots=True)
class DirectoryView:
    """Hold the upstreams by id, and the steady time at which the newest read of them began."""

    upstreams: Mapping[str, UpstreamInfo]
    read_s: float


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
        on_read: Callable[[DirectoryView], None],
        on_error: Callable[[StoreError], None],
    ) -> None:
        self._source = source
        self._on_read = on_read
        self._on_error = on_error
        self._view: Mapping[str, UpstreamInfo] = {}
        self._trouble_s = -REMOVAL_GRACE_S
        self._leading = False
        self._hastened = anyio.Event()

    def set_leading(self, leading: bool) -> None:
        """Read often while this host gives orders, and at once when it begins to."""
        if leading and not self._leading:
            self._hastened.set()
        self._leading = leading

    async def follow(self) -> None:
        """Report the view after each read until cancelled."""
        while True:
            read_s = time.monotonic()
            try:
                self._take(await self._source.refresh(), read_s)
                await self._pause()
            except StoreError as error:
                self._trouble_s = time.monotonic()
                self._on_error(error)
                await anyio.sleep(RETRY_S)

    async def _pause(self) -> None:
        self._hastened = anyio.Event()
        with anyio.move_on_after(REFRESH_S if self._leading else STANDBY_REFRESH_S):
            await self._hastened.wait()

    def _take(self, found: Mapping[str, UpstreamInfo], read_s: float) -> None:
        kept = self._view if time.monotonic() < self._trouble_s + REMOVAL_GRACE_S else {}
        self._view = {**kept, **found}
        self._on_read(DirectoryView(self._view, read_s))
