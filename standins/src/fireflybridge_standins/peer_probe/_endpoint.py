"""Endpoint that sends numbered messages and records the messages that it receives."""

import json
from collections import defaultdict
from dataclasses import asdict
from typing import Any

import anyio
from result import Err

from fireflybridge_core import StepError, make_incarnation
from fireflybridge_peers import (
    Assign,
    Heartbeat,
    LinkCallbacks,
    LinkSettings,
    Lost,
    Message,
    PeerLinks,
    PeerState,
    PoolLoad,
    Stalled,
    TableRecord,
    TablesSend,
)

POOLS = tuple(PoolLoad(f"pool-{number}", number, 8 * number) for number in range(4))


class Endpoint:
    """Links of one daemon, with a record of the messages received and the losses reported."""

    def __init__(
        self, name: str, key: bytes | None, listen: str = "127.0.0.1:0", heartbeat_s: float = 1.0
    ) -> None:
        self.name = name
        self.incarnation = make_incarnation()
        self.assigned = anyio.Event()
        self.assigned_tasks = 0
        self.received: dict[str, list[int]] = defaultdict(list)
        self.heartbeats: dict[str, int] = defaultdict(int)
        self.incarnations: dict[str, list[str]] = defaultdict(list)
        self.lost: list[Lost] = []
        self.stalled: list[Stalled] = []
        self.faults: list[StepError] = []
        settings = LinkSettings(name, self.incarnation, listen, key, heartbeat_s)
        callbacks = LinkCallbacks(
            self._handle_message,
            self._build_heartbeat,
            self.lost.append,
            self.stalled.append,
            self.faults.append,
        )
        self.links = PeerLinks(settings, callbacks)

    def handle_control(self, method: str, path: str, body: bytes) -> Any:
        """Serve one control request and return the response body, ``None`` for an unknown path."""
        match method, path:
            case "GET", "/state":
                return self._describe()
            case "POST", "/connect":
                self.links.connect(**json.loads(body))
                return {}
            case "POST", "/disconnect":
                self.links.disconnect(**json.loads(body))
                return {}
            case "POST", "/announce":
                self.links.announce()
                return {}
            case "POST", "/send":
                return self.send_messages(**json.loads(body))
            case _:
                return None

    def send_messages(self, peer: str, first: int, count: int, size: int = 10) -> dict[str, int]:
        """Send messages numbered from ``first`` and return the number of refusals by kind.

        The messages are of about ``size`` bytes.
        """
        refusals: dict[str, int] = defaultdict(int)
        for number in range(first, first + count):
            match self.links.send(peer, TablesSend((TableRecord(number, bytes(size)),))):
                case Err(failure):
                    refusals[type(failure).__name__] += 1
                case _:
                    pass
        return refusals

    async def _handle_message(self, peer: str, incarnation: str, message: Message) -> None:
        if incarnation not in self.incarnations[peer]:
            self.incarnations[peer].append(incarnation)
        match message:
            case Heartbeat():
                self.heartbeats[peer] += 1
            case Assign(tasks=tasks):
                self.assigned_tasks += len(tasks)
                self.assigned.set()
            case TablesSend(records):
                self.received[peer].extend(record.offset for record in records)
            case _:
                raise AssertionError(f"unexpected message {message}")

    def _build_heartbeat(self, peer: str) -> Heartbeat:
        return Heartbeat(
            self.name, self.incarnation, "local", PeerState.READY, "revision-1", True, POOLS
        )

    def _describe(self) -> dict[str, Any]:
        return {
            "received": self.received,
            "heartbeats": self.heartbeats,
            "incarnations": self.incarnations,
            "lost": [
                {
                    "peer": lost.peer,
                    "incarnation": lost.incarnation,
                    "unacknowledged": get_message_numbers(lost.unacknowledged),
                    "unsent": get_message_numbers(lost.unsent),
                }
                for lost in self.lost
            ],
            "stalled": [
                {"peer": stalled.peer, "unsent": get_message_numbers(stalled.unsent)}
                for stalled in self.stalled
            ],
            "faults": [asdict(fault) for fault in self.faults],
            "links": [asdict(link) for link in self.links.get_link_stats()],
        }


def get_message_numbers(messages: tuple[Message, ...]) -> list[int]:
    """Return the numbers that ``Endpoint.send_messages`` gave the messages."""
    return [
        record.offset
        for message in messages
        if isinstance(message, TablesSend)
        for record in message.records
    ]
