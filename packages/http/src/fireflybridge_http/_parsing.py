"""Incremental parsers of HTTP/1.1 requests and responses over llhttp."""

from collections import deque

import httptools

from fireflybridge_http._messages import Request, Response

LlhttpParser = httptools.HttpRequestParser | httptools.HttpResponseParser
HTTP_1_1 = "1.1"
FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
INFORMATIONAL = range(100, 200)
MAX_RESPONSE_HEAD_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


class ParseError(Exception):
    """Signal input that is not valid HTTP/1.1 or exceeds a limit; ``status`` answers a request."""

    def __init__(self, reason: str, status: int = 400) -> None:
        super().__init__(reason)
        self.status = status


class _MessageParser:
    """Collect the parts of the message being parsed; its methods are called by llhttp."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._in_message = False
        self._in_head = False
        self._clear()

    def _clear(self) -> None:
        self._head_bytes = 0
        self._headers: list[tuple[str, str]] = []
        self._chunks: list[bytes] = []
        self._body_bytes = 0

    def _feed(self, parser: LlhttpParser, data: bytes) -> None:
        """Parse bytes; raise ``ParseError`` if they are invalid or exceed a limit."""
        try:
            parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, ParseError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise ParseError(str(error)) from error
        if self._in_head:
            # llhttp reports a header only when it is complete, so a long one is counted here.
            self._count_head(len(data))

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._max_head_bytes:
            raise ParseError("head too large")

    # Called by llhttp

    def on_message_begin(self) -> None:
        self._in_message = self._in_head = True
        self._clear()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        if self._in_head:
            # Trailers of a chunked body are dropped, so that they can't pass for headers.
            self._headers.append((name.decode("ascii").lower(), value.decode("latin-1").strip()))

    def on_body(self, data: bytes) -> None:
        self._chunks.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._max_body_bytes:
            raise ParseError("body too large", 413)


class RequestParser(_MessageParser):
    """Parse the requests of one connection, which may follow each other without a pause."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        """Limit the size of a request's head and body in bytes."""
        super().__init__(max_head_bytes, max_body_bytes)
        self.requests: deque[Request] = deque()
        """Complete requests in order of arrival, which the caller removes."""
        self.keep_alive = True
        """Whether the client expects the connection to stay open after its last request."""
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._expects_continue = False

    @property
    def in_request(self) -> bool:
        """Return whether a request has begun and is not complete."""
        return self._in_message

    def set_limits(self, max_head_bytes: int, max_body_bytes: int) -> None:
        """Limit the size of the next requests in bytes."""
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes

    def feed(self, data: bytes) -> None:
        """Parse bytes and append complete requests; raise ``ParseError`` if they are invalid."""
        try:
            self._feed(self._parser, data)
        except httptools.HttpParserUpgrade:
            # Answered as a plain request; what follows it would be of the other protocol.
            self.keep_alive = False

    def take_continue(self) -> bool:
        """Return, once for each request, whether its client waits before it sends the body."""
        waits = self._expects_continue and self._in_message and not self._in_head
        self._expects_continue = self._expects_continue and not waits
        return waits

    # Called by llhttp

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._target = b""
        self._expects_continue = False

    def on_url(self, target: bytes) -> None:
        self._count_head(len(target))
        self._target += target

    def on_headers_complete(self) -> None:
        self._in_head = False
        names = [name for name, _ in self._headers]
        version = self._parser.get_http_version()
        if names.count("host") > 1 or ("host" not in names and version == HTTP_1_1):
            raise ParseError("the Host header is missing or repeated")
        self.keep_alive = version == HTTP_1_1 and self._parser.should_keep_alive()
        expectations = [value for name, value in self._headers if name == "expect"]
        self._expects_continue = expectations == ["100-continue"] and version == HTTP_1_1

    def on_message_complete(self) -> None:
        self._in_message = False
        method = self._parser.get_method().decode("ascii")
        target = self._target.decode("latin-1")
        body = b"".join(self._chunks)
        self.requests.append(Request(method, target, tuple(self._headers), body))


class ResponseParser(_MessageParser):
    """Parse the response to one request at a time."""

    def __init__(self) -> None:
        super().__init__(MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_BYTES)
        self.response: Response | None = None
        """The response, once it is complete."""
        self.keep_alive = False
        """Whether the connection can be used again after the response."""
        self._parser = httptools.HttpResponseParser(self)
        self._has_excess = False

    def start(self) -> None:
        """Expect the response to the next request."""
        self.response = None

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise ``ParseError`` if they are invalid before the response is complete."""
        try:
            self._feed(self._parser, data)
        except httptools.HttpParserUpgrade as error:
            raise ParseError("the peer switched protocols") from error
        except ParseError:
            if self.response is None:
                raise
            self._has_excess = True
        if self._has_excess:
            self.keep_alive = False

    def end(self) -> None:
        """Complete a response that ends with the connection; otherwise leave it incomplete."""
        names = {name for name, _ in self._headers}
        if self._in_message and not self._in_head and not names & FRAMING_HEADERS:
            self.on_message_complete()
            self.keep_alive = False

    # Called by llhttp

    def on_message_begin(self) -> None:
        self._has_excess = self.response is not None
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        self._in_head = False

    def on_message_complete(self) -> None:
        self._in_message = False
        status = self._parser.get_status_code()
        if status in INFORMATIONAL or self._has_excess:
            return
        self.response = Response(status, b"".join(self._chunks), tuple(self._headers))
        version = self._parser.get_http_version()
        self.keep_alive = version == HTTP_1_1 and self._parser.should_keep_alive()
