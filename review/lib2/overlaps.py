"""Runs of one task that were under way at one time."""

from itertools import combinations
from typing import Any

from lib2.record import Record


def find_overlaps(record: Record) -> list[str]:
    """Return the pairs of runs of one task that were under way at one time."""
    runs: dict[str, list[dict[str, Any]]] = {}
    for entry in record.entries:
        if entry["what"] == "run start":
            run = {**entry, "end_s": record.now_s, "how": "under way"}
            runs.setdefault(entry["task"], []).append(run)
        elif entry["what"] == "run end":
            run = next(
                run
                for run in reversed(runs[entry["task"]])
                if (run["worker"], run["run"]) == (entry["worker"], entry["run"])
            )
            run.update(end_s=entry["at_s"], how=entry["how"])
    return [
        f"{task}: {describe(first)} and {describe(second)}, {overlap_s * 1000:.0f} ms at one time"
        for task, found in runs.items()
        for first, second in combinations(found, 2)
        if (overlap_s := min(first["end_s"], second["end_s"]) - max(first["at_s"], second["at_s"]))
        > 0
    ]


def describe(run: dict[str, Any]) -> str:
    """Return a run in words."""
    return (
        f"run {run['run']} on {run['worker']} from {run['at_s']:.3f} to {run['end_s']:.3f} s"
        f" ({run['how']})"
    )
