"""Helpers shared by the steps of every feature."""

from support.control import send_control
from support.platform import check_append, check_error, choose_timeout, describe_append, run_log
from support.processes import (
    EXIT_LIMIT_S,
    READY_LIMIT_S,
    Processes,
    Program,
    wait_until,
)
from support.proxy import Proxy, start_proxy

__all__ = [
    "EXIT_LIMIT_S",
    "READY_LIMIT_S",
    "Processes",
    "Program",
    "Proxy",
    "check_append",
    "check_error",
    "choose_timeout",
    "describe_append",
    "run_log",
    "send_control",
    "start_proxy",
    "wait_until",
]
