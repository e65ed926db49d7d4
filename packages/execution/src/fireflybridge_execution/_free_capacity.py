"""Free capacity of the upstreams that this host leads, kept up to date with their sessions."""

import time
from heapq import heappop, heappush

from fireflybridge_execution._session import UpstreamSession
from fireflybridge_execution._session_manager import SessionManager
from fireflybridge_placement import UpstreamCandidate, UpstreamIndex, WorkEstimator


class FreeCapacity:
    """Update the index of free upstreams for those that have changed since the last query."""

    def __init__(self, sessions: SessionManager, estimator: WorkEstimator) -> None:
        self._sessions = sessions
        self._estimator = estimator
        self._index = UpstreamIndex()
        self._changed: set[str] = set()
        self._blocked: list[tuple[float, str]] = []
        """Heap of the times at which an ejection or a back-off ends."""

    def mark_changed(self, upstream: str) -> None:
        """Note that an upstream's runs, state, health or speed have changed."""
        self._changed.add(upstream)

    def get_index(self) -> UpstreamIndex:
        """Return the index of the upstreams that accept work now."""
        now_s = time.monotonic()
        while self._blocked and self._blocked[0][0] <= now_s:
            self._changed.add(heappop(self._blocked)[1])
        while self._changed:
            self._update(self._changed.pop(), now_s)
        return self._index

    def _update(self, upstream: str, now_s: float) -> None:
        session = self._sessions.find(upstream)
        if session is None:
            self._index.remove(upstream)
        elif session.admits(now_s):
            self._index.put(self._build_candidate(session))
        else:
            self._index.remove(upstream)
            if session.blocked_until_s > now_s:
                heappush(self._blocked, (session.blocked_until_s, upstream))

    def _build_candidate(self, session: UpstreamSession) -> UpstreamCandidate:
        info = session.info
        speed = self._estimator.get_speed(info.id)
        available = session.available
        idle = session.runs.is_empty
        return UpstreamCandidate(info.id, info.pool, available, speed, info.labels, idle)
