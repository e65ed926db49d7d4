"""Raw HTTP requests and responses, valid and invalid, by name."""

from dataclasses import dataclass
from itertools import chain

LARGE_HEAD_BYTES = 4096
LARGE_BODY_BYTES = 8192


def make_request(*fields: bytes, body: bytes = b"", line: bytes = b"POST /path HTTP/1.1") -> bytes:
    return b"\r\n".join((line, *fields)) + b"\r\n\r\n" + body


HOST = b"Host: x"
PLAIN = make_request(HOST, b"Content-Length: 5", body=b"hello")
CHUNKS = b"3\r\nhel\r\n2;note=1\r\nlo\r\n0\r\n"
CHUNKED = make_request(HOST, b"Transfer-Encoding: chunked", body=CHUNKS + b"\r\n")
LARGE_CHUNK = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"

# Each example is a list of segments that are sent one after the other.
RAW_REQUESTS: dict[str, tuple[bytes, ...]] = {
    "with a length": (PLAIN,),
    "without a body": (make_request(HOST, line=b"GET /path HTTP/1.1"),),
    "in chunks": (CHUNKED,),
    "in chunks with a trailer": (
        make_request(HOST, b"Transfer-Encoding: chunked", body=CHUNKS + b"x-sum: 1\r\n\r\n"),
    ),
    "two in one segment": (PLAIN + CHUNKED,),
    "three of which one is bad": (PLAIN + b"nonsense\r\n\r\n" + PLAIN,),
    "expecting 100-continue": (
        make_request(HOST, b"Content-Length: 5", b"Expect: 100-continue"),
        b"hello",
    ),
    "of HTTP/1.0": (make_request(b"Content-Length: 5", body=b"hello", line=b"POST / HTTP/1.0"),),
    "of HTTP/1.0 to be kept": (
        make_request(
            b"Content-Length: 5", b"Connection: keep-alive", body=b"hello", line=b"POST / HTTP/1.0"
        ),
    ),
    "with connection close": (
        make_request(HOST, b"Content-Length: 5", b"Connection: close", body=b"hello"),
    ),
    "asking for an upgrade": (
        make_request(HOST, b"Connection: Upgrade", b"Upgrade: websocket", line=b"GET / HTTP/1.1"),
    ),
    "with two lengths": (
        make_request(HOST, b"Content-Length: 5", b"Content-Length: 6", body=b"hello!"),
    ),
    "with a length and chunks": (
        make_request(
            HOST, b"Content-Length: 5", b"Transfer-Encoding: chunked", body=CHUNKS + b"\r\n"
        ),
    ),
    "with a negative length": (make_request(HOST, b"Content-Length: -5", body=b"hello"),),
    "with a length of text": (make_request(HOST, b"Content-Length: five", body=b"hello"),),
    "with a bad chunk size": (
        make_request(HOST, b"Transfer-Encoding: chunked", body=b"xyz\r\nhello\r\n0\r\n\r\n"),
    ),
    "with an unknown encoding": (make_request(HOST, b"Transfer-Encoding: zip", body=b"hello"),),
    "without a host": (make_request(b"Content-Length: 5", body=b"hello"),),
    "with two hosts": (make_request(HOST, HOST, b"Content-Length: 5", body=b"hello"),),
    "with a space in a name": (make_request(HOST, b"x y: 1"),),
    "with a folded header": (make_request(HOST, b"x: 1\r\n 2"),),
    "with a NUL in a value": (make_request(HOST, b"x: 1\x002"),),
    "with a large head": (make_request(HOST, b"x: " + b"y" * LARGE_HEAD_BYTES),),
    "with a large unended head": (
        b"POST / HTTP/1.1\r\nHost: x\r\n",
        b"x: " + b"y" * LARGE_HEAD_BYTES,
    ),
    "with a large target": (
        make_request(HOST, line=b"GET /" + b"y" * LARGE_HEAD_BYTES + b" HTTP/1.1"),
    ),
    "with a large body": (
        make_request(HOST, b"Content-Length: %d" % LARGE_BODY_BYTES, body=b"x" * LARGE_BODY_BYTES),
    ),
    "with large chunks": (
        make_request(HOST, b"Transfer-Encoding: chunked", body=LARGE_CHUNK * 2 + b"0\r\n\r\n"),
    ),
    "of HTTP/2 by preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",),
    "of another protocol": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",),
}

SERIES = PLAIN + CHUNKED + make_request(HOST, line=b"GET /path HTTP/1.1") + PLAIN


def _make_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


SERIES_RESPONSES = b"".join(map(_make_response, (b"hello", b"hello", b"", b"hello")))
DAMAGE_SOURCES = tuple(b"".join(segments) for segments in RAW_REQUESTS.values())


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """The segments of a scripted response, and whether the peer disconnects after them."""

    segments: tuple[bytes, ...]
    disconnects: bool = False


OK = b"HTTP/1.1 200 OK\r\n"
WITH_LENGTH = OK + b"content-length: 5\r\n\r\nhello"

PEER_RESPONSES: dict[str, PeerResponse] = {
    "a length": PeerResponse((WITH_LENGTH,)),
    "chunks": PeerResponse((OK + b"transfer-encoding: chunked\r\n\r\n" + CHUNKS + b"\r\n",)),
    "split segments": PeerResponse(tuple(bytes((byte,)) for byte in WITH_LENGTH)),
    "100 before it": PeerResponse((b"HTTP/1.1 100 Continue\r\n\r\n", WITH_LENGTH)),
    "no body and 204": PeerResponse((b"HTTP/1.1 204 No Content\r\n\r\n",)),
    "connection close": PeerResponse(
        (OK + b"connection: close\r\ncontent-length: 5\r\n\r\nhello",)
    ),
    "HTTP/1.0": PeerResponse((b"HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello",)),
    "an end by disconnection": PeerResponse((OK + b"\r\nhel", b"lo"), disconnects=True),
    "bytes after it": PeerResponse((WITH_LENGTH + b"xyz",)),
    "a second response after it": PeerResponse((WITH_LENGTH * 2,)),
    "two lengths": PeerResponse((OK + b"content-length: 5\r\ncontent-length: 6\r\n\r\nhello!",)),
    "a truncated body": PeerResponse((OK + b"content-length: 50\r\n\r\nhello",), disconnects=True),
    "a truncated head": PeerResponse((OK + b"content-le",), disconnects=True),
    "a switch of protocols": PeerResponse(
        (b"HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n",)
    ),
    "arbitrary bytes": PeerResponse((bytes(chain(range(128, 256), b"\r\n\r\n")),)),
    "a large head": PeerResponse((OK, *(b"x: " + b"y" * 8192 + b"\r\n",) * 12)),
    "a large body": PeerResponse(
        (OK + b"content-length: 99999999\r\n\r\n", *(b"x" * 1048576,) * 20)
    ),
    "nothing": PeerResponse((), disconnects=True),
}
