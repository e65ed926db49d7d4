"""Start a host with the platform's adapter, and connect it through links."""

import json
import os
import signal
import sys
from collections.abc import Mapping
from typing import Any

import anyio

from fireflybridge_standins.linked_host import LINKS_VARIABLE


def route_connections(links: Mapping[str, str]) -> None:
    """Open each further connection to an address that has a link at that link's address."""
    connect_directly = anyio.connect_tcp

    async def connect_tcp(remote_host: str, remote_port: int, **options: Any) -> Any:
        address = f"{remote_host}:{remote_port}"
        host, _, port = links.get(address, address).rpartition(":")
        return await connect_directly(host, int(port), **options)

    anyio.connect_tcp = connect_tcp  # type: ignore[assignment]


def main() -> int:
    """Run the host; return the exit code."""
    # As in the adapter: until the host has installed its handler, SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fireflybridge_adapter.__main__ import main as run_adapter

    route_connections(json.loads(os.environ[LINKS_VARIABLE]))
    return run_adapter()


if __name__ == "__main__":
    sys.exit(main())
