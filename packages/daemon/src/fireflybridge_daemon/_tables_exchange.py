"""Exchange of tables with peers, for daemons that cannot reach the log."""

from collections.abc import Callable

from result import Result

from fireflybridge_daemon._configuration import Configuration
from fireflybridge_peers import Heartbeat, Message, SendFailure, TablesHave

# A read of the log over a dead link fails only after 25 s; tables must reach all daemons in 5 s.
TABLES_WAIT_S = 1.5


class TablesExchange:
    """Track since when each peer has had other tables in force than this daemon."""

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

    def handle_heartbeat(self, peer: str, heartbeat: Heartbeat) -> None:
        """Request tables that were not read from the log, or send them to a peer without any."""
        configuration, now = self._configuration, self._clock()
        if heartbeat.tables_revision == configuration.state.revision_id:
            self._differs_since.pop(peer, None)
            return
        waited_s = now - self._differs_since.setdefault(peer, now)
        if heartbeat.tables_revision:
            if not configuration.log_reachable or waited_s >= TABLES_WAIT_S:
                self._send(peer, configuration.describe_tables())
        elif not heartbeat.log_reachable:
            # A peer without the host list has no link to this daemon over which it could ask.
            offer = configuration.answer_peer(TablesHave(0, ""))
            if offer is not None:
                self._send(peer, offer)
