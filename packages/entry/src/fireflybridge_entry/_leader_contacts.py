"""What a host has to tell the leaders that it submits jobs to, and the proof that they reply."""

import time
from collections.abc import Iterable
from dataclasses import dataclass, replace
from math import inf

from fireflybridge_entry._codec import LeaderStamp
from fireflybridge_entry._sender_leases import SENDER_LEASE_S
from fireflybridge_leadership import Notifier

# Leaves the leader 0.15 s of SENDER_LEASE_S in which the submission arrives.
FRESH_STAMP_S = 0.3
MAX_LEADERS = 8  # leaders that have ended never acknowledge withdrawn submissions


@dataclass(frozen=True, slots=True)
class _Contact:
    """Hold the newest reply of one incarnation of a leader, and what it has yet to acknowledge."""

    replied_s: float = -inf
    """When its newest reply arrived on the monotonic clock."""
    stamp: LeaderStamp | None = None
    withdrawn: frozenset[int] = frozenset()


NO_CONTACT = _Contact()


class LeaderContacts:
    """Keep the newest stamps of leaders, and the withdrawn submissions that they don't know of.

    Leaders are named by their incarnations. A submission is withdrawn when this host stops waiting
    for its answer.
    """

    def __init__(self) -> None:
        self.changed = Notifier()
        """Notifies of each reply."""
        self._contacts: dict[str, _Contact] = {}

    def record_reply(
        self, leader: str, stamp: LeaderStamp | None, acknowledged: Iterable[int]
    ) -> None:
        """Note a leader's reply to a heartbeat that has named the acknowledged submissions.

        Leaders of earlier releases reply without a stamp.
        """
        contact = self._find(leader)
        withdrawn = contact.withdrawn.difference(acknowledged)
        self._keep(leader, _Contact(time.monotonic(), stamp, withdrawn))
        self.changed.notify()

    def withdraw(self, leader: str, submission: int) -> None:
        """Note that a submission, which the leader may have received, has no sender any more."""
        contact = self._find(leader)
        self._keep(leader, replace(contact, withdrawn=contact.withdrawn | {submission}))

    def find_stamp(self, leader: str) -> LeaderStamp | None:
        """Return the stamp of a leader's newest reply, if it had one."""
        return self._find(leader).stamp

    def compute_lease_left(self, leader: str) -> float:
        """Return how long a leader may take what was sent with its newest stamp, in seconds."""
        return self._find(leader).replied_s + SENDER_LEASE_S - time.monotonic()

    def is_fresh(self, leader: str) -> bool:
        """Return whether a leader has replied so lately that it will take a submission."""
        return time.monotonic() < self._find(leader).replied_s + FRESH_STAMP_S

    def list_withdrawn(self, leader: str) -> tuple[int, ...]:
        """Return the withdrawn submissions that a leader hasn't acknowledged."""
        return tuple(sorted(self._find(leader).withdrawn))

    def _find(self, leader: str) -> _Contact:
        return self._contacts.get(leader, NO_CONTACT)

    def _keep(self, leader: str, contact: _Contact) -> None:
        """Keep what is known of a leader as the newest entry, and drop the oldest one."""
        self._contacts.pop(leader, None)
        self._contacts[leader] = contact
        if len(self._contacts) > MAX_LEADERS:
            del self._contacts[next(iter(self._contacts))]
