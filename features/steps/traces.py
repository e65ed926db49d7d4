"""Steps for traces: two daemons, recording upstreams and the collector stand-in."""

import re
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any

import httpx
from behave import given, then, when
from behave.runner import Context
from support.control import send_control
from support.deployment import ROUTES, Deployment, Plan
from support.processes import wait_until

CALLER_SPAN = "00f067aa0ba902b7"
TRACESTATE = "vendor=t61rcWkgMzE,other=00f067aa"
RUN_TIME_S = 0.05  # long enough for a job to exceed the slots of one daemon
TASKS = 40
MAX_JOBS = 20
DROPPED_SPANS_SAMPLE = 'fireflybridge_spans_total{result="dropped"}'
INVALID_TRACEPARENTS = (
    "garbage",
    f"00-{'0' * 32}-{CALLER_SPAN}-01",
    f"00-{'a' * 32}-{'0' * 16}-01",
    f"ff-{'a' * 32}-{CALLER_SPAN}-01",
    f"00-{'A' * 32}-{CALLER_SPAN}-01",
    f"00-{'a' * 32}-{CALLER_SPAN}-01-more",
    f"00-{'a' * 32}-{CALLER_SPAN}-1",
)

Span = dict[str, Any]


class RecordingUpstream(ThreadingHTTPServer):
    """Answer tasks like an upstream and record their trace contexts."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), RecordingHandler)
        self.contexts: list[str] = []
        self.states: list[str] = []


class RecordingHandler(BaseHTTPRequestHandler):
    """Answer the requests of one connection."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer one task."""
        self.rfile.read(int(self.headers["Content-Length"]))
        assert isinstance(self.server, RecordingUpstream)
        self.server.states.append(self.headers.get("Tracestate", ""))
        self.server.contexts.append(self.headers.get("Traceparent", ""))
        time.sleep(RUN_TIME_S)
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *arguments: object) -> None:
        """Write no access log."""


@given("a traced deployment of two daemons with recording upstreams")
def deploy_traced(context: Context) -> None:
    context.collector = context.processes.start("fireflybridge_standins.collector").address
    arguments = (f"--trace-url=http://{context.collector}/v1/traces", "--trace-ratio=0")
    context.deployment = Deployment(
        context.processes, Plan(daemons=2, workers=1, daemon_arguments=arguments)
    )
    context.deployment.start()
    context.upstreams = [RecordingUpstream() for _ in context.deployment.daemons]
    pools = context.deployment.make_pools()
    addresses = context.deployment.worker_addresses.values()
    for upstream, address in zip(context.upstreams, addresses, strict=True):
        threading.Thread(target=upstream.serve_forever, daemon=True).start()
        context.add_cleanup(upstream.server_close)
        context.add_cleanup(upstream.shutdown)
        pools = pools.replace(f'"{address}"', f'"127.0.0.1:{upstream.server_port}"')
    revision = context.deployment.publish(ROUTES, pools)
    deployment = context.deployment
    wait_until(
        lambda: all(
            deployment.read_status(name)["tables_revision"] == revision
            for name in deployment.daemons
        ),
        detail="tables in force",
    )
    deployment.wait_serving()


def send_job(context: Context, key: str, trace_id: str, count: int) -> None:
    response = context.deployment.call(
        "d1",
        "POST",
        "/v1/jobs",
        json={"route": "booking", "tasks": [{"body": "x"}] * count},
        headers={
            "Idempotency-Key": key,
            "traceparent": f"00-{trace_id}-{CALLER_SPAN}-01",
            "tracestate": TRACESTATE,
        },
    )
    assert response.status_code == 200, response.text


def read_spans(context: Context, trace_id: str, **members: str) -> list[Span]:
    spans: list[Span] = send_control(context.collector, "GET", "/control/spans")
    wanted = {"trace_id": trace_id, **members}
    return [span for span in spans if all(span[k] == v for k, v in wanted.items())]


def wait_spans(context: Context, trace_id: str, **counts: int) -> None:
    """Wait until the trace has at least this many spans of each name, underscores being spaces."""

    def arrived() -> bool:
        names = [span["name"] for span in read_spans(context, trace_id)]
        return all(names.count(name.replace("_", " ")) >= n for name, n in counts.items())

    wait_until(arrived, detail=f"spans {counts}")


@when("sampled jobs of 40 tasks are sent to the first traced daemon until one has moved tasks")
def send_until_moved(context: Context) -> None:
    for number in range(1, MAX_JOBS + 1):
        context.trace_id = f"{number:032x}"
        for upstream in context.upstreams:
            upstream.contexts.clear()
        send_job(context, f"traced-chosen-{number}", context.trace_id, TASKS)
        # The first daemon exports a job's moves before its front span.
        wait_spans(context, context.trace_id, front=1, claim=1, upstream_request=TASKS)
        moves = len(read_spans(context, context.trace_id, name="move to peer"))
        wait_spans(context, context.trace_id, queue_wait=TASKS + moves)
        if moves:
            return
    raise AssertionError(f"none of {MAX_JOBS} jobs moved in part")


@then("the trace has one front span under the caller's span and one claim span under that")
def check_front(context: Context) -> None:
    (front,) = read_spans(context, context.trace_id, name="front")
    (claim,) = read_spans(context, context.trace_id, name="claim")
    assert (front["parent_id"], front["host"]) == (CALLER_SPAN, "d1"), front
    assert (claim["parent_id"], claim["host"]) == (front["span_id"], "d1"), claim
    assert front["attributes"]["status"] == "200", front


@then(
    "the trace has a queue wait and an upstream request for each task, under its move if it moved"
)
def check_hops(context: Context) -> None:
    trace = context.trace_id
    (front,) = read_spans(context, trace, name="front")
    moves = read_spans(context, trace, name="move to peer")
    move_ids = sorted(move["span_id"] for move in moves)
    assert all((m["parent_id"], m["host"]) == (front["span_id"], "d1") for m in moves), moves
    for name, local in (("queue wait", TASKS), ("upstream request", TASKS - len(moves))):
        here = read_spans(context, trace, name=name, host="d1")
        there = read_spans(context, trace, name=name, host="d2")
        assert len(here) == local, f"{len(here)} of {name} at d1, {len(moves)} moves"
        assert {span["parent_id"] for span in here} == {front["span_id"]}, here
        assert sorted(span["parent_id"] for span in there) == move_ids, (name, there, moves)
    spans = {span["span_id"]: span for span in read_spans(context, trace)}
    for span in spans.values():
        assert span["started_ns"] <= span["ended_ns"], span
        parent = spans.get(span["parent_id"])
        assert parent is not None or span["name"] == "front", span
        assert parent is None or parent["started_ns"] <= span["started_ns"], (parent, span)
    assert send_control(context.collector, "GET", "/control/malformed") == []


@then("each traced upstream received the contexts of its own upstream requests")
def check_upstream_contexts(context: Context) -> None:
    for upstream, host in zip(context.upstreams, ("d1", "d2"), strict=True):
        spans = read_spans(context, context.trace_id, name="upstream request", host=host)
        sent = sorted(f"00-{span['trace_id']}-{span['span_id']}-01" for span in spans)
        assert sorted(upstream.contexts) == sent, (host, upstream.contexts, sent)
        # Tasks that moved carry the caller's tracestate too.
        assert set(upstream.states) == {TRACESTATE}, upstream.states


@when("a sampled job with a prefix of the second traced daemon is sent to the first")
def send_forwarded(context: Context) -> None:
    context.trace_id = "2" * 32
    prefix = context.deployment.make_prefix("d2")
    send_job(context, f"{prefix}.traced", context.trace_id, 2)
    wait_spans(context, context.trace_id, front=1, forward=1, upstream_request=2, queue_wait=2)


@then("the trace has a forward span under the front span of the first daemon and the rest under it")
def check_forward(context: Context) -> None:
    (front,) = read_spans(context, context.trace_id, name="front")
    (forward,) = read_spans(context, context.trace_id, name="forward")
    assert (forward["parent_id"], forward["host"]) == (front["span_id"], "d1"), forward
    rest = [
        span
        for span in read_spans(context, context.trace_id)
        if span["name"] not in ("front", "forward")
    ]
    names = sorted(span["name"] for span in rest)
    assert names == ["queue wait"] * 2 + ["upstream request"] * 2, names
    assert {span["parent_id"] for span in rest} == {forward["span_id"]}, rest
    assert {span["host"] for span in rest} == {"d2"}, rest
    assert {state for upstream in context.upstreams for state in upstream.states} == {TRACESTATE}


@when("traced requests are sent with an unsampled context, without one and with invalid ones")
def send_unsampled(context: Context) -> None:
    context.unsampled = f"00-{'3' * 32}-{CALLER_SPAN}-00"
    contexts: tuple[str | None, ...] = (context.unsampled, None, *INVALID_TRACEPARENTS)
    context.received = []
    for sent in contexts:
        headers = {"tracestate": TRACESTATE} | ({} if sent is None else {"traceparent": sent})
        before = [len(upstream.contexts) for upstream in context.upstreams]
        response = context.deployment.call(
            "d1", "POST", "/v1/requests/booking", content=b"x", headers=headers
        )
        assert response.status_code == 200, response.text
        new = [
            value
            for upstream, start in zip(context.upstreams, before, strict=True)
            for value in (*upstream.contexts[start:], *upstream.states[start:])
        ]
        context.received.append((sent, *new))


@then("each traced upstream received an unsampled context, the caller's own if that was valid")
def check_unsampled(context: Context) -> None:
    assert len(context.received) == 2 + len(INVALID_TRACEPARENTS)
    for sent, received, state in context.received:
        assert state == (TRACESTATE if sent == context.unsampled else ""), (sent, state)
        assert re.fullmatch("00-[0-9a-f]{32}-[0-9a-f]{16}-00", received), (sent, received)
        assert (received == sent) == (sent == context.unsampled), (sent, received)


@then("the collector has received only the spans of a sampled request that was sent last")
def check_only_sampled(context: Context) -> None:
    send_job(context, "traced-last", "4" * 32, 1)
    wait_spans(context, "4" * 32, front=1, upstream_request=1)
    spans = send_control(context.collector, "GET", "/control/spans")
    assert {span["trace_id"] for span in spans} == {"4" * 32}, spans


@when("the trace collector refuses exports, and later hangs, while sampled jobs run")
def fail_collector(context: Context) -> None:
    collector = next(
        p for p in context.processes.programs if p.ready.get("address") == context.collector
    )
    send_control(context.collector, "PUT", "/control/fault", {"fault": "refuse"})
    for number in range(3):
        send_job(context, f"traced-refused-{number}", f"5{number}" * 16, TASKS)
    # Each of the three jobs has a front and a claim span, and two spans a task, moved or not.
    wait_until(lambda: count_dropped(context) == 3 * (2 + 2 * TASKS), detail="dropped spans")
    assert count_events(context, 6002) == 1
    send_control(context.collector, "PUT", "/control/fault", {"fault": "none"})
    send_job(context, "traced-between", "6" * 32, TASKS)
    wait_until(lambda: count_events(context, 6003) == 1, detail="event 6003")
    collector.pause()
    # Two jobs in sequence take longer than the timeout of the first one's export.
    send_job(context, "traced-hung", "7" * 32, TASKS)
    wait_until(lambda: count_events(context, 6002) >= 2, detail="event 6002 again")
    send_job(context, "traced-still-hung", "8" * 32, TASKS)
    collector.resume()


@then("every traced job was answered, and lost spans are counted, and logged once for each outage")
def check_lost_spans(context: Context) -> None:
    assert count_events(context, 6002) == 2
    assert count_dropped(context) > 3 * (2 + 2 * TASKS)


def count_dropped(context: Context) -> float:
    """Return how many spans the first daemon has dropped."""
    operators = context.deployment.daemons["d1"].ready["operators"]
    text = httpx.get(f"http://{operators}/metrics", trust_env=False, timeout=30.0).text
    lines = [line for line in text.splitlines() if line.startswith(DROPPED_SPANS_SAMPLE)]
    return float(lines[0].split()[1]) if lines else 0.0


def count_events(context: Context, number: int) -> int:
    """Return how often the log of the first daemon contains an event."""
    return int(context.deployment.daemons["d1"].read_stderr().count(f'"event_id": {number}'))
