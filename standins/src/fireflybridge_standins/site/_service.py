"""HTTP handlers of the stand-in: the log, the upstreams and the control port."""

import json
from dataclasses import asdict, dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import anyio

from fireflybridge_http import Request, Response
from fireflybridge_standins.site._log import Topic, encode_record, split_records
from fireflybridge_standins.site._upstream import UNHEALTHY, Upstream

TASK_CPU = 6800
HANG_S = 3600.0
DIRECTORY_FIELDS = ("state", "address")


@dataclass(slots=True)
class StoreFaults:
    """Faults of the log; the control port sets them by name."""

    refuses: bool = False
    silent: bool = False
    ignores_appends: bool = False
    """Whether appends get no response and take no effect, while reads are served."""
    lost_appends: int = 0
    """Number of next appends that take effect but get no response."""


@dataclass(slots=True)
class Site:
    """State of the stand-in: topics, upstreams and the faults of the log."""

    topics: dict[str, Topic] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    log_requests: int = 0

    def get_topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to a topic, as the operator or an upstream does."""
        self.get_topic(topic).append([encode_record(key, value)])

    def register(self, upstream: Upstream) -> None:
        """Write an upstream's entry to the directory."""
        value = json.dumps(upstream.make_entry()).encode()
        self.put("keyed.servers", upstream.id, value)

    async def handle_store(self, request: Request) -> Response:
        """Serve one request to the log."""
        self.log_requests += 1
        if self.faults.silent:
            await anyio.sleep(HANG_S)
        if self.faults.refuses:
            return Response(503)
        query = dict(parse_qsl(request.target.partition("?")[2]))
        topic = self.get_topic(query["topic"])
        match request.path:
            case "/fireflybridge/log-newest":
                return make_json_response(200, topic.list_newest())
            case "/fireflybridge/log-read":
                return await _read(topic, query)
            case "/fireflybridge/log-append":
                return await self._append(topic, query, request.body)
            case _:
                return Response(404)

    async def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> Response:
        if self.faults.ignores_appends:
            await anyio.sleep(HANG_S)
        if int(query.get("at", topic.end_offset)) != topic.end_offset:
            return make_json_response(412, {"end": topic.end_offset})
        offset = topic.append(list(split_records(body)))
        if self.faults.lost_appends:
            self.faults.lost_appends -= 1
            await anyio.sleep(HANG_S)
        return make_json_response(200, {"offset": offset, "end": topic.end_offset})

    async def handle_upstream(self, upstream_id: str, request: Request) -> Response:
        """Serve one request to an upstream."""
        upstream = self.upstreams[upstream_id]
        if upstream.behaviour.mute:
            await anyio.sleep(HANG_S)
        if upstream.behaviour.unhealthy:
            return Response(UNHEALTHY)
        message = json.loads(request.body)
        match request.path:
            case "/fireflybridge/run-start":
                status, body = upstream.start(message, TASK_CPU)
                if upstream.behaviour.lost_answers:
                    upstream.behaviour.lost_answers -= 1
                    await anyio.sleep(HANG_S)
            case "/fireflybridge/run-stop":
                status, body = upstream.stop(message)
            case "/fireflybridge/hold":
                status, body = await upstream.hold(message)
            case _:
                return Response(404)
        return make_json_response(status, body)

    async def handle_control(self, request: Request) -> Response:
        """Serve one control request, which sets faults, changes records or reads the state."""
        path = request.path.strip("/").split("/")
        match path:
            case ["control", "append", topic]:
                # The content of one record, which need not be JSON nor have a key in UTF-8.
                self.get_topic(topic).append([request.body])
                return make_json_response(200, {})
        body: dict[str, Any] = json.loads(request.body or b"{}")
        match path:
            case ["control", "store"]:
                for name, value in body.items():
                    setattr(self.faults, name, value)
            case ["control", "forget", topic]:
                self.get_topic(topic).drop_history()
            case ["control", "upstreams", upstream_id]:
                self._update_upstream(self.upstreams[upstream_id], body)
            case ["control", "put", topic, key]:
                self.put(topic, key, json.dumps(body).encode())
            case ["control", "state"]:
                return make_json_response(200, self.describe())
            case _:
                return Response(404)
        return make_json_response(200, {})

    def _update_upstream(self, upstream: Upstream, body: dict[str, Any]) -> None:
        for name, value in body.items():
            target = upstream if name in DIRECTORY_FIELDS else upstream.behaviour
            setattr(target, name, value)
        self.register(upstream)

    def describe(self) -> dict[str, Any]:
        """Return the runs, the leaders, and the fence and address of each upstream."""
        runs = [
            asdict(record)
            for upstream in self.upstreams.values()
            for record in (
                *upstream.history,
                *(run.record for run in upstream.active_runs.values()),
            )
        ]
        leaders = {
            record.key: json.loads(record.value)["host"]
            for record in self.get_topic("keyed.leaders").newest.values()
        }
        fences = {name: upstream.fence for name, upstream in self.upstreams.items()}
        unseen_ends = sum(len(upstream.ended) for upstream in self.upstreams.values())
        return {
            "runs": runs,
            "leaders": leaders,
            "fences": fences,
            "addresses": {name: upstream.address for name, upstream in self.upstreams.items()},
            "unseen_ends": unseen_ends,
            "calls": self.log_requests,
        }


async def _read(topic: Topic, query: dict[str, str]) -> Response:
    start = int(query["from"])
    if start < topic.first_offset:
        return make_json_response(410, {"first": topic.first_offset})
    return Response(200, await topic.read(start, int(query.get("wait_ms", 0)) / 1000))


def make_json_response(status: int, body: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(body).encode(), (("content-type", "application/json"),))
