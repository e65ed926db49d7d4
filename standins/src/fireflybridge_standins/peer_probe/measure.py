"""Measure CPU, memory, threads and bytes of links between daemons.

``exchanges`` measures the CPU of both ends together, since both run in this process.
``heartbeats`` measures one daemon, whose peers run in another process, so the results are those of
the daemon alone. ``peers`` runs these peers.
"""

import argparse
import json
import os
import resource
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path

import anyio

from fireflybridge_core import TaskId
from fireflybridge_peers import Assign, AssignedTask, LinkStats
from fireflybridge_standins.peer_probe._endpoint import Endpoint

KEY = b"measurement key of 32 characters"
BODY = bytes(100)
WARM_UP_S = 3.0
US_PER_S = 1e6
# Per exchange: 52 bytes of TCP and IP headers for each of request, reply and final acknowledgement,
# and 12 bytes of length and request id for each of the two frames.
TRANSPORT_BYTES = 3 * 52 + 2 * 12


@dataclass(frozen=True, slots=True)
class ExchangeCost:
    """Cost of exchanges that carry ``batch`` tasks each, with the CPU of both ends together."""

    batch: int
    cpu_us_per_exchange: float
    cpu_us_per_task: float
    bytes_per_task: float
    round_trip_us: float


@dataclass(frozen=True, slots=True)
class HeartbeatCost:
    """Cost of the heartbeats between one daemon and ``peers`` peers, in both directions.

    ``exchanges_per_s`` is the rate of heartbeats received. ``wire_bytes_per_s`` is computed: it
    adds ``TRANSPORT_BYTES`` to each exchange.
    """

    peers: int
    remote: int
    cpu_percent_of_core: float
    exchanges_per_s: float
    frame_bytes_per_exchange: float
    frame_bytes_per_s: float
    wire_bytes_per_s: float
    resident_mb: float
    resident_mb_before_links: float
    threads: int


def main() -> None:
    """Run the selected measurement and print each result as one line of JSON."""
    arguments = parse_arguments()
    options = {"use_uvloop": arguments.uvloop}
    match arguments.kind:
        case "exchanges":
            anyio.run(measure_exchanges, arguments.count, backend_options=options)
        case "heartbeats":
            counts = (arguments.peers, arguments.remote)
            anyio.run(measure_heartbeats, *counts, arguments.seconds, backend_options=options)
        case _:
            counts = (arguments.peers, arguments.remote)
            anyio.run(serve_peers, *counts, arguments.daemon, backend_options=options)


def parse_arguments() -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("exchanges", "heartbeats", "peers"))
    parser.add_argument("--uvloop", action="store_true")
    parser.add_argument("--count", type=int, default=1000, help="exchanges for each batch size")
    parser.add_argument("--peers", type=int, default=8)
    parser.add_argument("--remote", type=int, default=0, help="peers in other failure domains")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--daemon", help="address of the daemon, for the kind peers")
    return parser.parse_args()


async def measure_exchanges(count: int) -> None:
    """Measure exchanges of 1, 10 and 100 tasks, each sent after the previous one was handled."""
    sender, receiver = Endpoint("a", KEY), Endpoint("b", KEY)
    async with anyio.create_task_group() as tasks:
        await tasks.start(sender.links.run)
        sender.links.connect("b", await tasks.start(receiver.links.run))
        await _exchange(sender, receiver, 1)
        for batch in (1, 10, 100):
            print(json.dumps(asdict(await _measure_batch(sender, receiver, batch, count))))
        tasks.cancel_scope.cancel()


async def _measure_batch(
    sender: Endpoint, receiver: Endpoint, batch: int, count: int
) -> ExchangeCost:
    before = sender.links.get_link_stats()[0]
    cpu_s, started = time.process_time(), time.perf_counter()
    for _ in range(count):
        await _exchange(sender, receiver, batch)
    cpu_us = (time.process_time() - cpu_s) * US_PER_S
    elapsed_us = (time.perf_counter() - started) * US_PER_S
    after = sender.links.get_link_stats()[0]
    frame_bytes = _sum_bytes((after,)) - _sum_bytes((before,))
    exchanges = after.exchanges - before.exchanges
    tasks = count * batch
    return ExchangeCost(
        batch, cpu_us / exchanges, cpu_us / tasks, frame_bytes / tasks, elapsed_us / exchanges
    )


async def _exchange(sender: Endpoint, receiver: Endpoint, batch: int) -> None:
    task = AssignedTask(
        TaskId("prefix.key-of-a-job", 0),
        "route",
        "pool",
        "/",
        "application/json",
        BODY,
        "team",
        True,
        0.1,
        1.0,
        1.0,
    )
    handled = receiver.assigned_tasks + batch
    sender.links.send("b", Assign(1, "pool", (task,) * batch))
    while receiver.assigned_tasks < handled:
        receiver.assigned = anyio.Event()
        await receiver.assigned.wait()


async def measure_heartbeats(peer_count: int, remote_count: int, seconds: float) -> None:
    """Measure a daemon in this process that exchanges heartbeats with peers in another one."""
    before_mb = _read_resident_mb()
    # The name sorts between those of the peers, so that this end starts half of the exchanges.
    daemon = Endpoint("m", KEY)
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(daemon.links.run)
        process = _start_peers(peer_count, remote_count, address)
        assert process.stdout is not None
        for name, peer in json.loads(process.stdout.readline()).items():
            daemon.links.connect(name, peer["address"], remote=peer["remote"])
        await anyio.sleep(WARM_UP_S)
        print(json.dumps(asdict(await _measure_daemon(daemon, remote_count, seconds, before_mb))))
        process.kill()
        process.wait()
        tasks.cancel_scope.cancel()


async def _measure_daemon(
    daemon: Endpoint, remote_count: int, seconds: float, before_mb: float
) -> HeartbeatCost:
    heartbeats, before = sum(daemon.heartbeats.values()), daemon.links.get_link_stats()
    cpu_s, started = time.process_time(), time.monotonic()
    await anyio.sleep(seconds)
    cpu_s, elapsed_s = time.process_time() - cpu_s, time.monotonic() - started
    heartbeats, after = sum(daemon.heartbeats.values()) - heartbeats, daemon.links.get_link_stats()
    started_exchanges = sum(link.exchanges for link in after) - sum(
        link.exchanges for link in before
    )
    frame_bytes = (_sum_bytes(after) - _sum_bytes(before)) / started_exchanges
    return HeartbeatCost(
        peers=len(before),
        remote=remote_count,
        cpu_percent_of_core=100 * cpu_s / elapsed_s,
        exchanges_per_s=heartbeats / elapsed_s,
        frame_bytes_per_exchange=frame_bytes,
        frame_bytes_per_s=frame_bytes * heartbeats / elapsed_s,
        wire_bytes_per_s=(frame_bytes + TRANSPORT_BYTES) * heartbeats / elapsed_s,
        resident_mb=_read_resident_mb(),
        resident_mb_before_links=before_mb,
        threads=len(os.listdir("/proc/self/task")),
    )


def _start_peers(peer_count: int, remote_count: int, address: str) -> subprocess.Popen[str]:
    module = "fireflybridge_standins.peer_probe.measure"
    counts = ["--peers", str(peer_count), "--remote", str(remote_count)]
    command = [sys.executable, "-m", module, "peers", *counts, "--daemon", address]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


async def serve_peers(peer_count: int, remote_count: int, daemon_address: str) -> None:
    """Print the addresses of new peers of the daemon at an address and run them until killed."""
    names = [f"{'a' if number % 2 else 'z'}{number}" for number in range(peer_count)]
    peers = [Endpoint(name, KEY) for name in names]
    remote = set(names[:remote_count])
    async with anyio.create_task_group() as tasks:
        ready = {
            peer.name: {
                "address": await tasks.start(peer.links.run),
                "remote": peer.name in remote,
            }
            for peer in peers
        }
        print(json.dumps(ready), flush=True)
        for peer in peers:
            peer.links.connect("m", daemon_address, remote=peer.name in remote)


def _sum_bytes(links: tuple[LinkStats, ...]) -> int:
    return sum(link.sent_bytes + link.received_bytes for link in links)


def _read_resident_mb() -> float:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


if __name__ == "__main__":
    main()
