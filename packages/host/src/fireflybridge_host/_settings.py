"""Settings of a host and their checks."""

from collections.abc import Iterator
from dataclasses import dataclass

DRAIN_MARGIN_S = 0.7  # time to exit after the drain, before the platform kills the process
MIN_GRACE_S = 1.0
JOINED_UPSTREAMS = 96  # with more, one leader on two cores has no time to answer heartbeats


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Hold the settings that a host is started with; addresses are ``ip:port``."""

    name: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    callers_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    strength: float
    """CPU share in cores; the strongest host leads."""
    grace_s: float
    """Time from SIGTERM until the platform kills the process."""
    log_lines_per_s: int
    joined_upstreams: int = JOINED_UPSTREAMS
    """Largest number of upstreams for which one leader serves all failure domains."""
    resubmission_delay_s: float = 0.0
    """Shortest time after which a caller without an answer sends its job again; 0 if unknown."""

    @property
    def drain_s(self) -> float:
        """Return the longest duration of a drain."""
        return self.grace_s - DRAIN_MARGIN_S


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """Describe an invalid setting, with the id of its check."""

    check: str
    setting: str
    value: str
    cure: str


def check_settings(settings: HostSettings) -> tuple[SettingsFault, ...]:
    """Return all faults of the settings."""
    return tuple(_find_faults(settings))


def _find_faults(settings: HostSettings) -> Iterator[SettingsFault]:
    if not settings.name:
        yield SettingsFault("host.E001", "name", "", "name the host")
    if settings.failure_domain not in settings.failure_domains:
        yield SettingsFault(
            "host.E002", "failure_domain", settings.failure_domain, "list it in failure_domains"
        )
    addresses = {
        "callers_address": settings.callers_address,
        "ready_address": settings.ready_address,
        "peer_address": settings.peer_address,
        "metrics_address": settings.metrics_address,
    }
    for name, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            yield SettingsFault("host.E003", name, address, "write it as ip:port")
    if settings.grace_s < MIN_GRACE_S:
        yield SettingsFault(
            "host.E004", "grace_s", str(settings.grace_s), f"allow at least {MIN_GRACE_S} s"
        )
    if settings.log_lines_per_s < 1:
        yield SettingsFault(
            "host.E005", "log_lines_per_s", str(settings.log_lines_per_s), "allow one or more"
        )
    if settings.joined_upstreams < 0:
        yield SettingsFault(
            "host.E006", "joined_upstreams", str(settings.joined_upstreams), "allow none or more"
        )
    if settings.resubmission_delay_s < 0:
        yield SettingsFault(
            "host.E007",
            "resubmission_delay_s",
            str(settings.resubmission_delay_s),
            "set it to 0 or more",
        )
