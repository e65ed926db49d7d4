"""Pauses of the own process, which make peers look silent and old requests look new."""

from fireflybridge_pauses._monitor import PauseMonitor
from fireflybridge_pauses._waiting_clock import WaitingClock

__all__ = ["PauseMonitor", "WaitingClock"]
