"""Run one link endpoint until SIGTERM."""

import argparse
import json
import signal

import anyio

from fireflybridge_standins.control import serve_control
from fireflybridge_standins.peer_probe._endpoint import Endpoint


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(
        description="Run one endpoint of links between daemons on loopback."
    )
    parser.add_argument("--name", required=True)
    parser.add_argument("--key", help="shared key; authentication is off without it")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument("--heartbeat-s", type=float, default=1.0)
    return parser.parse_args()


async def serve(arguments: argparse.Namespace) -> None:
    """Serve the links and the control endpoints until SIGTERM or SIGINT."""
    key = None if arguments.key is None else arguments.key.encode()
    endpoint = Endpoint(arguments.name, key, arguments.listen, arguments.heartbeat_s)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(endpoint.links.run)
            control = await tasks.start(serve_control, "127.0.0.1:0", endpoint.handle_control)
            ready = {
                "ready": True,
                "address": address,
                "control": control,
                "incarnation": endpoint.incarnation,
            }
            print(json.dumps(ready), flush=True)
            async for _ in signals:
                tasks.cancel_scope.cancel()
                break


if __name__ == "__main__":
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})
