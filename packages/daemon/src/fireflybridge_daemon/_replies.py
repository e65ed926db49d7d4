"""Replies to peers, held while a peer takes no messages."""

from collections.abc import Callable, Iterable

from result import Err, Result

from fireflybridge_peers import Answer, Message, Results, Returned, SendFailure

Reply = Results | Returned | Answer


class Replies:
    """Send replies to peers, and hold those for a stalled peer until it sends a heartbeat again.

    The peer's callers wait for the replies, and a paused peer does not repeat its requests.
    """

    def __init__(self, send: Callable[[str, Message], Result[None, SendFailure]]) -> None:
        self._send = send
        self._held: dict[str, list[Reply]] = {}

    def send(self, peer: str, reply: Reply) -> None:
        """Send a reply, or hold it if the peer takes no messages now."""
        if isinstance(self._send(peer, reply), Err):
            self._held.setdefault(peer, []).append(reply)

    def hold_unsent(self, peer: str, unsent: Iterable[Message]) -> None:
        """Hold the replies among the unsent messages of a stalled link."""
        replies = [message for message in unsent if isinstance(message, Reply)]
        if replies:
            self._held.setdefault(peer, []).extend(replies)

    def send_held(self, peer: str) -> None:
        """Send the replies held for a peer that has sent a heartbeat again."""
        for reply in self._held.pop(peer, ()):
            self.send(peer, reply)

    def drop_peer(self, peer: str) -> None:
        """Drop the replies held for a peer whose session has ended."""
        self._held.pop(peer, None)
