"""The record of a case: what was sent, answered and run, with times since the start."""

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Keep the entries in order, and write them to a file, one JSON object a line."""

    def __init__(self) -> None:
        self.entries: list[dict[str, Any]] = []
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self._began_s

    def note(self, what: str, **details: Any) -> None:
        """Add an entry."""
        self.entries.append({"at_s": round(self.now_s, 4), "what": what, **details})

    def select(self, what: str) -> list[dict[str, Any]]:
        """Return the entries of one kind."""
        return [entry for entry in self.entries if entry["what"] == what]

    def write(self, path: Path) -> None:
        """Write all entries."""
        path.write_text("".join(json.dumps(entry) + "\n" for entry in self.entries))
