"""Run the collector stand-in, which serves OTLP over HTTP and control requests on one port."""

import argparse
import json
import signal
from dataclasses import asdict
from typing import Any

import anyio

from fireflybridge_standins.collector._spans import (
    CollectedSpan,
    MalformedSpanError,
    decode_request,
)
from fireflybridge_standins.control import serve_control


class Collector:
    """Collected spans, errors of malformed requests, and whether spans are refused."""

    def __init__(self) -> None:
        self._spans: list[CollectedSpan] = []
        self._malformed: list[str] = []
        self._refuses = False

    def handle(self, method: str, path: str, body: bytes) -> Any:
        """Serve one request and return the response body, or ``None`` to refuse it."""
        match (method, path):
            case ("POST", "/v1/traces") if not self._refuses:
                return self._collect_spans(body)
            case ("GET", "/control/spans"):
                return [asdict(span) for span in self._spans]
            case ("GET", "/control/malformed"):
                return self._malformed
            case ("PUT", "/control/fault"):
                self._refuses = json.loads(body)["fault"] == "refuse"
                return {}
            case _:
                return None

    def _collect_spans(self, body: bytes) -> Any:
        try:
            self._spans.extend(list(decode_request(json.loads(body))))
        except (MalformedSpanError, KeyError, TypeError, ValueError) as error:
            self._malformed.append(repr(error))
            return None
        return {}


async def serve(address: str) -> None:
    """Serve until SIGTERM or SIGINT."""
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            bound_address = await group.start(serve_control, address, Collector().handle)
            print(json.dumps({"ready": True, "address": bound_address}), flush=True)
            await anext(signals)
            group.cancel_scope.cancel()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Run a collector stand-in on loopback.")
    parser.add_argument("--address", default="127.0.0.1:0")
    anyio.run(serve, parser.parse_args().address)
