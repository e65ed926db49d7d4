"""HTTP API of the operators' port as an ASGI application."""

from typing import Any

import msgspec

from fireflybridge_front._interfaces import Operations

TEXT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
JSON_TYPE = (b"content-type", b"application/json")


class OperatorsApp:
    """Serve metrics, health and status on a port that is not exposed to callers."""

    def __init__(self, operations: Operations) -> None:
        self._operations = operations

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one ASGI request."""
        if scope["type"] != "http":
            return
        status, header, body = self._respond(scope["method"], scope["path"])
        headers = [header, (b"content-length", b"%d" % len(body))]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    def _respond(self, method: str, path: str) -> tuple[int, tuple[bytes, bytes], bytes]:
        match (method, path):
            case ("GET", "/metrics"):
                return 200, TEXT_TYPE, self._operations.render_metrics()
            case ("GET", "/health/live"):
                return 200, TEXT_TYPE, b"live\n"
            case ("GET", "/health/ready") if self._operations.is_ready():
                return 200, TEXT_TYPE, b"ready\n"
            case ("GET", "/health/ready"):
                return 503, TEXT_TYPE, b"not ready\n"
            case ("GET", "/v1/status"):
                return 200, JSON_TYPE, msgspec.json.encode(self._operations.describe_status())
            case _:
                return 404, TEXT_TYPE, b"not found\n"
