"""Fault-injecting TCP proxy between the processes of a test.

Run it with ``python -m fireflybridge_standins.proxy``. A link relays connections from its listener
to its target. Faults are set for each link over HTTP.
"""

from fireflybridge_standins.proxy._faults import (
    Delay,
    Direction,
    Drop,
    Fault,
    Hold,
    LoseAnswer,
    Refuse,
    Truncate,
)
from fireflybridge_standins.proxy._link import Link

__all__ = [
    "Delay",
    "Direction",
    "Drop",
    "Fault",
    "Hold",
    "Link",
    "LoseAnswer",
    "Refuse",
    "Truncate",
]
