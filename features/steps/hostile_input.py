"""Steps that send hostile requests to a daemon."""

import json

import httpx
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_data
from hypothesis import strategies as st
from support.deployment import Deployment, Plan
from support.hypothesis_settings import deterministic_settings
from support.raw_http import ANSWER_LIMIT_S, exchange, make_request

EXAMPLES = 400
MAX_BODY = 4 * 1024 * 1024
JOB = {"route": "booking", "tasks": [{"body": "x"}]}


@given("a daemon under hostile input")
def start_daemon(context: Context) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=1, workers=1))
    context.deployment.start()
    context.revision = context.deployment.read_status("d1")["tables_revision"]


def make_job(**members: object) -> bytes:
    return json.dumps({**JOB, **members}).encode()


def make_header_fields(key: bytes = b"hostile", **fields: bytes) -> tuple[tuple[bytes, bytes], ...]:
    named = [(name.replace("_", "-").encode(), value) for name, value in fields.items()]
    return ((b"Idempotency-Key", key), *named)


KNOWN_REQUESTS: dict[str, bytes] = {
    "body above the limit": make_request(b"x" * (MAX_BODY + 1)),
    "headers above the limit": make_request(fields=make_header_fields(x=b"y" * 70_000)),
    "many headers in one segment": make_request(fields=((b"x", b"y" * 200),) * 90),
    "too many tasks": make_request(make_job(tasks=[{"body": ""}] * 301)),
    "long key": make_request(make_job(), fields=make_header_fields(b"k" * 201)),
    "long key in a path": make_request(method=b"GET", path=b"/v1/jobs/" + b"k" * 201),
    "no key": make_request(make_job(), fields=()),
    "key that is not ASCII": make_request(make_job(), fields=make_header_fields(b"k\xc3\xa9")),
    "team that is not ASCII": make_request(
        make_job(), fields=make_header_fields(fireflybridge_team=b"\xff")
    ),
    "long team": make_request(make_job(), fields=make_header_fields(fireflybridge_team=b"t" * 65)),
    "long deadline header": make_request(
        make_job(), fields=make_header_fields(fireflybridge_deadline_ms=b"9" * 5000)
    ),
    "body that is not UTF-8": make_request(b'{"route":"booking","tasks":[{"body":"\xff\xfe"}]}'),
    "body that is not JSON": make_request(b"{'route': 1}"),
    "deep nesting": make_request(b"[" * 1_000_000),
    "deep nesting of a field": make_request(b'{"route":' + b'{"a":' * 500_000),
    "lone surrogate": make_request(b'{"route":"booking","tasks":[{"body":"\\ud800"}]}'),
    "wrong type": make_request(make_job(tasks=[{"body": 1}])),
    "unknown field": make_request(make_job(surprise=1)),
    "no tasks": make_request(make_job(tasks=[])),
    "huge deadline": make_request(make_job(deadline_ms=10**18)),
    "unknown method": make_request(method=b"BREW"),
    "broken request line": b"hello there\r\n\r\n",
    "two lengths": make_request(b"xx", fields=((b"Content-Length", b"1"),)),
    "negative length": make_request(length=b"-1"),
    "WebSocket": make_request(
        method=b"GET",
        path=b"/x",
        fields=((b"Upgrade", b"websocket"), (b"Connection", b"upgrade, close")),
    ),
    "HTTP/2 by upgrade": b"GET /x HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: upgrade, close\r\n"
    b"HTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
    "HTTP/2 by preface": b"PRI * HTTP/2.0\r\nConnection: close\r\n\r\n",
    "unknown transfer encoding": b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: zip\r\n\r\n",
}


@then("each known hostile request is refused as stated")
def check_known(context: Context) -> None:
    rows = {row["request"]: row for row in context.table}
    assert rows.keys() == KNOWN_REQUESTS.keys(), rows.keys() ^ KNOWN_REQUESTS.keys()
    for name, data in KNOWN_REQUESTS.items():
        row, reply = rows[name], exchange(context, data)
        assert reply is not None, f"{name}: no answer"
        assert reply.status == int(row["status"]), (name, reply)
        problem = json.loads(reply.body)
        assert problem["type"] == "urn:fireflybridge:problem:" + row["problem"], (name, problem)
        assert row["detail"] in problem["detail"], (name, problem)
        assert problem["ran"] == problem["request_ran"] == "not-run", (name, problem)
    check_still_serving(context)


@then("the daemon under hostile input still answers, keeps its tables and logged no internal error")
def check_still_serving(context: Context) -> None:
    daemon = context.deployment.daemons["d1"]
    assert daemon.is_running(), daemon.read_stderr()
    response = context.deployment.call("d1", "POST", "/v1/requests/booking", content=b"x")
    assert (response.status_code, response.content) == (200, b"answer:x"), response.text
    assert context.deployment.read_status("d1")["tables_revision"] == context.revision
    log = daemon.read_stderr()
    assert '"event_id": 6001' not in log, log
    assert "Traceback" not in log, log


header_names = st.sampled_from(
    [
        b"Idempotency-Key",
        b"Fireflybridge-Team",
        b"Fireflybridge-Deadline-Ms",
        b"Prefer",
        b"traceparent",
        b"Content-Type",
        b"Content-Length",
        b"Transfer-Encoding",
        b"Expect",
        b"Connection",
        b"Upgrade",
        b"Cookie",
    ]
)
header_values = st.one_of(
    st.binary(max_size=40),
    st.integers(1, 9000).map(lambda count: b"9" * count),
    st.sampled_from(
        [b"chunked", b"respond-async", b"100-continue", b"upgrade", b"websocket", b"h2c"]
    ),
)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(
        st.sampled_from(["route", "tasks", "body", "deadline_ms", "extra"]), inner, max_size=4
    ),
    max_leaves=20,
)
bodies = st.one_of(
    st.binary(max_size=200),
    json_values.map(lambda value: json.dumps(value).encode()),
    st.builds(make_job, tasks=json_values),
    st.builds(make_job, route=json_values, deadline_ms=json_values),
    st.integers(1, 20_000).map(lambda depth: b"[" * depth),
)
paths = st.one_of(
    st.sampled_from([b"/v1/jobs", b"/v1/key-prefixes", b"/v1/requests/booking", b"*", b"//", b""]),
    st.text(max_size=30).map(lambda text: b"/v1/jobs/" + text.encode("utf-8", "replace")),
    st.binary(max_size=30).map(lambda raw: b"/v1/requests/" + raw),
    st.sampled_from([b"/v1/jobs/%", b"/v1/jobs/%ff%00", b"/v1/jobs/x?wait_ms=99999999"]),
)
requests = st.builds(
    make_request,
    bodies,
    method=st.sampled_from([b"GET", b"POST", b"DELETE", b"HEAD", b"PUT", b"CONNECT", b"OPTIONS"])
    | st.binary(min_size=1, max_size=10),
    path=paths,
    fields=st.lists(st.tuples(header_names, header_values), max_size=5).map(tuple),
    length=st.none() | st.sampled_from([b"0", b"5", b"1e3", b"", b"99999999999999999999"]),
) | st.binary(min_size=1, max_size=300)
# Generated examples vary with the constants of all loaded modules, so some are fixed here.
well_formed = st.sampled_from(
    [make_request(make_job()), make_request(b"x", path=b"/v1/requests/booking")]
)


@when("hostile raw requests are sent to the callers' port")
def send_hostile(context: Context) -> None:
    statuses: set[int] = set()

    @deterministic_settings(EXAMPLES)
    @given_data(requests | well_formed)
    def send(data: bytes) -> None:
        reply = exchange(context, data)
        assert context.deployment.daemons["d1"].is_running(), data
        if reply is not None:
            statuses.add(reply.status)
            assert reply.status != 500, (data, reply)
            if reply.status >= 400 and not data.startswith(b"HEAD "):
                assert reply.body.startswith(b'{"type":"urn:fireflybridge:problem:'), (data, reply)

    send()
    assert {200, 400, 404} <= statuses, statuses


@then('"/metrics", "/health/live", "/health/ready" and "/v1/status" are not on the callers\' port')
def check_hidden(context: Context) -> None:
    for path in ("/metrics", "/health/live", "/health/ready", "/v1/status"):
        for method in ("GET", "POST"):
            response = context.deployment.call("d1", method, path)
            assert response.status_code == 404, (path, response.text)
        operators = context.deployment.daemons["d1"].ready["operators"]
        found = httpx.get(f"http://{operators}{path}", trust_env=False, timeout=ANSWER_LIMIT_S)
        assert found.status_code == 200, (path, found.text)


@when("unusual but allowed keys are submitted with respond-async")
def submit_keys(context: Context) -> None:
    visible = "".join(map(chr, range(33, 127)))
    context.locations = []
    for key in ("a/b", "..", "%2F", "a b", 'a"b', "?wait_ms=1", "#", visible, "k" * 200):
        response = context.deployment.call(
            "d1",
            "POST",
            "/v1/jobs",
            json=JOB,
            headers={"Idempotency-Key": key, "Prefer": "respond-async"},
        )
        assert response.status_code in (200, 202), (key, response.text)
        context.locations.append((key, response.headers["location"]))


@then("each unusual key is answered at its location")
def check_locations(context: Context) -> None:
    for key, location in context.locations:
        data = make_request(method=b"GET", path=location.encode() + b"?wait_ms=20000", fields=())
        reply = exchange(context, data)
        assert reply is not None, key
        assert reply.status == 200, (key, location, reply)
        assert json.loads(reply.body)["key"] == key, reply
