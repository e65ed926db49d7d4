"""Exchange of tables with peers, for daemons that the log does not reach."""

from collections.abc import Callable

from result import Result

from fireflybridge_daemon._configuration import Configuration
from fireflybridge_peers import Heartbeat, Message, SendFailure, TablesHave

# A read of a log behind a silent link fails only after 25 s, and tables are due everywhere in 5 s.
TABLES_WAIT_S = 1.5


class TablesExchange:
    """Own since when each peer has had other tables in force than this daemon."""

    def __init__(
        self,
        configuration: Configuration,
        send: Callable[[str, Message], Result[None, SendFailure]],
        clock: Callable[[], float],
    ) -> None:
        self._configuration = configuration
        self._send = send
        self._clock = clock
        self._differs_since: dict[str, float] = {}

    def hear(self, peer: str, beat: Heartbeat) -> None:
        """Ask a peer for tables that the log has not brought, or offer them to one without any."""
        configuration, now = self._configuration, self._clock()
        if beat.tables_revision == configuration.state.revision_id:
            self._differs_since.pop(peer, None)
            return
        waited_s = now - self._differs_since.setdefault(peer, now)
        if beat.tables_revision:
            if not configuration.log_reachable or waited_s >= TABLES_WAIT_S:
                self._send(peer, configuration.describe())
        elif not beat.log_reachable:
            # Without the host list the peer has no link on which it could ask.
            offer = configuration.answer_peer(TablesHave(0, ""))
            if offer is not None:
                self._send(peer, offer)
