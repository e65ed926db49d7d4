"""Control requests of the worker stand-in: set faults, read start records and counters."""

import json
from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

from fireflybridge_standins.worker._worker import Fault, Worker


def get_counters(worker: Worker) -> dict[str, Any]:
    """Return the counters of a worker."""
    return {
        "name": worker.name,
        "running": worker.running,
        "peak_running": worker.peak_running,
        "peak_connections": worker.peak_connections,
        "refused": worker.refused,
        "started": worker.started,
    }


def handle_control(workers: Sequence[Worker], method: str, path: str, body: bytes) -> Any:
    """Serve one control request and return the response body, ``None`` for an unknown path."""
    match (method, path):
        case ("GET", "/control/starts"):
            return [asdict(start) for worker in workers for start in worker.starts]
        case ("GET", "/control/counters"):
            return [get_counters(worker) for worker in workers]
        case ("PUT", "/control/fault"):
            change = json.loads(body)
            for worker in workers:
                if change.get("worker", worker.name) == worker.name:
                    worker.fault = Fault(change["fault"])
            return {}
        case _:
            return None
