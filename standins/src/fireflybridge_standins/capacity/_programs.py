"""Starts and ends the programs of a measurement and reads their resource use."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

NS_PER_S = 1e9
BYTES_PER_MB = 1e6
TERMINATION_TIMEOUT_S = 10.0
BYTES_SENT = re.compile(r"bytes_sent:(\d+)")
BYTES_RECEIVED = re.compile(r"bytes_received:(\d+)")
PID = re.compile(r"pid=(\d+)")


@dataclass(frozen=True, slots=True)
class Program:
    """Started program and the fields of its ready line."""

    process: subprocess.Popen[bytes]
    ready: dict[str, Any]

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def address(self) -> str:
        """Return the ``ip:port`` of the ready line."""
        return str(self.ready["address"])

    def read_cpu_s(self) -> float:
        """Return the CPU time of all threads so far, in seconds."""
        tasks = Path(f"/proc/{self.pid}/task").iterdir()
        return sum(int((t / "schedstat").read_text().split()[0]) for t in tasks) / NS_PER_S

    def read_resident_mb(self) -> float:
        """Return the resident memory in MB."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


class Programs:
    """Programs of one measurement; each is ended on exit by its own process id."""

    def __init__(self) -> None:
        self._started: list[Program] = []
        self._directory = tempfile.TemporaryDirectory()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self.end(self._started)
        self._directory.cleanup()

    def start(
        self, module: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> Program:
        """Run ``python -m module`` and return it after it has printed its ready line."""
        stderr_path = Path(self._directory.name, f"{len(self._started)}.stderr")
        with stderr_path.open("wb") as stderr:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=stderr,
                env={**os.environ, **(environment or {})},
            )
        assert process.stdout is not None
        program = Program(process, {})
        self._started.append(program)
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(f"{module} printed no ready line: {stderr_path.read_text()[-2000:]}")
        program.ready.update(json.loads(line))
        return program

    def end(self, programs: Sequence[Program]) -> None:
        """Send SIGTERM twice, which skips the drain, and kill programs that do not exit in time."""
        for _ in range(2):
            for program in programs:
                if program.process.poll() is None:
                    program.process.send_signal(signal.SIGTERM)
        for program in programs:
            try:
                program.process.wait(TERMINATION_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                program.process.kill()
                program.process.wait()
        self._started = [program for program in self._started if program not in programs]


def read_socket_bytes() -> dict[int, int]:
    """Return the payload bytes sent and received on the open TCP connections of each process.

    The connections of a daemon are persistent, so the increase of this sum is its traffic.
    """
    command = ["ss", "--tcp", "--info", "--processes", "--numeric", "--no-header", "--oneline"]
    lines = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True).stdout
    totals: dict[int, int] = {}
    for line in lines.splitlines():
        pid = PID.search(line)
        if pid is not None:
            matches = [
                match for pattern in (BYTES_SENT, BYTES_RECEIVED) if (match := pattern.search(line))
            ]
            size = sum(int(match[1]) for match in matches)
            totals[int(pid[1])] = totals.get(int(pid[1]), 0) + size
    return totals


def read_import_mb() -> float:
    """Return the resident memory of an interpreter that has only imported the daemon, in MB."""
    code = "import fireflybridge_daemon, uvloop; print(open('/proc/self/statm').read().split()[1])"
    pages = subprocess.run([sys.executable, "-c", code], stdout=subprocess.PIPE, check=True).stdout
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
