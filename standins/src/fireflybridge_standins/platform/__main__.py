"""Run the platform stand-in until SIGTERM."""

import argparse
import json
import signal

import anyio

from fireflybridge_standins.platform._faults import FaultInjector
from fireflybridge_standins.platform._log import AppendRateLimiter, LogStore, Retention
from fireflybridge_standins.platform._server import start_server
from fireflybridge_standins.platform._service import Platform


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Run a stand-in for the platform on loopback.")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument(
        "--retention-records", type=int, default=1_000_000, help="records kept per stream"
    )
    parser.add_argument(
        "--retention-seconds", type=float, default=3600.0, help="age at which a record is dropped"
    )
    parser.add_argument(
        "--append-latency-ms", type=float, default=0.0, help="duration of a synced write"
    )
    parser.add_argument(
        "--appends-per-second",
        type=float,
        default=300.0,
        help="appends beyond this rate are delayed",
    )
    return parser.parse_args()


async def serve(arguments: argparse.Namespace) -> None:
    """Serve the protocol and the control endpoints until SIGTERM or SIGINT."""
    platform = Platform(
        LogStore(Retention(arguments.retention_records, arguments.retention_seconds)),
        AppendRateLimiter(arguments.appends_per_second),
        arguments.append_latency_ms / 1000,
        FaultInjector(),
    )
    host, _, port = arguments.listen.rpartition(":")
    server = await start_server(platform, host, int(port))
    address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        print(json.dumps({"ready": True, "address": address}), flush=True)
        async for _ in signals:
            break
    server.close()


if __name__ == "__main__":
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})
