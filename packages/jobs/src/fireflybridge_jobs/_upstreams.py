"""Registration data of upstreams."""

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of CPU (thousandths of a core), memory (MB) and GPUs."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Return whether this amount doesn't exceed the available one in any resource."""
        return (
            self.cpu_millicores <= available.cpu_millicores
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def __add__(self, other: "Resources") -> "Resources":
        """Add two amounts, resource by resource."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Subtract another amount, resource by resource; a result may be negative."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


class UpstreamState(StrEnum):
    """Whether an upstream accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """An upstream's entry in the directory, as it registered itself."""

    id: str
    pool: str
    address: str
    failure_domain: str
    state: UpstreamState
    capacity: Resources
    labels: tuple[str, ...] = ()
    incarnation: int = 0
    """Unix time of the upstream's start in milliseconds; it differs after a restart under one id."""
    revision: int = field(default=0, compare=False)
    """Changes each time the upstream reports itself to the directory."""
