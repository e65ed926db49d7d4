"""Run the stand-in and print its addresses as one line of JSON."""

import argparse
import json
from functools import partial
from operator import attrgetter

import anyio
from anyio.abc import TaskStatus

from fireflybridge_http import Handler, Server, ServerLimits
from fireflybridge_standins.site._service import Site
from fireflybridge_standins.site._upstream import Upstream

LIMITS = ServerLimits(max_body_bytes=16 * 1024 * 1024, idle_timeout_s=3600.0)
REGISTER_INTERVAL_S = 1.0
LISTEN_ADDRESS = "127.0.0.1:0"  # port 0 picks a free one


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="fireflybridge_standins.site")
    parser.add_argument(
        "--zone",
        action="append",
        required=True,
        help="name of a failure domain; may be given several times",
    )
    parser.add_argument("--upstreams", type=int, default=2, help="upstreams in each zone")
    parser.add_argument("--work-ms", type=float, default=50.0, help="duration of a task")
    return parser.parse_args()


async def run(arguments: argparse.Namespace) -> None:
    """Serve until the process is killed, and register the upstreams at an interval."""
    site = Site()
    async with anyio.create_task_group() as group:

        async def serve(handler: Handler) -> str:
            return str(await group.start(Server(LISTEN_ADDRESS, handler, LIMITS).serve, group))

        for zone in arguments.zone:
            for index in range(arguments.upstreams):
                upstream = Upstream(f"u-{zone}-{index}", zone)
                upstream.behaviour.work_s = arguments.work_ms / 1000
                site.upstreams[upstream.id] = upstream
                await group.start(serve_upstream, site, upstream)
        ready = {
            "ready": True,
            "address": await serve(site.handle_control),
            "store": await serve(site.handle_store),
        }
        print(json.dumps(ready), flush=True)
        while True:
            await anyio.sleep(REGISTER_INTERVAL_S)
            for upstream in filter(attrgetter("is_up"), site.upstreams.values()):
                site.register(upstream)


async def serve_upstream(site: Site, upstream: Upstream, *, task_status: TaskStatus[None]) -> None:
    """Serve an upstream's calls; after each crash it starts again at its address."""
    address = LISTEN_ADDRESS
    handler = partial(site.handle_upstream, upstream.id)
    while True:
        async with anyio.create_task_group() as life:
            upstream.begin_life(life)
            address = str(await life.start(Server(address, handler, LIMITS).serve, life))
            if not upstream.address:
                upstream.address = address
                task_status.started()
            site.register(upstream)
        await anyio.sleep(upstream.behaviour.restart_s)


if __name__ == "__main__":
    anyio.run(run, parse_arguments())
