"""Control requests of the worker stand-in: faults, start records and counters."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from fireflybridge_standins.worker._behaviour import Fault, Worker


def describe(worker: Worker) -> dict[str, Any]:
    """Return a worker's counters."""
    return {
        "name": worker.name,
        "running": worker.running,
        "peak_running": worker.peak_running,
        "peak_connections": worker.peak_connections,
        "refused": worker.refused,
        "started": worker.started,
    }


def handle_control(workers: Sequence[Worker], method: str, path: str, body: bytes) -> Any:
    """Carry out one control request and return its JSON answer."""
    match (method, path):
        case ("GET", "/control/starts"):
            return [asdict(start) for worker in workers for start in worker.starts]
        case ("GET", "/control/counters"):
            return [describe(worker) for worker in workers]
        case ("PUT", "/control/fault"):
            order = json.loads(body)
            for worker in workers:
                if order.get("worker", worker.name) == worker.name:
                    worker.fault = Fault(order["fault"])
            return {}
        case _:
            return None
