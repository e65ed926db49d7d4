"""Commands as data classes, independent of the command-line syntax."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Check:
    """Check the tables in a directory."""

    directory: str


@dataclass(frozen=True, slots=True)
class Diff:
    """Compare the tables in a directory with the revision in force."""

    directory: str
    platform: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait up to ``timeout_s`` for the daemons with these operators' addresses."""

    operators: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish the tables in a directory as a child of ``parent``.

    ``timeout_s`` bounds the wait for the revision's verdict after the append. ``restart`` allows
    publishing although the log no longer shows which revision is in force. With ``wait`` the
    command also waits until the daemons have the revision in force.
    """

    directory: str
    platform: str
    parent: str | None
    author: str
    timeout_s: float
    restart: bool
    wait: Wait | None


@dataclass(frozen=True, slots=True)
class History:
    """List the last revisions."""

    platform: str
    limit: int


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit a job; an empty ``key`` asks the daemon for a key prefix.

    ``path`` names a file with one task per line, ``-`` means standard input. Its tasks follow those
    in ``bodies``.
    """

    daemon: str
    route: str
    bodies: tuple[str, ...]
    path: str
    key: str
    team: str
    deadline_ms: int | None
    respond_async: bool
    attempts: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch a job's answer, waiting up to ``wait_ms`` for it."""

    daemon: str
    key: str
    wait_ms: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the tasks of a job that have not started."""

    daemon: str
    key: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Status:
    """Query the status of daemons on their operators' ports."""

    operators: tuple[str, ...]
    timeout_s: float


@dataclass(frozen=True, slots=True)
class Replay:
    """Send a recorded trace to a daemon.

    At most ``concurrency`` jobs are in flight and ``max_jobs`` are sent; ``speed`` divides the
    trace's times.
    """

    daemon: str
    path: str
    concurrency: int
    max_jobs: int
    speed: float
    deadline_ms: int | None
    timeout_s: float


Command = Check | Diff | Publish | History | Submit | Fetch | Cancel | Status | Replay
