"""Numbered log events, written as JSON or for a terminal."""

import logging
import sys
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any

import structlog


class Level(StrEnum):
    """Severity of an event, as it is written to the log."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class EventEntry:
    """Describe an event by its number, which never changes, and its level, message and fields."""

    number: int
    level: Level
    message: str
    fields: tuple[str, ...] = ()


class Event(Enum):
    """The log events; docs/reference/events.md says what an operator does for each."""

    DAEMON_STARTED = EventEntry(1001, Level.INFO, "daemon started", ("callers",))
    DAEMON_STOPPED = EventEntry(1002, Level.INFO, "daemon stopped")
    DRAIN_STARTED = EventEntry(1003, Level.INFO, "drain started", ("running",))
    DRAIN_CUT = EventEntry(
        1004, Level.WARNING, "drain ended with requests unanswered by upstreams", ("submissions",)
    )
    CHECK_FAILED = EventEntry(1005, Level.ERROR, "start-up check failed", ("check", "fault"))
    TABLES_IN_FORCE = EventEntry(2001, Level.INFO, "tables in force", ("revision", "offset"))
    TABLES_RECORD_UNREADABLE = EventEntry(
        2002, Level.WARNING, "tables record unreadable", ("offset", "fault")
    )
    TABLES_LOG_FAILED = EventEntry(2003, Level.WARNING, "tables log call failed", ("error",))
    TABLES_KEPT = EventEntry(
        2004, Level.INFO, "tables re-recorded before retention", ("offset", "revision")
    )
    HOST_LIST_FAILED = EventEntry(3001, Level.WARNING, "host list read failed", ("error",))
    HOST_LIST_IGNORED = EventEntry(3002, Level.WARNING, "host list ignored", ("verdict",))
    PEER_FOUND = EventEntry(3003, Level.INFO, "peer found", ("peer", "incarnation"))
    PEER_LOST = EventEntry(3004, Level.WARNING, "peer session ended", ("peer", "incarnation"))
    PEER_MESSAGE_REJECTED = EventEntry(3005, Level.WARNING, "peer message rejected", ("error",))
    PEER_STALLED = EventEntry(3006, Level.WARNING, "peer does not acknowledge messages", ("peer",))
    PEER_SILENT = EventEntry(3007, Level.WARNING, "peer silent", ("peer",))
    NAME_TAKEN = EventEntry(
        3008,
        Level.ERROR,
        "another daemon runs under this daemon's --name",
        ("setting", "value", "incarnation", "yields"),
    )
    CANCELLATION_UNSENT = EventEntry(
        3009, Level.WARNING, "cancellation not sent to peer", ("peer", "reason")
    )
    UPSTREAM_ACQUIRED = EventEntry(4001, Level.INFO, "upstream acquired", ("pool", "upstream"))
    UPSTREAM_RELEASED = EventEntry(4002, Level.INFO, "upstream released", ("pool", "upstream"))
    UPSTREAM_EJECTED = EventEntry(4003, Level.WARNING, "upstream ejected", ("pool", "upstream"))
    CLAIM_LOG_FAILED = EventEntry(5001, Level.WARNING, "claim log call failed", ("shard", "error"))
    CLAIM_RECORD_UNREADABLE = EventEntry(
        5002, Level.WARNING, "claim record unreadable", ("shard", "offset", "reason")
    )
    CLAIM_SHARD_REPORT = EventEntry(5003, Level.INFO, "claim shard report", ("report",))
    REQUEST_FAILED = EventEntry(
        6001, Level.ERROR, "request failed on an internal error", ("error", "place")
    )
    TRACE_EXPORT_FAILED = EventEntry(6002, Level.WARNING, "trace export failed", ("error",))
    TRACE_EXPORT_RESTORED = EventEntry(6003, Level.INFO, "trace export restored")

    @property
    def entry(self) -> EventEntry:
        """Return the event's description."""
        return self.value


def configure_logs(form: str, level: str, **bound: str) -> None:
    """Write logs to standard error in ``json`` or ``terminal`` form, with ``bound`` in each line."""
    renderer: Any = (
        structlog.dev.ConsoleRenderer()
        if form == "terminal"
        else structlog.processors.JSONRenderer()
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**bound)


def log_event(event: Event, **fields: Any) -> None:
    """Write an event with the fields of its entry; fields must not hold payloads or keys."""
    entry = event.entry
    write = getattr(structlog.get_logger(), entry.level)
    write(entry.message, event_id=entry.number, **fields)
