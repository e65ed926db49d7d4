"""Clients of the platform's log and host list, which speak JSON over HTTP.

No other module depends on this protocol. Every failure, including a malformed or oversized
response, is returned as an error with the name of the step and the platform's address.
"""

import ipaddress
import re
from collections.abc import Mapping
from dataclasses import dataclass
from types import TracebackType
from typing import Annotated, Self, TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
from result import Err, Ok, Result

from fireflybridge_core import StepError
from fireflybridge_platform._interface import (
    AppendFailure,
    Host,
    MayBeAppended,
    NotAppended,
    Page,
    Record,
)

CONNECT_TIMEOUT_S = 1.0
APPEND_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 5.0
# A page holds up to 1 MiB of payload, or one larger record; base64 and JSON add about 40%.
MAX_RESPONSE_BYTES = 8 << 20
MAX_DETAIL_CHARACTERS = 200
MAX_OFFSET = 2**63 - 1

Body = TypeVar("Body")
Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, complete body and entity tag of a response."""

    status: int
    body: bytes
    etag: str = ""


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this process."""

    detail: str


@dataclass(frozen=True, slots=True)
class NoResponse:
    """The request may have arrived, and no complete response was received."""

    detail: str


Exchange = HttpResponse | NotSent | NoResponse


@dataclass(frozen=True, slots=True)
class AppendResponse:
    """Body of the response to a successful append."""

    offset: Offset


@dataclass(frozen=True, slots=True)
class AppendRefusal:
    """Body of an error response that says whether the append took effect."""

    appended: bool


@dataclass(frozen=True, slots=True)
class RecordEntry:
    """A record in the response to a read; the payload is base64 in JSON."""

    offset: Offset
    payload: bytes


@dataclass(frozen=True, slots=True)
class ReadResponse:
    """Body of the response to a read."""

    records: tuple[RecordEntry, ...]
    first_offset: Offset
    next_offset: Offset
    end_offset: Offset


@dataclass(frozen=True, slots=True)
class HostsResponse:
    """Body of the response with the host list."""

    hosts: tuple[Host, ...]


class _ConnectionPool:
    """Connection pool to the platform."""

    def __init__(self, base_url: str, connect_timeout_s: float, max_response_bytes: int) -> None:
        self.base_url = base_url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._max_response_bytes = max_response_bytes
        self._client = httpx.AsyncClient(
            # Requests to the platform must not go through proxies that the environment names.
            trust_env=False,
            # Loading the CA certificates takes tens of ms and is not needed for plain HTTP.
            verify=base_url.startswith("https:"),
            headers={"accept-encoding": "identity"},
        )

    async def close(self) -> None:
        """Close every connection of the pool."""
        await self._client.aclose()

    async def exchange(
        self,
        method: str,
        path: str,
        timeout_s: float,
        *,
        content: bytes | None = None,
        query: Mapping[str, int] | None = None,
        etag: str = "",
    ) -> Exchange:
        """Send one request and read its complete response within ``timeout_s`` seconds."""
        connect_s = min(self._connect_timeout_s, timeout_s)
        headers = {"if-none-match": etag} if etag else None
        timeout = httpx.Timeout(timeout_s, connect=connect_s, pool=connect_s)
        try:
            with anyio.fail_after(timeout_s):
                async with self._client.stream(
                    method,
                    self.base_url + path,
                    content=content,
                    params=query,
                    headers=headers,
                    timeout=timeout,
                ) as response:
                    return await self._read_response(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return NotSent(_format_error(error))
        except TimeoutError:
            return NoResponse(f"no complete response within {timeout_s} s")
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return NoResponse(_format_error(error))

    async def _read_response(self, response: httpx.Response) -> Exchange:
        body = bytearray()
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > self._max_response_bytes:
                return NoResponse(f"the response exceeds {self._max_response_bytes} bytes")
        return HttpResponse(response.status_code, bytes(body), response.headers.get("etag", ""))


class _ClientBase:
    """Context manager that closes the connection pool on exit."""

    _pool: _ConnectionPool

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._pool.close()


class HttpLog(_ClientBase):
    """Client of the log service; implements ``Log``.

    The timeouts, in seconds, cover a whole call; a read may take its ``wait_s`` in addition.
    """

    def __init__(
        self,
        base_url: str,
        *,
        append_timeout_s: float = APPEND_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._pool = _ConnectionPool(base_url, connect_timeout_s, max_response_bytes)
        self._append_timeout_s = append_timeout_s
        self._read_timeout_s = read_timeout_s

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append one record and return its offset."""
        exchange = await self._pool.exchange(
            "POST", _build_path(stream), self._append_timeout_s, content=payload
        )
        return classify_append(exchange, self._pool.base_url)

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, waiting up to ``wait_s`` seconds for the first one."""
        exchange = await self._pool.exchange(
            "GET",
            _build_path(stream),
            self._read_timeout_s + wait_s,
            query={"start": start, "limit": limit, "wait_ms": round(wait_s * 1000)},
        )
        return decode_page(exchange, start, self._pool.base_url)


class HttpHostList(_ClientBase):
    """Client of the host list; implements ``HostList``.

    The timeouts, in seconds, cover a whole call.

    Requests carry the entity tag of the last list, as reading all 1,027 hosts each second took
    108 KB/s. An unchanged list is returned as the same tuple.
    """

    def __init__(
        self,
        base_url: str,
        *,
        read_timeout_s: float = READ_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
    ) -> None:
        self._pool = _ConnectionPool(base_url, connect_timeout_s, max_response_bytes)
        self._read_timeout_s = read_timeout_s
        self._etag = ""
        self._hosts: tuple[Host, ...] = ()

    async def list_hosts(self) -> Result[tuple[Host, ...], StepError]:
        """Return every live and leaving host."""
        exchange = await self._pool.exchange(
            "GET", "/v1/hosts", self._read_timeout_s, etag=self._etag
        )
        match exchange:
            case HttpResponse(status=304) if self._etag:
                return Ok(self._hosts)
            case HttpResponse(etag=etag):
                decoded = decode_hosts(exchange, self._pool.base_url)
                if isinstance(decoded, Ok):
                    self._etag, self._hosts = etag, decoded.ok_value
                return decoded
            case _:
                return decode_hosts(exchange, self._pool.base_url)


def classify_append(exchange: Exchange, peer: str) -> Result[int, AppendFailure]:
    """Return the offset of an append, or whether the failed append may have taken effect.

    Only an unsent request, or a 503 whose body says so, proves that nothing was appended.
    """
    match exchange:
        case NotSent(detail):
            return Err(NotAppended(StepError("log.append", peer, detail)))
        case NoResponse(detail):
            return Err(MayBeAppended(StepError("log.append", peer, detail)))
        case HttpResponse(status, body):
            error = StepError("log.append", peer, _format_response(status, body))
            match status, _decode(body, AppendResponse), _decode(body, AppendRefusal):
                case 201, Ok(AppendResponse(offset)), _:
                    return Ok(offset)
                case 503, _, Ok(AppendRefusal(appended=False)):
                    return Err(NotAppended(error))
            return Err(MayBeAppended(error))


def decode_page(exchange: Exchange, start: int, peer: str) -> Result[Page, StepError]:
    """Check the response to a read from ``start`` and return its page."""
    match _decode_response(exchange, ReadResponse, "log.read", peer):
        case Ok(body):
            fault = _find_page_fault(body, start)
            if fault:
                return Err(StepError("log.read", peer, fault))
            records = tuple(Record(record.offset, record.payload) for record in body.records)
            return Ok(Page(records, body.first_offset, body.next_offset, body.end_offset))
        case Err(error):
            return Err(error)


def decode_hosts(exchange: Exchange, peer: str) -> Result[tuple[Host, ...], StepError]:
    """Check the response with the host list and return the hosts."""
    match _decode_response(exchange, HostsResponse, "hosts.list", peer):
        case Ok(body):
            invalid = [host.name for host in body.hosts if not _is_address(host.address)]
            if invalid:
                names = ", ".join(invalid)[:MAX_DETAIL_CHARACTERS]
                return Err(StepError("hosts.list", peer, f"address is not ip:port: {names}"))
            return Ok(body.hosts)
        case Err(error):
            return Err(error)


def _find_page_fault(body: ReadResponse, start: int) -> str:
    """Say what is wrong with a page, or return an empty text.

    A reader that accepts a page with a gap misses claims and revisions.
    """
    first = max(start, body.first_offset)
    offsets = [record.offset for record in body.records]
    if offsets != list(range(first, first + len(offsets))):
        return f"the records do not follow each other from offset {first}"
    if body.next_offset != first + len(offsets):
        return f"next_offset {body.next_offset} does not follow the last record"
    if body.first_offset > body.end_offset or (offsets and offsets[-1] >= body.end_offset):
        return f"end_offset {body.end_offset} is too low"
    return ""


def _decode_response(
    exchange: Exchange, body_type: type[Body], step: str, peer: str
) -> Result[Body, StepError]:
    match exchange:
        case NotSent(detail) | NoResponse(detail):
            return Err(StepError(step, peer, detail))
        case HttpResponse(200, body):
            return _decode(body, body_type).map_err(
                lambda detail: StepError(step, peer, f"malformed response: {detail}")
            )
        case HttpResponse(status, body):
            return Err(StepError(step, peer, _format_response(status, body)))


def _decode(body: bytes, body_type: type[Body]) -> Result[Body, str]:
    try:
        return Ok(msgspec.json.decode(body, type=body_type))
    # msgspec raises UnicodeDecodeError, which is a ValueError, for strings that are not UTF-8.
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return Err(str(error)[:MAX_DETAIL_CHARACTERS])


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return re.fullmatch(r"[0-9]{1,5}", port) is not None and 0 < int(port) < 65536


def _build_path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}/records"


def _format_response(status: int, body: bytes) -> str:
    text = body[:MAX_DETAIL_CHARACTERS].decode(errors="replace")
    return f"status {status}: {text}"


def _format_error(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARACTERS]
