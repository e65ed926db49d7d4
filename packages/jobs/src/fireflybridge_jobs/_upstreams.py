"""What is known of an upstream before it is called."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold an amount of processor (thousandths of a core), memory (MB) and accelerators."""

    cpu_millicores: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, room: "Resources") -> bool:
        """Return whether this amount is available in a room."""
        return (
            self.cpu_millicores <= room.cpu_millicores
            and self.memory_mb <= room.memory_mb
            and self.gpus <= room.gpus
        )

    def __add__(self, other: "Resources") -> "Resources":
        """Return the sum of two amounts."""
        return Resources(
            self.cpu_millicores + other.cpu_millicores,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        """Return what is left after an amount is taken."""
        return Resources(
            self.cpu_millicores - other.cpu_millicores,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


class UpstreamState(StrEnum):
    """Name whether an upstream takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class UpstreamInfo:
    """Describe one upstream as it has registered itself."""

    id: str
    pool: str
    address: str
    failure_domain: str
    state: UpstreamState
    capacity: Resources
    labels: tuple[str, ...] = ()
    incarnation: int = 0
    """The Unix time of its start in milliseconds; a new start under an old id has another."""
