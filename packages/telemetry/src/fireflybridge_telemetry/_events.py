"""Numbered log events, written as JSON or for a terminal."""

import logging
import sys
from enum import Enum
from typing import Any

import structlog


class Event(Enum):
    """Catalogue of log events: number and message; described in docs/reference/events.md."""

    DAEMON_STARTED = (1001, "daemon started")
    DAEMON_STOPPED = (1002, "daemon stopped")
    DRAIN_STARTED = (1003, "drain started")
    DRAIN_CUT = (1004, "drain ended with requests unanswered by upstreams")
    CHECK_FAILED = (1005, "start-up check failed")
    TABLES_IN_FORCE = (2001, "tables in force")
    TABLES_RECORD_UNREADABLE = (2002, "tables record unreadable")
    TABLES_READ_FAILED = (2003, "tables stream read failed")
    TABLES_KEPT = (2004, "tables re-recorded before retention")
    HOST_LIST_FAILED = (3001, "host list read failed")
    HOST_LIST_IGNORED = (3002, "host list ignored")
    PEER_FOUND = (3003, "peer found")
    PEER_LOST = (3004, "peer lost")
    PEER_MESSAGE_REJECTED = (3005, "peer message rejected")
    PEER_STALLED = (3006, "peer does not acknowledge messages")
    UPSTREAM_ACQUIRED = (4001, "upstream acquired")
    UPSTREAM_RELEASED = (4002, "upstream released")
    UPSTREAM_EJECTED = (4003, "upstream ejected")
    CLAIM_APPEND_FAILED = (5001, "claim append failed")
    CLAIM_RECORD_UNREADABLE = (5002, "claim record unreadable")
    CLAIM_SHARD_REPORT = (5003, "claim shard report")
    REQUEST_FAILED = (6001, "request failed on an internal error")

    @property
    def number(self) -> int:
        """Return the event's number, which never changes."""
        return int(self.value[0])

    @property
    def message(self) -> str:
        """Return the event's text."""
        return str(self.value[1])


def configure_logs(form: str, level: str, **bound: str) -> None:
    """Write logs to standard error in ``json`` or ``terminal`` form with bound fields."""
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


def log_event(event: Event, *, level: str = "info", **fields: Any) -> None:
    """Write one event with its number and fields; payloads and keys never go into fields."""
    getattr(structlog.get_logger(), level)(event.message, event_id=event.number, **fields)
