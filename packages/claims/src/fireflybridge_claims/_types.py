"""Claims, batches of claims and the decisions about them."""

from dataclasses import dataclass

from fireflybridge_core import StepError

KEY_HASH_BYTES = 16
DIGEST_BYTES = 16
INCARNATION_BYTES = 8
MAX_ATTEMPT = 2**48 - 1


@dataclass(frozen=True, slots=True)
class Claim:
    """Request of one executor's attempt to start the submission of a key.

    ``executor`` is a daemon's incarnation, 16 hex digits. ``attempt`` is unique within an
    incarnation, across all keys: an executor that no longer remembers a key must not mistake a new
    attempt for the old one.
    """

    key_hash: bytes
    digest: bytes
    executor: str
    attempt: int

    def __post_init__(self) -> None:
        if len(self.key_hash) != KEY_HASH_BYTES or len(self.digest) != DIGEST_BYTES:
            raise ValueError("a claim needs a key hash and a digest of 16 bytes each")
        if len(bytes.fromhex(self.executor)) != INCARNATION_BYTES:
            raise ValueError(f"an executor is an incarnation of 16 hex digits: {self.executor!r}")
        if not 0 <= self.attempt <= MAX_ATTEMPT:
            raise ValueError(f"an attempt is between 0 and {MAX_ATTEMPT}: {self.attempt}")


@dataclass(frozen=True, slots=True)
class Batch:
    """Claims of one log record, in the order in which they are decided.

    ``writer`` and ``number`` identify the batch. Its writer read every claim record below offset
    ``floor`` at least the retention ago, so a reader may start at that offset.
    """

    writer: str
    number: int
    floor: int
    claims: tuple[Claim, ...]


@dataclass(frozen=True, slots=True)
class Granted:
    """The claim is the first one for its key."""


@dataclass(frozen=True, slots=True)
class HeldBy:
    """An earlier claim with the same content holds the key."""

    executor: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An earlier claim with different content holds the key."""

    executor: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The claim could not be decided; it may still take effect.

    ``retry_after_s`` is the suggested delay before a new attempt, in seconds.
    """

    error: StepError
    retry_after_s: float


Decision = Granted | HeldBy | Conflict | Unavailable


@dataclass(frozen=True, slots=True)
class Undecided:
    """No claim of the key is known, so the claim has to be appended to the log."""
