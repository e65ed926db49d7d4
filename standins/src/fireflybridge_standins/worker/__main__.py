"""Run worker stand-ins: any number of workers in one process, each on its own port."""

import argparse
import json
import signal
from functools import partial

import anyio
from anyio.abc import SocketAttribute

from fireflybridge_standins.control import serve_control
from fireflybridge_standins.worker._control import handle_control
from fireflybridge_standins.worker._server import serve_connection
from fireflybridge_standins.worker._worker import Worker


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Run worker stand-ins on loopback.")
    parser.add_argument("--name", default="worker")
    parser.add_argument("--count", type=int, default=1, help="number of workers")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument(
        "--speed", default="1.0", help="comma-separated speeds, assigned to the workers in turn"
    )
    parser.add_argument(
        "--forget-starts", action="store_true", help="keep no records of started tasks"
    )
    parser.add_argument("--control", default="127.0.0.1:0")
    return parser.parse_args()


async def serve(arguments: argparse.Namespace) -> None:
    """Serve the workers and the control port until SIGTERM or SIGINT."""
    speeds = [float(speed) for speed in arguments.speed.split(",")]
    workers = [
        Worker(
            f"{arguments.name}-{index}",
            arguments.slots,
            speed=speeds[index % len(speeds)],
            keep_starts=not arguments.forget_starts,
        )
        for index in range(arguments.count)
    ]
    async with anyio.create_task_group() as group:
        addresses = []
        for worker in workers:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
            addresses.append(f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}")
            group.start_soon(listener.serve, partial(serve_connection, worker))
        control = await group.start(
            serve_control, arguments.control, partial(handle_control, workers)
        )
        by_name = {worker.name: address for worker, address in zip(workers, addresses, strict=True)}
        ready = {"ready": True, "address": addresses[0], "workers": by_name, "control": control}
        print(json.dumps(ready), flush=True)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                group.cancel_scope.cancel()
                return


if __name__ == "__main__":
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})
