"""Start, signal and end the programs of this repository."""

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

# The timeouts only end a hung run: how fast a scenario runs within them does not affect its result.
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 30.0
SECOND_SIGNAL_DELAY_S = 2.0  # time for a graceful shutdown before a second SIGTERM
POLL_INTERVAL_S = 0.01
STDERR_TAIL_CHARACTERS = 4000
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


def wait_until(
    condition: Callable[[], object], timeout_s: float = 30.0, detail: str = "condition"
) -> None:
    """Poll ``condition`` until it is true; raise AssertionError after ``timeout_s`` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"{detail} is still false after {timeout_s} s")
        time.sleep(POLL_INTERVAL_S)


@dataclass(frozen=True, slots=True)
class Program:
    """A started program and its output.

    Standard output and standard error go to temporary files, so that a program never blocks on a
    full pipe.
    """

    name: str
    process: subprocess.Popen[bytes]
    stdout: Path
    stderr: Path
    ready: dict[str, Any] = field(default_factory=dict)

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def address(self) -> str:
        """Return the ``ip:port`` from the ready line."""
        return str(self.ready["address"])

    def is_running(self) -> bool:
        """Return whether the process has not exited yet."""
        return self.process.poll() is None

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.process.send_signal(signal.SIGKILL)

    def reload(self) -> None:
        """Send SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    def handles_reload(self) -> bool:
        """Return whether the program already ignores or catches SIGHUP."""
        status = Path(f"/proc/{self.pid}/status").read_text()
        masks = re.findall(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
        return any(int(mask, 16) & SIGHUP_BIT for mask in masks)

    def pause(self) -> None:
        """Send SIGSTOP and return once the process has stopped."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.pid, os.WSTOPPED | os.WNOWAIT)

    def resume(self) -> None:
        """Send SIGCONT."""
        self.process.send_signal(signal.SIGCONT)

    def wait_exit(self, timeout_s: float = EXIT_TIMEOUT_S) -> int:
        """Return the exit code, negative for a signal, or raise after ``timeout_s`` seconds."""
        try:
            return self.process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise AssertionError(f"{self.name} still runs after {timeout_s} s") from None

    def read_stdout(self) -> str:
        """Return everything that the program wrote to standard output."""
        return self.stdout.read_text(errors="replace")

    def read_stderr(self) -> str:
        """Return everything that the program wrote to standard error."""
        return self.stderr.read_text(errors="replace")


def run_with_processes(body: Callable[["Processes"], int]) -> int:
    """Return the exit code of ``body`` and end every program that it started."""
    processes = Processes()
    try:
        return body(processes)
    finally:
        survivors = processes.end_all()
        processes.close()
        if survivors:
            print(f"still running after SIGTERM: {survivors}")


class Processes:
    """The programs that one scenario has started, and their temporary files."""

    def __init__(self) -> None:
        self.programs: list[Program] = []
        self._directory = tempfile.TemporaryDirectory()

    @property
    def directory(self) -> str:
        """Return a directory that is deleted at the end of the scenario."""
        return self._directory.name

    def start(
        self,
        module: str,
        *arguments: str,
        environment: Mapping[str, str] | None = None,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> Program:
        """Run ``python -m module`` and return it once it has printed its ready line."""
        program = self.spawn(module, *arguments, environment=environment)
        wait_until(
            lambda: "\n" in program.read_stdout() or not program.is_running(),
            timeout_s,
            f"ready line of {program.name}",
        )
        line, newline, _ = program.read_stdout().partition("\n")
        assert newline, f"{program.name} exited without a ready line: {program.read_stderr()}"
        program.ready.update(json.loads(line))
        assert program.ready.get("ready") is True, f"{program.name} printed {line}"
        return program

    def spawn(
        self, module: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> Program:
        """Run ``python -m module`` without waiting for its ready line: it may refuse to start."""
        stem = Path(self._directory.name, str(len(self.programs)))
        stdout, stderr = stem.with_suffix(".stdout"), stem.with_suffix(".stderr")
        with stdout.open("wb") as output, stderr.open("wb") as errors:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=errors,
                env={**os.environ, **(environment or {})},
            )
        program = Program(f"{module} (pid {process.pid})", process, stdout, stderr)
        self.programs.append(program)
        return program

    def end_all(self) -> list[str]:
        """End every program and return the names of those that ignored SIGTERM twice.

        A second SIGTERM ends a graceful shutdown early; a program that ignores it is killed.
        """
        self._signal_running(signal.SIGCONT, signal.SIGTERM)
        if not self._wait_all(SECOND_SIGNAL_DELAY_S):
            self._signal_running(signal.SIGTERM)
            self._wait_all(EXIT_TIMEOUT_S)
        survivors = [program.name for program in self.programs if program.is_running()]
        self._signal_running(signal.SIGKILL)
        for program in self.programs:
            program.process.wait()
        return survivors

    def describe(self) -> str:
        """Return each program's exit code and the end of its standard error."""
        return "\n".join(
            f"--- {program.name}, exit code {program.process.poll()}\n"
            f"{program.read_stderr()[-STDERR_TAIL_CHARACTERS:]}"
            for program in self.programs
        )

    def close(self) -> None:
        """Delete the temporary files."""
        self._directory.cleanup()

    def _signal_running(self, *signals: signal.Signals) -> None:
        for program in filter(Program.is_running, self.programs):
            for number in signals:
                program.process.send_signal(number)

    def _wait_all(self, timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while any(program.is_running() for program in self.programs):
            if time.monotonic() > deadline:
                return False
            time.sleep(POLL_INTERVAL_S)
        return True
