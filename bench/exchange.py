"""Measure the processor time of one exchange between the HTTP client and server over loopback."""

import argparse
import os
import statistics
import subprocess
import sys
import time
from pathlib import Path

import anyio

from fireflybridge_http import Connection, Request, Response, Server, ServerLimits

WARM_UP_EXCHANGES = 200
REQUEST_BODY = b'{"fence":7001,"seen_upto":57,"wait_ms":120,"deadline_ms":486000}'
RESPONSE_BODY = (
    b'{"clock_ms":482113,"born":1764880000000,'
    b'"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41],["5c0e7a21d94b36f8.0.1.18",1,"",7]],'
    b'"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}'
)
MICROSECONDS = 1e6


async def _answer(_request: Request) -> Response:
    return Response(200, RESPONSE_BODY, (("content-type", "application/json"),))


async def measure(exchanges: int) -> float:
    """Return the processor time of one exchange in microseconds, both ends together."""
    request = Request("POST", "/hold", (("content-type", "application/json"),), REQUEST_BODY)
    async with anyio.create_task_group() as group:
        address = await group.start(Server("127.0.0.1:0", _answer, ServerLimits()).serve, group)
        connection = Connection(address)
        for _ in range(WARM_UP_EXCHANGES):
            await connection.exchange(request, 1.0)
        started = time.process_time()
        for _ in range(exchanges):
            await connection.exchange(request, 1.0)
        elapsed = time.process_time() - started
        await connection.close()
        group.cancel_scope.cancel()
    return elapsed / exchanges * MICROSECONDS


def run_child(exchanges: int, source: str | None) -> float:
    """Measure in a new process, with the HTTP package of another source folder if one is given."""
    environment = {**os.environ, "PYTHONPATH": source or ""}
    command = [sys.executable, __file__, "--child", f"--exchanges={exchanges}"]
    return float(
        subprocess.run(command, env=environment, check=True, stdout=subprocess.PIPE).stdout
    )


def main() -> None:
    """Print the median of several runs, alternating with those of the baseline."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--exchanges", type=int, default=3000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--baseline", type=Path, help="root of a checkout to compare with")
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        print(anyio.run(measure, options.exchanges, backend_options={"use_uvloop": True}))
        return
    sources: dict[str, str | None] = {"this checkout": None}
    if options.baseline:
        sources["baseline"] = str(options.baseline.resolve() / "packages" / "http" / "src")
    results: dict[str, list[float]] = {name: [] for name in sources}
    for _ in range(options.runs):
        for name, source in sources.items():
            results[name].append(run_child(options.exchanges, source))
    for name, values in results.items():
        print(
            f"{name}: {statistics.median(values):.0f} us an exchange"
            f" (min {min(values):.0f}, max {max(values):.0f}, {len(values)} runs)"
        )


if __name__ == "__main__":
    main()
