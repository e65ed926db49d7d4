"""HTTP/1.1 connections of the workers, served by one task each."""

import anyio
import h11
from anyio.abc import SocketStream

from fireflybridge_standins.worker._worker import Fault, Worker, parse_sleep_s

RECEIVE_BYTES = 65536


async def serve_connection(worker: Worker, stream: SocketStream) -> None:
    """Serve the requests of one connection until it ends or a fault closes it."""
    worker.open_connection()
    http = h11.Connection(our_role=h11.SERVER)
    try:
        while await _serve_request(worker, stream, http):
            http.start_next_cycle()
    except (anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError, OSError):
        pass
    finally:
        worker.open_connections -= 1
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)


async def _serve_request(worker: Worker, stream: SocketStream, http: h11.Connection) -> bool:
    """Serve one request; return whether the connection stays open."""
    key, body = await _receive_request(stream, http)
    if not worker.start(key):
        headers = [(b"Retry-After", b"1"), (b"Content-Length", b"0")]
        await stream.send(_encode(http, h11.Response(status_code=503, headers=headers), b""))
        return True
    try:
        await anyio.sleep(parse_sleep_s(body, worker.speed))
        return await _respond(worker, stream, http, body)
    finally:
        worker.finish()


async def _respond(worker: Worker, stream: SocketStream, http: h11.Connection, body: bytes) -> bool:
    """Respond under the worker's fault; return whether the connection stays open."""
    response_body = b"answer:" + body
    headers = [(b"Content-Type", b"text/plain"), (b"Content-Length", b"%d" % len(response_body))]
    status = 500 if worker.fault is Fault.FAIL else 200
    encoded = _encode(http, h11.Response(status_code=status, headers=headers), response_body)
    match worker.fault:
        case Fault.HANG:
            await anyio.sleep_forever()
        case Fault.RESET:
            return False
        case Fault.TRUNCATE:
            await stream.send(encoded[: -len(response_body) // 2])
            return False
        case _:
            await stream.send(encoded)
    return True


async def _receive_request(stream: SocketStream, http: h11.Connection) -> tuple[str, bytes]:
    """Return the idempotency key and the body of the next request."""
    key = ""
    chunks: list[bytes] = []
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await stream.receive(RECEIVE_BYTES))
            case h11.Request() as request:
                key = dict(request.headers).get(b"idempotency-key", b"").decode()
            case h11.Data(data=data):
                chunks.append(bytes(data))
            case h11.EndOfMessage():
                return key, b"".join(chunks)
            case _:
                raise anyio.EndOfStream


def _encode(http: h11.Connection, response: h11.Response, body: bytes) -> bytes:
    parts = (response, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(http.send(part) or b"" for part in parts)
