"""Detection of pauses after which requests may be older than they look."""

import time
from collections.abc import Callable, Coroutine
from math import inf
from typing import Any

import anyio

CHECK_INTERVAL_S = 0.1
# A run lasts 0.6 s without renewal and callers come back 1.3 s after they have left, so what is
# started within half a second after that has ended by then.
MAX_PAUSE_S = 0.5


PauseHandler = Callable[[float], Coroutine[Any, Any, None]]


async def _ignore_pause(_paused_s: float) -> None:
    """Do nothing."""


class PauseMonitor:
    """Tell whether this process was paused since a request can have been sent.

    A process that was stopped, suspended or blocked finds requests in its sockets and queues whose
    senders may have left and sent them elsewhere. The ends of their connections may lie behind them
    or come later, so the requests must not be acted on, whatever else is known of them.
    """

    def __init__(self) -> None:
        self._checked_s: float | None = None
        self._checked_before_s: float | None = None
        """The time of the check before the last one."""
        self._resumed_s = -inf

    def is_current(self, sent_after_s: float) -> bool:
        """Return whether this process wasn't paused since a monotonic time.

        That is the earliest time at which a request can have been sent, or a time at which its
        sender was known to wait for the answer.
        """
        return not self._is_paused() and sent_after_s >= self._resumed_s

    def compute_reading_delay(self) -> float | None:
        """Return how long, at most, a request that is read now has waited in this host's sockets.

        In seconds; None before the second check. Whatever had come before a check is read before the
        next but one.
        """
        if self._checked_before_s is None:
            return None
        return _read_clock() - self._checked_before_s

    async def watch(self, handle_pause: PauseHandler = _ignore_pause) -> None:
        """Look for pauses until cancelled, and call ``handle_pause`` with the seconds of each."""
        self._checked_s = _read_clock()
        async with anyio.create_task_group() as group:
            while True:
                await anyio.sleep(CHECK_INTERVAL_S)
                now_s = _read_clock()
                if self._is_paused():
                    self._resumed_s = time.monotonic()
                    group.start_soon(handle_pause, now_s - self._checked_s)
                self._checked_before_s = self._checked_s
                self._checked_s = now_s

    def _is_paused(self) -> bool:
        """Return whether the process was paused since the last check; False before the first."""
        return self._checked_s is not None and _read_clock() > self._checked_s + MAX_PAUSE_S


def _read_clock() -> float:
    """Return a time in seconds that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
