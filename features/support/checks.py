"""Record calls to the daemons and check their answers against the workers' start records."""

import threading
import time
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field, replace
from itertools import count, groupby
from typing import Any
from urllib.parse import quote

import httpx

from support.deployment import Deployment
from support.processes import wait_until

_request_numbers = count(1)
MAX_CONCURRENT_CALLS = 64
CALL_TIMEOUT_S = 90.0
NOT_RUN = "not-run"
DONE = "done"
BROKEN = "broken"  # state of an answer that is not JSON


@dataclass(frozen=True, slots=True)
class Request:
    """Content of a submission: a single request has one body, a job one for each task."""

    key: str
    bodies: tuple[str, ...]
    route: str = "booking"
    single: bool = False
    deadline_ms: int | None = None

    @property
    def may_retry(self) -> bool:
        """Return whether the daemon may retry a task that may already have run."""
        return self.single and self.route == "booking"


@dataclass(frozen=True, slots=True)
class Start:
    """Start record of a worker: key and index of a task, monotonic time in seconds."""

    key: str
    index: int
    at: float


@dataclass(frozen=True, slots=True)
class TaskEntry:
    """Part of an answer that concerns one task."""

    ran: str
    body: str = ""


@dataclass(frozen=True, slots=True)
class Call:
    """A call and its answer; ``status`` 0 means that no HTTP response arrived.

    ``ran`` concerns the whole submission, ``request_ran`` this request alone. Times are monotonic
    seconds, as in start records.
    """

    daemon: str
    request: Request
    began: float
    ended: float
    status: int
    ran: str = ""
    problem: str = ""
    state: str = ""
    entries: tuple[TaskEntry, ...] = ()
    detail: str = ""
    request_ran: str = ""
    address: str = ""

    def says_not_run(self, index: int) -> bool:
        """Return whether the answer says that a task has not run."""
        if index < len(self.entries):
            return self.entries[index].ran == NOT_RUN
        return self.ran == NOT_RUN


@dataclass(slots=True)
class RecordingClient:
    """Calls daemons, each call on a thread of its own, and records the calls for the checks.

    ``killed`` and ``stopped`` hold the addresses of daemons that were killed or told to stop.
    ``links`` holds, by daemon, the address of the proxy link through which it is called.
    """

    deployment: Deployment
    calls: list[Call] = field(default_factory=list)
    killed: set[str] = field(default_factory=set)
    stopped: set[str] = field(default_factory=set)
    links: dict[str, str] = field(default_factory=dict)
    _pool: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(MAX_CONCURRENT_CALLS)
    )
    _futures: "list[Future[Call]]" = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def send(self, daemon: str, request: Request, method: str = "POST") -> "Future[Call]":
        """Start a call at a daemon; GET and DELETE act on the key of the request."""
        address = self.links.get(daemon) or self.deployment.daemons[daemon].address
        future = self._pool.submit(self._call, daemon, address, request, method)
        self._futures.append(future)
        return future

    def ask(self, daemon: str, request: Request, method: str = "POST") -> Call:
        """Call a daemon and wait for the answer."""
        return self.send(daemon, request, method).result()

    def wait_started(self, request: Request) -> None:
        """Wait until a worker has recorded a start of a request."""
        wait_until(
            lambda: any(start.key == request.key for start in read_starts(self.deployment)),
            detail=f"start of {request.key}",
        )

    def find_violations(self) -> list[str]:
        """Describe every violation that the calls and start records so far show."""
        starts = read_starts(self.deployment)
        return [*find_violations(starts, self.calls), *find_unanswered(self)]

    def check(self) -> int:
        """Raise AssertionError on any violation; return how many starts were checked."""
        violations = self.find_violations()
        assert not violations, "\n".join(violations)
        return len(read_starts(self.deployment))

    def wait_all(self) -> None:
        """Wait until every call that was sent has ended."""
        futures = self._futures.copy()
        self._futures.clear()
        for future in futures:
            future.result()

    def close(self) -> None:
        """Wait for every call to end and free the threads."""
        self._pool.shutdown()

    def _call(self, daemon: str, address: str, request: Request, method: str) -> Call:
        began = time.monotonic()
        url = f"http://{address}{make_path(request, method)}"
        options = _make_options(request) if method == "POST" else {}
        try:
            with httpx.Client(trust_env=False, timeout=CALL_TIMEOUT_S) as http_client:
                response = http_client.request(method, url, **options)
            call = read_call(daemon, request, began, response)
        except httpx.HTTPError as error:
            call = Call(daemon, request, began, time.monotonic(), 0, detail=repr(error))
        call = replace(call, address=address)
        with self._lock:
            self.calls.append(call)
        return call


def make_request(
    tasks: int = 1, sleep_ms: int = 20, key: str = "", prefix: str = "", **members: Any
) -> Request:
    """Return a request with unique bodies; the default key is a new one chosen by the caller."""
    number = next(_request_numbers)
    key = key or (f"{prefix}.{number}" if prefix else f"key-{number}")
    bodies = tuple(f"sleep={sleep_ms};{number}/{index}" for index in range(tasks))
    return Request(key, bodies, **members)


def make_unkeyed(sleep_ms: int = 20) -> Request:
    """Return a single request without a key."""
    return replace(make_request(1, sleep_ms, single=True), key="")


def expect(call: Call, **members: object) -> Call:
    """Assert the values of some attributes of a call, such as ``state`` or ``problem``."""
    found = {name: getattr(call, name) for name in members}
    assert found == members, f"expected {members}: {call}"
    return call


def make_path(request: Request, method: str) -> str:
    """Return the URL path for a POST of a request, or of its key for GET and DELETE."""
    if method != "POST":
        return f"/v1/jobs/{quote(request.key, safe='')}"
    return f"/v1/requests/{request.route}" if request.single else "/v1/jobs"


def read_call(daemon: str, request: Request, began: float, response: httpx.Response) -> Call:
    """Parse a response."""
    ended, status = time.monotonic(), response.status_code
    if request.single and response.headers.get("fireflybridge-ran") == DONE:
        state = "complete" if status < 500 else "failed"
        entries = (TaskEntry(DONE, response.text),)
        return Call(daemon, request, began, ended, status, DONE, "", state, entries)
    if "json" not in response.headers.get("content-type", ""):
        detail = f"no JSON: {response.text[:200]}"
        return Call(daemon, request, began, ended, status, state=BROKEN, detail=detail)
    data: dict[str, Any] = response.json()
    return Call(
        daemon,
        request,
        began,
        ended,
        status,
        ran=data.get("ran", ""),
        problem=str(data.get("type", "")).rpartition(":")[2],
        state=data.get("state", ""),
        entries=tuple(TaskEntry(t["ran"], t.get("body", "")) for t in data.get("tasks", ())),
        detail=data.get("detail", ""),
        request_ran=data.get("request_ran", ""),
    )


def read_starts(deployment: Deployment) -> list[Start]:
    """Return the start records of all workers."""
    found = []
    for record in deployment.read_starts():
        key, _, index = record["key"].rpartition(":")
        found.append(Start(key, int(index), record["at"]))
    return found


def find_violations(starts: Sequence[Start], calls: Sequence[Call]) -> list[str]:
    """Describe every repeated start and every answer that the start records contradict."""
    requests = {call.request.key: call.request for call in calls if call.request.key}
    by_key: dict[str, list[Start]] = {}
    for start in starts:
        by_key.setdefault(start.key, []).append(start)
    counts = Counter((start.key, start.index) for start in starts)
    found = [
        f"{key}:{index} started {count} times"
        for (key, index), count in counts.items()
        if count > 1 and key in requests and not requests[key].may_retry
    ]
    named = sorted((call for call in calls if call.request.key), key=lambda c: c.request.key)
    for key, group in groupby(named, lambda call: call.request.key):
        found.extend(_check_key(by_key.get(key, []), tuple(group)))
    found.extend(text for call in calls for text in check_answer(call))
    return found


def find_unanswered(client: RecordingClient) -> Iterator[str]:
    """Describe the calls without an answer, except those that a fault excuses.

    A killed daemon may leave calls unanswered. A daemon that was told to stop may refuse
    connections, but must answer the requests that it accepted.
    """
    for call in client.calls:
        refused = call.address in client.stopped and "ConnectError" in call.detail
        if call.status == 0 and call.address not in client.killed and not refused:
            yield f"{call.request.key} got no answer from {call.daemon}: {call.detail}"


def check_answer(call: Call) -> Iterator[str]:
    """Describe how an answer is incomplete, belongs to another request or contradicts itself."""
    request = call.request
    if call.state == BROKEN:
        yield f"{request.key}: status {call.status} from {call.daemon}, {call.detail}"
    if call.state not in ("complete", "failed"):
        if call.entries:
            yield f"{request.key}: entries in an answer of state {call.state!r}"
        return
    if len(call.entries) != len(request.bodies):
        yield f"{request.key}: {len(call.entries)} entries for {len(request.bodies)} tasks"
    for index, (entry, body) in enumerate(zip(call.entries, request.bodies, strict=False)):
        if entry.ran == DONE and entry.body != f"answer:{body}":
            yield f"{request.key}:{index} got {entry.body!r} for {body!r}"
    if call.state == "complete" and any(entry.ran != DONE for entry in call.entries):
        yield f"{request.key}: complete with tasks that are not done"


def _check_key(starts: Sequence[Start], calls: tuple[Call, ...]) -> Iterator[str]:
    # Requests with other content under the same key are refused as conflicts and start nothing.
    task_count = max(len(call.request.bodies) for call in calls)
    for index in range(task_count):
        times = [start.at for start in starts if start.index == index]
        yield from _check_task(f"{calls[0].request.key}:{index}", index, times, calls)


def _check_task(
    name: str, index: int, times: Sequence[float], calls: tuple[Call, ...]
) -> Iterator[str]:
    for call in calls:
        if call.says_not_run(index) and any(_contradicts(at, call, calls) for at in times):
            yield f"{name} was reported not run ({call.problem or call.state}) but started"
        done = index < len(call.entries) and call.entries[index].ran == DONE
        if done and not any(at <= call.ended for at in times):
            yield f"{name} is done without a start"
    if times and all(call.state == "" and call.request_ran == NOT_RUN for call in calls):
        yield f"{name} started although every request says that it did not run"
    if times and all(call.says_not_run(index) for call in calls):
        yield f"{name} started although every answer says not run"


def _contradicts(at: float, call: Call, calls: Iterable[Call]) -> bool:
    """Return whether a start contradicts an answer "not run".

    A start during the call contradicts it only if no other call for the key was open meanwhile,
    because the start may belong to that other call.
    """
    if at <= call.began:
        return True
    others = (c for c in calls if c is not call and c.began < call.ended and c.ended > call.began)
    return at <= call.ended and not any(others)


def _make_options(request: Request) -> dict[str, Any]:
    headers = {"Idempotency-Key": request.key} if request.key else {}
    if request.single:
        if request.deadline_ms is not None:
            headers["Fireflybridge-Deadline-Ms"] = str(request.deadline_ms)
        return {"content": request.bodies[0], "headers": headers}
    job: dict[str, Any] = {
        "route": request.route,
        "tasks": [{"body": body} for body in request.bodies],
    }
    if request.deadline_ms is not None:
        job["deadline_ms"] = request.deadline_ms
    return {"json": job, "headers": headers}
