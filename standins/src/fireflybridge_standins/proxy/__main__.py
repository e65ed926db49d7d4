"""Run the fault-injecting proxy until SIGTERM."""

import argparse
import json
import signal

import anyio

from fireflybridge_standins.proxy._control import LinkBody, Links
from fireflybridge_standins.proxy._link import Link
from fireflybridge_standins.proxy._relay import serve_link
from fireflybridge_standins.proxy._server import start_control_server


def parse_link(text: str) -> LinkBody:
    """Parse ``name=listen=target``."""
    parts = text.split("=")
    if len(parts) != 3:
        raise argparse.ArgumentTypeError(f"{text} is not NAME=LISTEN=TARGET")
    return LinkBody(*parts)


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description="Relay TCP links and inject faults.")
    parser.add_argument("--control", default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument(
        "--link",
        type=parse_link,
        action="append",
        default=[],
        metavar="NAME=LISTEN=TARGET",
        help="relay from one IP:PORT to another; may be given several times",
    )
    return parser.parse_args()


async def serve(arguments: argparse.Namespace) -> None:
    """Serve the links and the control port until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as group:

        def start_link(link: Link) -> None:
            group.start_soon(serve_link, link, group)

        links = Links(start_link)
        for body in arguments.link:
            links.add(body)
        control = await start_control_server(arguments.control, links.handle)
        address = "{}:{}".format(*control.sockets[0].getsockname())
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            ready = {"ready": True, "address": address, "links": links.get_addresses()}
            print(json.dumps(ready), flush=True)
            async for _ in signals:
                break
        control.close()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(serve, parse_arguments(), backend_options={"use_uvloop": True})
