"""Speak the platform's protocol: JSON over HTTP.

The only module that knows this protocol. Every failure, also of an answer that is malformed or
too large, is returned as an error that names the step and the platform's address.
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
MAX_ANSWER_BYTES = 8 << 20
MAX_DETAIL_CHARACTERS = 200
MAX_OFFSET = 2**63 - 1

Body = TypeVar("Body")
Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_OFFSET)]


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the status, the whole body and the entity tag of an answer."""

    status: int
    body: bytes
    etag: str = ""


@dataclass(frozen=True, slots=True)
class Unsent:
    """State that no byte of the request left this process."""

    detail: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """State that the request may have arrived and no whole answer came back."""

    detail: str


Exchange = Answer | Unsent | Unanswered


@dataclass(frozen=True, slots=True)
class AppendBody:
    """Hold the answer to an append."""

    offset: Offset


@dataclass(frozen=True, slots=True)
class RefusalBody:
    """Hold a refusal that says whether the append took effect."""

    appended: bool


@dataclass(frozen=True, slots=True)
class RecordBody:
    """Hold one record; JSON carries the payload as base64."""

    offset: Offset
    payload: bytes


@dataclass(frozen=True, slots=True)
class PageBody:
    """Hold the answer to a read."""

    records: tuple[RecordBody, ...]
    first_offset: Offset
    next_offset: Offset
    end_offset: Offset


@dataclass(frozen=True, slots=True)
class HostsBody:
    """Hold the answer with the host list."""

    hosts: tuple[Host, ...]


class _Connection:
    """Own one connection pool to the platform."""

    def __init__(self, base_url: str, connect_timeout_s: float, max_answer_bytes: int) -> None:
        self.base_url = base_url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._client = httpx.AsyncClient(
            # Proxies named in the environment must not come between a daemon and the platform.
            trust_env=False,
            # Loading the certificate authorities takes tens of ms, which plain HTTP can save.
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
        limit_s: float,
        *,
        content: bytes | None = None,
        query: Mapping[str, int] | None = None,
        etag: str = "",
    ) -> Exchange:
        """Send one request and read its whole answer within ``limit_s`` seconds."""
        connect_s = min(self._connect_timeout_s, limit_s)
        headers = {"if-none-match": etag} if etag else None
        timeout = httpx.Timeout(limit_s, connect=connect_s, pool=connect_s)
        try:
            with anyio.fail_after(limit_s):
                async with self._client.stream(
                    method,
                    self.base_url + path,
                    content=content,
                    params=query,
                    headers=headers,
                    timeout=timeout,
                ) as response:
                    return await self._read_answer(response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            return Unsent(_describe(error))
        except TimeoutError:
            return Unanswered(f"no whole answer within {limit_s} s")
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Unanswered(_describe(error))

    async def _read_answer(self, response: httpx.Response) -> Exchange:
        body = bytearray()
        async for chunk in response.aiter_raw():
            body += chunk
            if len(body) > self._max_answer_bytes:
                return Unanswered(f"the answer exceeds {self._max_answer_bytes} bytes")
        return Answer(response.status_code, bytes(body), response.headers.get("etag", ""))


class _Client:
    """Own a connection to the platform for the time of an ``async with``."""

    _connection: _Connection

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._connection.close()


class HttpLog(_Client):
    """Reach the log service; implements ``Log``.

    The time limits, in seconds, hold for a whole call; a read may also wait for its ``wait_s``.
    """

    def __init__(
        self,
        base_url: str,
        *,
        append_timeout_s: float = APPEND_TIMEOUT_S,
        read_timeout_s: float = READ_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._connection = _Connection(base_url, connect_timeout_s, max_answer_bytes)
        self._append_timeout_s = append_timeout_s
        self._read_timeout_s = read_timeout_s

    async def append(self, stream: str, payload: bytes) -> Result[int, AppendFailure]:
        """Append one record and return its offset."""
        exchange = await self._connection.exchange(
            "POST", _make_path(stream), self._append_timeout_s, content=payload
        )
        return classify_append(exchange, self._connection.base_url)

    async def read(
        self, stream: str, start: int, *, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Page, StepError]:
        """Read records from ``start``, waiting up to ``wait_s`` seconds for the first one."""
        exchange = await self._connection.exchange(
            "GET",
            _make_path(stream),
            self._read_timeout_s + wait_s,
            query={"start": start, "limit": limit, "wait_ms": round(wait_s * 1000)},
        )
        return decode_page(exchange, start, self._connection.base_url)


class HttpHostList(_Client):
    """Reach the host list; implements ``HostList``. Time limits are seconds for a whole call.

    The list is asked for under the entity tag of the last one: reading 1,027 hosts whole each second
    took 108 KB/s. An unchanged list is returned as the same tuple.
    """

    def __init__(
        self,
        base_url: str,
        *,
        read_timeout_s: float = READ_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._connection = _Connection(base_url, connect_timeout_s, max_answer_bytes)
        self._read_timeout_s = read_timeout_s
        self._etag = ""
        self._hosts: tuple[Host, ...] = ()

    async def list_hosts(self) -> Result[tuple[Host, ...], StepError]:
        """Return every live and leaving host."""
        exchange = await self._connection.exchange(
            "GET", "/v1/hosts", self._read_timeout_s, etag=self._etag
        )
        match exchange:
            case Answer(status=304) if self._etag:
                return Ok(self._hosts)
            case Answer(etag=etag):
                decoded = decode_hosts(exchange, self._connection.base_url)
                if isinstance(decoded, Ok):
                    self._etag, self._hosts = etag, decoded.ok_value
                return decoded
            case _:
                return decode_hosts(exchange, self._connection.base_url)


def classify_append(exchange: Exchange, peer: str) -> Result[int, AppendFailure]:
    """Decide what an append's exchange proves about its effect.

    Only a request that was never sent and a 503 whose body says so prove that nothing happened.
    """
    match exchange:
        case Unsent(detail):
            return Err(NotAppended(StepError("log.append", peer, detail)))
        case Unanswered(detail):
            return Err(MayBeAppended(StepError("log.append", peer, detail)))
        case Answer(status, body):
            error = StepError("log.append", peer, _quote_answer(status, body))
            match status, _decode(body, AppendBody), _decode(body, RefusalBody):
                case 201, Ok(AppendBody(offset)), _:
                    return Ok(offset)
                case 503, _, Ok(RefusalBody(appended=False)):
                    return Err(NotAppended(error))
            return Err(MayBeAppended(error))


def decode_page(exchange: Exchange, start: int, peer: str) -> Result[Page, StepError]:
    """Check an answer to a read from ``start`` and return its page."""
    match _decode_answer(exchange, PageBody, "log.read", peer):
        case Ok(body):
            fault = _find_page_fault(body, start)
            if fault:
                return Err(StepError("log.read", peer, fault))
            records = tuple(Record(record.offset, record.payload) for record in body.records)
            return Ok(Page(records, body.first_offset, body.next_offset, body.end_offset))
        case Err(error):
            return Err(error)


def decode_hosts(exchange: Exchange, peer: str) -> Result[tuple[Host, ...], StepError]:
    """Check an answer with the host list and return the hosts."""
    match _decode_answer(exchange, HostsBody, "hosts.list", peer):
        case Ok(body):
            faulty = [host.name for host in body.hosts if not _is_address(host.address)]
            if faulty:
                names = ", ".join(faulty)[:MAX_DETAIL_CHARACTERS]
                return Err(StepError("hosts.list", peer, f"address is not ip:port: {names}"))
            return Ok(body.hosts)
        case Err(error):
            return Err(error)


def _find_page_fault(body: PageBody, start: int) -> str:
    """Name what is wrong with a page; a gap would hide claims and revisions from its reader."""
    first = max(start, body.first_offset)
    offsets = [record.offset for record in body.records]
    if offsets != list(range(first, first + len(offsets))):
        return f"the records do not follow each other from offset {first}"
    if body.next_offset != first + len(offsets):
        return f"next_offset {body.next_offset} does not follow the last record"
    if body.first_offset > body.end_offset or (offsets and offsets[-1] >= body.end_offset):
        return f"end_offset {body.end_offset} is too low"
    return ""


def _decode_answer(
    exchange: Exchange, kind: type[Body], step: str, peer: str
) -> Result[Body, StepError]:
    match exchange:
        case Unsent(detail) | Unanswered(detail):
            return Err(StepError(step, peer, detail))
        case Answer(200, body):
            return _decode(body, kind).map_err(
                lambda detail: StepError(step, peer, f"malformed answer: {detail}")
            )
        case Answer(status, body):
            return Err(StepError(step, peer, _quote_answer(status, body)))


def _decode(body: bytes, kind: type[Body]) -> Result[Body, str]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
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


def _make_path(stream: str) -> str:
    return f"/v1/streams/{quote(stream, safe='')}/records"


def _quote_answer(status: int, body: bytes) -> str:
    text = body[:MAX_DETAIL_CHARACTERS].decode(errors="replace")
    return f"status {status}: {text}"


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARACTERS]
