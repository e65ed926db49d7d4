"""Encoding of requests to upstreams.

h11 validates and encodes each distinct part of a request head once, and the result is cached. The
heads of a job's tasks differ only in numbers, so they are encoded once and not for every task.
"""

from functools import lru_cache

import h11

from fireflybridge_core import Task

CACHED_HEADS = 1024
END_OF_HEADERS = b"\r\n"
MS_PER_S = 1000
# Passed through h11 to bring the state of a connection from idle to waiting for the response.
BODILESS_REQUEST = (
    h11.Request(method=b"POST", target=b"/", headers=[(b"Host", b"-"), (b"Content-Length", b"0")]),
    h11.EndOfMessage(),
)


def encode_request(authority: bytes, task: Task, limit_s: float) -> bytes:
    """Return the request of a task, which tells the upstream that it may take ``limit_s`` seconds."""
    return b"%b%bContent-Length: %d\r\nFireflybridge-Timeout-Ms: %d\r\n%b\r\n%b" % (
        _encode_request_line_and_host(authority, task.path),
        _encode_headers(task.content_type, task.traceparent, task.tracestate),
        len(task.body),
        limit_s * MS_PER_S,
        b"%b%d\r\n" % (_encode_key_header(task.id.key), task.id.index) if task.id.key else b"",
        task.body,
    )


@lru_cache(CACHED_HEADS)
def _encode_request_line_and_host(authority: bytes, path: str) -> bytes:
    return _encode_head(authority, path, [])


@lru_cache(CACHED_HEADS)
def _encode_headers(content_type: str, traceparent: str, tracestate: str) -> bytes:
    headers = [(b"Content-Type", content_type.encode())]
    if traceparent:
        headers.append((b"Traceparent", traceparent.encode()))
    if tracestate:
        headers.append((b"Tracestate", tracestate.encode()))
    return _encode_head(b"-", "/", headers).removeprefix(_encode_request_line_and_host(b"-", "/"))


@lru_cache(CACHED_HEADS)
def _encode_key_header(key: str) -> bytes:
    head = _encode_head(b"-", "/", [(b"Idempotency-Key", f"{key}:".encode())])
    return head.removeprefix(_encode_request_line_and_host(b"-", "/")).removesuffix(b"\r\n")


def _encode_head(authority: bytes, path: str, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the request line and headers, without the empty line that ends a head."""
    request = h11.Request(
        method=b"POST", target=path.encode(), headers=[(b"Host", authority), *headers]
    )
    encoded = h11.Connection(our_role=h11.CLIENT).send(request) or b""
    return encoded.removesuffix(END_OF_HEADERS)
