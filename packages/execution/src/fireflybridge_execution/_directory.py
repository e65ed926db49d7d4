"""Discovery of upstreams by polling the directory in the platform's store."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import Protocol

import anyio

from fireflybridge_jobs import UpstreamInfo
from fireflybridge_leadership import StoreError

REFRESH_S = 0.4  # a draining upstream must get no more work after two seconds
STANDBY_REFRESH_S = 3.0  # keeps the view recent in case this host has to lead without the store
RETRY_S = 0.2
REMOVAL_GRACE_S = 2.5  # entries that expire in an outage are back within two seconds after it


MAX_VIEW_AGE_S = 1.5  # an upstream may leave two seconds after its entry says that it drains


@dataclass(frozen=True, slots=True)
class DirectoryView:
    """The upstreams by id, and the monotonic time at which the read of them began."""

    upstreams: Mapping[str, UpstreamInfo]
    read_s: float
    store_answers: bool = True
    """Whether the store has answered since; if not, nothing newer can be known."""

    def allows_starts(self, now_s: float) -> bool:
        """Return whether runs may be started on the upstreams as this view describes them.

        An entry that has changed since the read is found within the time that a draining upstream
        has to stay. A host that the store doesn't answer goes on with what it knows.
        """
        return not self.store_answers or now_s <= self.read_s + MAX_VIEW_AGE_S


class DirectorySource(Protocol):
    """Read access to the directory; raises ``StoreError`` if the store can't be reached."""

    async def refresh(self) -> Mapping[str, UpstreamInfo]:
        """Return every upstream that is registered now, by id."""
        ...


class UpstreamDirectory:
    """Poll the directory; entries that vanish around an outage of the store are kept for a while."""

    def __init__(
        self,
        source: DirectorySource,
        on_read: Callable[[DirectoryView], None],
        on_error: Callable[[StoreError], None],
    ) -> None:
        self._source = source
        self._on_read = on_read
        self._on_error = on_error
        self._view = DirectoryView({}, -inf)
        self._last_error_s = -REMOVAL_GRACE_S
        self._leading = False
        self._refresh_requested = anyio.Event()

    def set_leading(self, leading: bool) -> None:
        """Set whether this host leads; a new leader polls immediately, and then more often."""
        if leading and not self._leading:
            self.refresh_soon()
        self._leading = leading

    def refresh_soon(self) -> None:
        """Poll immediately, as this host may lead before long."""
        self._refresh_requested.set()

    def note_silence(self) -> None:
        """Note that the store doesn't answer; the next read that succeeds says that it does."""
        if self._view.store_answers:
            self._view = replace(self._view, store_answers=False)
            self._on_read(self._view)

    async def follow(self) -> None:
        """Poll until cancelled and report the view after each read."""
        while True:
            # A request that comes during a read asks for one more.
            self._refresh_requested = anyio.Event()
            read_s = time.monotonic()
            try:
                self._update_view(await self._source.refresh(), read_s)
                await self._wait_for_refresh()
            except StoreError as error:
                self._last_error_s = time.monotonic()
                self._on_error(error)
                self.note_silence()
                await anyio.sleep(RETRY_S)

    async def _wait_for_refresh(self) -> None:
        with anyio.move_on_after(REFRESH_S if self._leading else STANDBY_REFRESH_S):
            await self._refresh_requested.wait()

    def _update_view(self, entries: Mapping[str, UpstreamInfo], read_s: float) -> None:
        keeps_removed = time.monotonic() < self._last_error_s + REMOVAL_GRACE_S
        kept = self._view.upstreams if keeps_removed else {}
        self._view = DirectoryView({**kept, **entries}, read_s)
        self._on_read(self._view)
