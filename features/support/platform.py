"""Helpers for steps that call the platform client."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
from result import Err, Ok, Result

from fireflybridge_platform import HttpLog

# Timeout of calls that should succeed; it ends only a call that hangs.
LONG_TIMEOUT_S = 30.0
# Timeout of calls that get no response; long enough to connect on a busy machine.
SHORT_TIMEOUT_S = 1.0

Value = TypeVar("Value")


def run_log(
    address: str, call: Callable[[HttpLog], Awaitable[Value]], timeout_s: float = LONG_TIMEOUT_S
) -> Value:
    """Run ``call`` with a new log client whose calls time out after ``timeout_s`` seconds."""

    async def run() -> Value:
        url = f"http://{address}"
        async with HttpLog(url, append_timeout_s=timeout_s, read_timeout_s=timeout_s) as log:
            return await call(log)

    return anyio.run(run)


def choose_timeout(detail: str) -> float:
    """Return the timeout in seconds for a call that should fail with ``detail``."""
    return SHORT_TIMEOUT_S if detail == "no complete response" else LONG_TIMEOUT_S


def check_append(address: str, stream: str, payload: str, kind: str, detail: str) -> None:
    """Append once and check the kind of the result and that the pattern ``detail`` matches."""
    result = run_log(
        address, lambda log: log.append(stream, payload.encode()), choose_timeout(detail)
    )
    seen = describe_append(result)
    assert seen[0] == kind, seen
    assert re.search(detail, seen[1]), seen


def describe_append(result: Result[int, Any]) -> tuple[str, str]:
    """Return the kind of an append's result and its offset or error detail."""
    match result:
        case Ok(offset):
            return "Ok", str(offset)
        case Err(failure):
            assert failure.error.step == "log.append", failure
            assert failure.error.peer.startswith("http://127.0.0.1:"), failure
            return type(failure).__name__, failure.error.detail


def check_error(result: Result[Any, Any], detail: str) -> None:
    """Check that a call failed with an error that the pattern ``detail`` matches."""
    assert isinstance(result, Err), result
    assert re.search(detail, result.err_value.detail), result
