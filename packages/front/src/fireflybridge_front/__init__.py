"""HTTP API for callers and the operators' port."""

from fireflybridge_front._callers import CallersApp
from fireflybridge_front._interfaces import Dispatcher, IssuedPrefix, Operations, RequestTracer
from fireflybridge_front._operators import OperatorsApp
from fireflybridge_front._server import serve_app

__all__ = [
    "CallersApp",
    "Dispatcher",
    "IssuedPrefix",
    "Operations",
    "OperatorsApp",
    "RequestTracer",
    "serve_app",
]
