"""Client of the HTTP API that a daemon offers to callers."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import httpx
from result import Err, Ok, Result

# Errors raised before a request is sent. A job can be resubmitted after any error: the daemon
# recognizes the key, so nothing starts twice.
NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)


@dataclass(frozen=True, slots=True)
class Job:
    """Hold a job to submit."""

    key: str
    route: str
    bodies: Sequence[str]
    team: str = ""
    deadline_ms: int | None = None
    respond_async: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a complete response; ``data`` is empty if the body is not a JSON object."""

    status: int
    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class NoResponse:
    """State that no complete response arrived, and whether the request may have been sent."""

    url: str
    detail: str
    may_be_sent: bool

    def __str__(self) -> str:
        return f"{self.url}: {self.detail}"


Exchange = Result[Response, NoResponse]


class Client:
    """Send requests to one daemon, or to the load balancer in front of several."""

    def __init__(self, base_url: str, timeout_s: float, connections: int = 1) -> None:
        self._base_url = base_url.rstrip("/")
        limits = httpx.Limits(max_connections=connections, max_keepalive_connections=connections)
        timeout = httpx.Timeout(timeout_s, pool=None)
        self._http = httpx.AsyncClient(timeout=timeout, limits=limits, trust_env=False)

    async def __aenter__(self) -> "Client":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._http.aclose()

    async def fetch_prefix(self) -> Exchange:
        """Request a prefix for keys whose jobs only the issuing daemon may start."""
        return await self._exchange("POST", "/v1/key-prefixes")

    async def submit(self, job: Job) -> Exchange:
        """Submit a job."""
        headers = {"Idempotency-Key": job.key, "Content-Type": "application/json"}
        if job.team:
            headers["Fireflybridge-Team"] = job.team
        if job.respond_async:
            headers["Prefer"] = "respond-async"
        body: dict[str, Any] = {
            "route": job.route,
            "tasks": [{"body": body} for body in job.bodies],
        }
        if job.deadline_ms is not None:
            body["deadline_ms"] = job.deadline_ms
        return await self._exchange("POST", "/v1/jobs", headers, json.dumps(body).encode())

    async def fetch(self, key: str, wait_ms: int = 0) -> Exchange:
        """Fetch the state of a job, waiting up to ``wait_ms`` for its answer."""
        query = f"?wait_ms={wait_ms}" if wait_ms else ""
        return await self._exchange("GET", f"/v1/jobs/{quote(key, safe='')}{query}")

    async def cancel(self, key: str) -> Exchange:
        """Cancel a job."""
        return await self._exchange("DELETE", f"/v1/jobs/{quote(key, safe='')}")

    async def fetch_status(self) -> Exchange:
        """Fetch the status of a daemon; the URL must be that of its operators' port."""
        return await self._exchange("GET", "/v1/status")

    async def _exchange(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> Exchange:
        url = self._base_url + path
        try:
            response = await self._http.request(method, url, headers=headers, content=body)
        except (httpx.HTTPError, httpx.InvalidURL, UnicodeEncodeError) as error:
            detail = str(error) or type(error).__name__
            may_be_sent = isinstance(error, httpx.HTTPError) and not isinstance(
                error, NOT_SENT_ERRORS
            )
            return Err(NoResponse(self._base_url, detail, may_be_sent))
        try:
            data = response.json()
        except ValueError:
            data = {}
        return Ok(Response(response.status_code, data if isinstance(data, dict) else {}))
