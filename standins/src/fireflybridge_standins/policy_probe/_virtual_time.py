"""Event loop with a virtual clock that advances to the next timer without waiting."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock by each timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:  # pragma: no cover
        """Return at once, with the virtual time advanced by ``timeout`` seconds."""
        if timeout is None:
            raise RuntimeError("deadlock in virtual time: all coroutines wait and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the virtual clock of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(main: Callable[[], Awaitable[T]]) -> T:
    """Run a coroutine function in virtual time and return its result."""
    return anyio.run(main, backend_options={"loop_factory": _VirtualTimeLoop})
