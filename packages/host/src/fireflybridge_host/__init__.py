"""Composition root of a host that dispatches jobs on the platform's upstreams."""

from fireflybridge_host._host import PlatformPorts, RequestRecorder, run_host
from fireflybridge_host._settings import HostSettings, SettingsFault, check_settings

__all__ = [
    "HostSettings",
    "PlatformPorts",
    "RequestRecorder",
    "SettingsFault",
    "check_settings",
    "run_host",
]
