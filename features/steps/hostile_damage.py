"""Steps for slow callers and for damaged records in the tables stream."""

import socket
import time
from pathlib import Path

import httpx
from behave import then, when
from behave.runner import Context
from hypothesis import given as given_data
from hypothesis import strategies as st
from support.deployment import ROUTES
from support.hypothesis_settings import deterministic_settings
from support.platform import run_log
from support.processes import wait_until
from support.raw_http import ANSWER_LIMIT_S, connect, make_request

from fireflybridge_tables import TABLES_STREAM

DAMAGED = 150
DISCONNECT_LIMIT_S = 150.0  # ends a hung scenario; the daemon's timeouts are 10 s, 20 s and 75 s


@then("hostile callers that send nothing, send slowly or read nothing are disconnected")
def check_slow(context: Context) -> None:
    silent = connect(context)
    slow_head = connect(context)
    slow_head.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nX: ")
    slow_body = connect(context)
    slow_body.sendall(make_request(length=b"1000"))
    unread = connect_without_reading(context)
    for connection, keeps_sending, answered in (
        (slow_body, True, True),
        (slow_head, True, False),
        (silent, False, False),
    ):
        received = wait_disconnect(connection, keeps_sending)
        assert (b"did not arrive within" in received) == answered, received
        connection.close()
    wait_until(lambda: count_connections(context) == 0, DISCONNECT_LIMIT_S, "no connection is left")
    unread.close()


def wait_disconnect(connection: socket.socket, keeps_sending: bool) -> bytes:
    """Send bytes at intervals until the daemon closes the connection; return what was received."""
    connection.settimeout(0.5)
    received = b""
    deadline = time.monotonic() + DISCONNECT_LIMIT_S
    while time.monotonic() < deadline:
        try:
            chunk = connection.recv(65536)
            if not chunk:
                return received
            received += chunk
        except TimeoutError:
            pass
        except OSError:
            return received
        if keeps_sending:
            try:
                connection.send(b"x")
            except OSError:
                return received
    raise AssertionError(f"still connected after {DISCONNECT_LIMIT_S} s: {received!r}")


def connect_without_reading(context: Context) -> socket.socket:
    """Request a large answer repeatedly and read none of the responses."""
    key = "hostile-large"
    bodies = ["x" * 13_000] * 300
    assert context.deployment.submit("d1", key, bodies).status_code == 200
    host, _, port = context.deployment.daemons["d1"].address.rpartition(":")
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.connect((host, int(port)))
    connection.sendall(b"GET /v1/jobs/hostile-large HTTP/1.1\r\nHost: x\r\n\r\n" * 10)
    return connection


def count_connections(context: Context) -> int:
    """Count the established connections on the callers' port in the kernel's table."""
    port = int(context.deployment.daemons["d1"].address.rpartition(":")[2])
    lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
    sockets = [line.split()[1:4] for line in lines]
    return sum(local.endswith(f":{port:04X}") and state == "01" for local, _, state in sockets)


def damage(record: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy that damages a valid record."""
    flipped_bits = st.lists(
        st.integers(0, len(record) * 8 - 1), min_size=1, max_size=4, unique=True
    )
    truncated = st.integers(0, len(record) - 1).map(lambda size: record[:size])
    extended = st.binary(min_size=1, max_size=20).map(lambda tail: record + tail)
    return st.one_of(
        st.binary(max_size=100),
        truncated,
        extended,
        flipped_bits.map(lambda f: flip_bits(record, f)),
    )


def flip_bits(record: bytes, bits: list[int]) -> bytes:
    changed = bytearray(record)
    for bit in bits:
        changed[bit // 8] ^= 1 << bit % 8
    return bytes(changed)


@when("damaged records are appended to the hostile tables stream")
def append_damaged(context: Context) -> None:
    platform = context.deployment.platform.address
    page = run_log(platform, lambda log: log.read(TABLES_STREAM, 0)).unwrap()
    records: list[bytes] = []

    @deterministic_settings(DAMAGED)
    @given_data(damage(page.records[0].payload))
    def collect(record: bytes) -> None:
        records.append(record)

    collect()
    context.damaged = records
    for record in records:
        run_log(platform, lambda log, one=record: log.append(TABLES_STREAM, one)).unwrap()
    wait_until(
        lambda: context.deployment.read_status("d1")["tables_fault"] is not None,
        detail="a fault of the tables in the status",
    )


@then("the damaged records are counted, and the next revision comes into force")
def check_next_revision(context: Context) -> None:
    deployment = context.deployment
    routes = ROUTES.replace('name = "booking"', 'name = "reservation"')
    revision = deployment.publish(routes, deployment.make_pools())
    wait_until(
        lambda: deployment.read_status("d1")["tables_revision"] == revision,
        detail="the next revision in force",
    )
    operators = deployment.daemons["d1"].ready["operators"]
    text = httpx.get(f"http://{operators}/metrics", trust_env=False, timeout=ANSWER_LIMIT_S).text
    (line,) = (
        one for one in text.splitlines() if one.startswith("fireflybridge_tables_faults_total")
    )
    assert float(line.split()[1]) == len(context.damaged), (line, len(context.damaged))
