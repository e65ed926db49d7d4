"""Notification of coroutines that wait for a change."""

import anyio


class Notifier:
    """Let any number of coroutines wait for the next change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake every waiting coroutine."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_s: float | None = None) -> None:
        """Return at the next change, or after ``timeout_s``."""
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
