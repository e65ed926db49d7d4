"""Helpers shared by the steps of every feature."""

from support.control import send_control
from support.processes import (
    EXIT_LIMIT_S,
    READY_LIMIT_S,
    Processes,
    Program,
    wait_until,
)

__all__ = [
    "EXIT_LIMIT_S",
    "READY_LIMIT_S",
    "Processes",
    "Program",
    "send_control",
    "wait_until",
]
