"""Event loop whose time jumps to the next event instead of passing."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """Advance a virtual time by each timeout instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:  # pragma: no cover
        """Return at once, with the virtual time advanced by ``timeout`` seconds."""
        if timeout is None:
            raise RuntimeError("every coroutine waits and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    """Tell the selector's virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now


def run_virtual(main: Callable[[], Awaitable[Result]]) -> Result:
    """Run a coroutine function in virtual time and return its result."""
    return anyio.run(main, backend_options={"loop_factory": _VirtualLoop})
