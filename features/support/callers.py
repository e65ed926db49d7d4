"""Callers of hosts on the users' platform, with persistent connections and retries."""

import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from dataclasses import dataclass, field
from typing import Any

import httpx

from support.site import TASK

DEADLINE_MS = 3000
RETRY_DELAY_S = 1.3  # the users' clients wait this long before they retry
MAX_ATTEMPTS = 3
MAX_CALLERS = 24
UNANSWERED = 0
RETRIED_STATUSES = frozenset({UNANSWERED, 502, 504})


@dataclass(frozen=True, slots=True)
class Attempt:
    """Hold one attempt to submit a job; times are seconds of the monotonic clock.

    ``connected`` is false if the host refused the connection and so read no request.
    """

    job: str
    tasks: int
    host: str
    sent_s: float
    ended_s: float
    status: int
    state: str = ""
    connected: bool = True


@dataclass(slots=True)
class Callers:
    """Submit jobs over persistent connections and record every attempt."""

    addresses: dict[str, str]
    attempts: list[Attempt] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)
    _local: threading.local = field(default_factory=threading.local)
    _pool: ThreadPoolExecutor = field(default_factory=lambda: ThreadPoolExecutor(MAX_CALLERS))
    _jobs: list[Future[None]] = field(default_factory=list)

    def submit(self, choose_host: Callable[[], str], tasks: int) -> None:
        """Submit a job from another thread until it is answered, each time to a newly chosen host."""
        self._jobs.append(self._pool.submit(self._submit, choose_host, tasks))

    def wait_all(self) -> None:
        """Wait for the last attempt of every job."""
        wait(self._jobs)
        for job in self._jobs:
            job.result()
        self._jobs.clear()

    def close(self) -> None:
        """Stop the threads."""
        self._pool.shutdown()

    def _submit(self, choose_host: Callable[[], str], tasks: int) -> None:
        job = uuid.uuid4().hex[:16]
        for _ in range(MAX_ATTEMPTS):
            attempt = self._attempt(job, tasks, choose_host())
            with self._lock:
                self.attempts.append(attempt)
            if attempt.status not in RETRIED_STATUSES:
                return
            time.sleep(RETRY_DELAY_S)

    def _attempt(self, job: str, tasks: int, host: str) -> Attempt:
        sent_s = time.monotonic()
        connected, status, state = True, UNANSWERED, ""
        try:
            response = self._get_client().post(
                f"http://{self.addresses[host]}/orders/{job}",
                json={"spec": "work", "best_effort": True, "steps": [{"count": tasks, **TASK}]},
                headers={"host": "desk.example", "x-deadline-ms": str(DEADLINE_MS)},
            )
            status = response.status_code
            state = read_state(response)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            connected = False
        except httpx.HTTPError:
            pass
        return Attempt(job, tasks, host, sent_s, time.monotonic(), status, state, connected)

    def _get_client(self) -> httpx.Client:
        client: httpx.Client | None = getattr(self._local, "client", None)
        if client is None:
            client = self._local.client = httpx.Client(
                timeout=httpx.Timeout(DEADLINE_MS / 1000 + 2 * RETRY_DELAY_S, connect=1.0),
                trust_env=False,
            )
        return client


def read_state(response: httpx.Response) -> str:
    """Return the state of the job in an answer, empty if it has none."""
    if response.status_code != 200:
        return ""
    body: dict[str, Any] = response.json()
    return str(body["state"])
