"""Replies to peers, which wait for a silent peer until it is heard again."""

from collections.abc import Callable, Iterable

from result import Err, Result

from fireflybridge_peers import Answer, Message, Results, Returned, SendFailure

Reply = Results | Returned | Answer


class Replies:
    """Own the replies that a silent peer could not get.

    The peer's callers wait for them: a peer that was paused asks no second time.
    """

    def __init__(self, send: Callable[[str, Message], Result[None, SendFailure]]) -> None:
        self._send = send
        self._held: dict[str, list[Reply]] = {}

    def send(self, peer: str, reply: Reply) -> None:
        """Send a reply, or hold it for a peer that takes no messages now."""
        if isinstance(self._send(peer, reply), Err):
            self._held.setdefault(peer, []).append(reply)

    def give_back(self, peer: str, unsent: Iterable[Message]) -> None:
        """Hold the replies among messages that were taken back from a stalled link."""
        replies = [message for message in unsent if isinstance(message, Reply)]
        if replies:
            self._held.setdefault(peer, []).extend(replies)

    def send_held(self, peer: str) -> None:
        """Send what was held for a peer that is heard again."""
        for reply in self._held.pop(peer, ()):
            self.send(peer, reply)

    def drop_peer(self, peer: str) -> None:
        """Forget what was held for an incarnation of a peer that is gone."""
        self._held.pop(peer, None)
