"""Call the platform client from steps."""

import re
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
from result import Err, Ok, Result

from fireflybridge_platform import HttpLog

# Ends a call that should succeed only if it hangs.
LONG_LIMIT_S = 30.0
# For calls that never get an answer; long enough to connect on a busy machine.
SHORT_LIMIT_S = 1.0

Value = TypeVar("Value")


def run_log(
    address: str, call: Callable[[HttpLog], Awaitable[Value]], limit_s: float = LONG_LIMIT_S
) -> Value:
    """Run ``call`` with a fresh log client whose calls take up to ``limit_s`` seconds."""

    async def run() -> Value:
        url = f"http://{address}"
        async with HttpLog(url, append_timeout_s=limit_s, read_timeout_s=limit_s) as log:
            return await call(log)

    return anyio.run(run)


def choose_limit(detail: str) -> float:
    """Return the time limit in seconds for a call that should end with ``detail``."""
    return SHORT_LIMIT_S if detail == "no complete response" else LONG_LIMIT_S


def check_append(address: str, stream: str, payload: str, end: str, detail: str) -> None:
    """Append once and check the kind of its end; its detail matches the pattern ``detail``."""
    result = run_log(
        address, lambda log: log.append(stream, payload.encode()), choose_limit(detail)
    )
    seen = name_end(result)
    assert seen[0] == end, seen
    assert re.search(detail, seen[1]), seen


def name_end(result: Result[int, Any]) -> tuple[str, str]:
    """Return the kind of an append's end and its detail."""
    match result:
        case Ok(offset):
            return "Ok", str(offset)
        case Err(failure):
            assert failure.error.step == "log.append", failure
            assert failure.error.peer.startswith("http://127.0.0.1:"), failure
            return type(failure).__name__, failure.error.detail


def check_error(result: Result[Any, Any], detail: str) -> None:
    """Check that a read failed and that its detail matches the pattern ``detail``."""
    assert isinstance(result, Err), result
    assert re.search(detail, result.err_value.detail), result
