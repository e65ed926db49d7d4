"""Link of a host to the leader of its failure domain: heartbeats on a connection of their own."""

import time
from dataclasses import dataclass

import anyio

from fireflybridge_entry._codec import (
    HEARTBEAT_PATH,
    CodecError,
    Heartbeat,
    decode_heartbeat,
    encode_heartbeat,
)
from fireflybridge_http import Connection, ExchangeError, Request
from fireflybridge_leadership import Leadership, Term

HEARTBEAT_S = 0.15
HEARTBEAT_TIMEOUT_S = 0.3
SILENCE_S = 0.7  # longer than a pause of a host that has used up its processor quota
REFUSALS = 2  # a refused connection is tried once more, since the host may be starting


@dataclass(frozen=True, slots=True)
class LinkLoss:
    """Say why the leader counts as lost."""

    reason: str


class LeaderLink:
    """Watch one leader for as long as its term is in force."""

    def __init__(self, leadership: Leadership, heartbeat: Heartbeat) -> None:
        self._leadership = leadership
        self._body = encode_heartbeat(heartbeat)

    async def watch(self, term: Term) -> LinkLoss | None:
        """Return why the leader was lost, or None once another term is in force."""
        connection = Connection(term.holder.address)
        request = Request("POST", HEARTBEAT_PATH, body=self._body)
        heard_s = time.monotonic()
        refusals = 0
        try:
            while self._leadership.terms.get(term.domain) == term:
                try:
                    response = await connection.exchange(request, HEARTBEAT_TIMEOUT_S)
                    found = decode_heartbeat(response.body)
                    if found.holder != term.holder:
                        return LinkLoss("the host has started anew")
                    heard_s = time.monotonic()
                    refusals = 0
                    await self._leadership.changed.wait(HEARTBEAT_S)
                    continue
                except ExchangeError as error:
                    refusals = refusals + 1 if error.refused else 0
                    reason = str(error)
                except CodecError as error:
                    reason = str(error)
                if refusals >= REFUSALS or time.monotonic() - heard_s > SILENCE_S:
                    return LinkLoss(reason)
                await anyio.sleep(HEARTBEAT_S / 10)
            return None
        finally:
            await connection.close()
