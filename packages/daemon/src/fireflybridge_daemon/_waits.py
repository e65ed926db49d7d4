"""Waits for other daemons and the log that a shutdown may cut short."""

from collections.abc import Awaitable
from typing import TypeVar

import anyio

Value = TypeVar("Value")


class Waits:
    """Own the waits of submissions that have no job here, or none yet."""

    def __init__(self) -> None:
        self._scopes: set[anyio.CancelScope] = set()
        self._ended = anyio.Event()

    def __len__(self) -> int:
        return len(self._scopes)

    async def run(self, awaited: Awaitable[Value]) -> Value | None:
        """Return the awaited value, or ``None`` if the wait was cut short."""
        with anyio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                return await awaited
            finally:
                self._scopes.discard(scope)
                if not self._scopes:
                    self._ended.set()
        return None

    async def wait_idle(self) -> None:
        """Wait until no wait is left."""
        while self._scopes:
            self._ended = anyio.Event()
            await self._ended.wait()

    def cut(self) -> int:
        """Cut every wait short; return how many there were."""
        scopes = tuple(self._scopes)
        for scope in scopes:
            scope.cancel()
        return len(scopes)
