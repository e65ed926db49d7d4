"""HTTP requests and responses with complete bodies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a request; header names are in lower case."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    sent_after_s: float = 0.0
    """Monotonic time before which the client of a server hadn't sent it."""

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    def find_header(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        return next((value for key, value in self.headers if key == name), None)


@dataclass(frozen=True, slots=True)
class Response:
    """Hold a response; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()

    @property
    def succeeded(self) -> bool:
        """Return whether the status code is 2xx."""
        return 200 <= self.status < 300
