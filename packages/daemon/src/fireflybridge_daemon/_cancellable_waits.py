"""Waits for other daemons and for the log that a shutdown may cancel."""

from collections.abc import Awaitable
from typing import TypeVar

import anyio

Value = TypeVar("Value")


class CancellableWaits:
    """Track the waits of submissions that have no job on this daemon, or none yet."""

    def __init__(self) -> None:
        self._scopes: set[anyio.CancelScope] = set()
        self._idle = anyio.Event()

    def __len__(self) -> int:
        return len(self._scopes)

    async def run(self, awaited: Awaitable[Value]) -> Value | None:
        """Return the awaited value, or ``None`` if ``cancel_all`` ended the wait."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await awaited
            finally:
                self._scopes.discard(scope)
                if not self._scopes:
                    self._idle.set()
        return None

    async def wait_idle(self) -> None:
        """Block until no wait is in progress."""
        while self._scopes:
            self._idle = anyio.Event()
            await self._idle.wait()

    def cancel_all(self) -> int:
        """Cancel every wait; return how many there were."""
        scopes = tuple(self._scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)
