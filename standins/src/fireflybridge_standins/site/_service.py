"""HTTP front of the stand-in: the log, one address for each upstream, and the control port."""

import json
from dataclasses import asdict, dataclass, field
from typing import Any
from urllib.parse import parse_qsl

import anyio

from fireflybridge_http import Request, Response
from fireflybridge_standins.site._log import Topic, encode_keyed, split_records
from fireflybridge_standins.site._upstream import UNHEALTHY, Upstream

TASK_CPU = 6800
SILENCE_S = 3600.0
ENTRY_FIELDS = ("state", "address")


@dataclass(slots=True)
class StoreFaults:
    """Hold the faults of the log."""

    refuses: bool = False
    silent: bool = False
    lost_appends: int = 0
    """How many of the next appends take effect without an answer."""


@dataclass(slots=True)
class Site:
    """Own the topics, the upstreams and the faults."""

    topics: dict[str, Topic] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: int = 0

    def find_topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or an upstream does."""
        self.find_topic(topic).append([encode_keyed(key, value)])

    def register(self, upstream: Upstream) -> None:
        """Write an upstream's entry."""
        value = json.dumps(upstream.describe()).encode()
        self.put("keyed.servers", upstream.id, value)

    async def handle_store(self, request: Request) -> Response:
        """Serve the log."""
        self.calls += 1
        if self.faults.silent:
            await anyio.sleep(SILENCE_S)
        if self.faults.refuses:
            return Response(503)
        query = dict(parse_qsl(request.target.partition("?")[2]))
        topic = self.find_topic(query["topic"])
        match request.path:
            case "/fireflybridge/log-newest":
                return make_json(200, topic.list_newest())
            case "/fireflybridge/log-read":
                return await _read(topic, query)
            case "/fireflybridge/log-append":
                return await self._append(topic, query, request.body)
            case _:
                return Response(404)

    async def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> Response:
        if int(query.get("at", topic.end)) != topic.end:
            return make_json(412, {"end": topic.end})
        offset = topic.append(list(split_records(body)))
        if self.faults.lost_appends:
            self.faults.lost_appends -= 1
            await anyio.sleep(SILENCE_S)
        return make_json(200, {"offset": offset, "end": topic.end})

    async def handle_upstream(self, name: str, request: Request) -> Response:
        """Serve one upstream."""
        upstream = self.upstreams[name]
        if upstream.behaviour.mute:
            await anyio.sleep(SILENCE_S)
        if upstream.behaviour.unhealthy:
            return Response(UNHEALTHY)
        order = json.loads(request.body)
        match request.path:
            case "/fireflybridge/run-start":
                status, body = upstream.start(order, TASK_CPU)
                if upstream.behaviour.lost_answers:
                    upstream.behaviour.lost_answers -= 1
                    await anyio.sleep(SILENCE_S)
            case "/fireflybridge/run-stop":
                status, body = upstream.stop(order)
            case "/fireflybridge/hold":
                status, body = await upstream.hold(order)
            case _:
                return Response(404)
        return make_json(status, body)

    async def handle_control(self, request: Request) -> Response:
        """Serve the control port: faults, records and the history of runs."""
        body: dict[str, Any] = json.loads(request.body or b"{}")
        match request.path.strip("/").split("/"):
            case ["control", "store"]:
                for name, value in body.items():
                    setattr(self.faults, name, value)
            case ["control", "forget", topic]:
                self.find_topic(topic).forget()
            case ["control", "upstreams", name]:
                self._change(self.upstreams[name], body)
            case ["control", "put", topic, key]:
                self.put(topic, key, json.dumps(body).encode())
            case ["control", "state"]:
                return make_json(200, self.describe())
            case _:
                return Response(404)
        return make_json(200, {})

    def _change(self, upstream: Upstream, body: dict[str, Any]) -> None:
        for name, value in body.items():
            target = upstream if name in ENTRY_FIELDS else upstream.behaviour
            setattr(target, name, value)
        self.register(upstream)

    def describe(self) -> dict[str, Any]:
        """Return the terms, all runs and what each upstream has seen."""
        runs = [
            asdict(record)
            for upstream in self.upstreams.values()
            for record in (*upstream.history, *(live.record for live in upstream.live.values()))
        ]
        leaders = {
            record.key: json.loads(record.value)["host"]
            for record in self.find_topic("keyed.leaders").newest.values()
        }
        fences = {name: upstream.fence for name, upstream in self.upstreams.items()}
        unseen = sum(len(upstream.ended) for upstream in self.upstreams.values())
        return {
            "runs": runs,
            "leaders": leaders,
            "fences": fences,
            "addresses": {name: upstream.address for name, upstream in self.upstreams.items()},
            "unseen_ends": unseen,
            "calls": self.calls,
        }


async def _read(topic: Topic, query: dict[str, str]) -> Response:
    start = int(query["from"])
    if start < topic.first:
        return make_json(410, {"first": topic.first})
    return Response(200, await topic.read(start, int(query.get("wait_ms", 0)) / 1000))


def make_json(status: int, body: object) -> Response:
    """Return a response with a JSON body."""
    return Response(status, json.dumps(body).encode(), (("content-type", "application/json"),))
