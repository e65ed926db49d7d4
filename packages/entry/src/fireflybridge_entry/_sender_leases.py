"""Leases of the hosts that submit jobs to a leader, measured by the leader's own clock."""

import time
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from fireflybridge_entry._codec import LeaderStamp

# Less than PEER_TIMEOUT_S: a sender gives its leader up no earlier than that after a reply has
# arrived, and the reply's stamp is older than its arrival.
SENDER_LEASE_S = 0.45


@dataclass(frozen=True, slots=True)
class Sender:
    """Identify the process that submits jobs; hosts of earlier releases name no incarnation."""

    host: str
    incarnation: str


class SenderLeases:
    """Tell whether a sender is known to wait for the answers to its submissions.

    Each reply to a heartbeat carries a stamp of this leader's clock, which the sender returns in its
    next messages. It has had that reply then, so it follows this leader for PEER_TIMEOUT_S after the
    stamp at least. Hosts of earlier releases return no stamp, and have no lease.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._stamped_s: dict[Sender, float] = {}
        """The newest stamp that each sender has returned."""
        self._withdrawn_s: dict[tuple[Sender, int], float] = {}
        """When a sender has withdrawn a submission; the oldest ones come first."""

    def make_stamp(self) -> LeaderStamp:
        """Return the stamp of a reply that is sent now."""
        return LeaderStamp(self._incarnation, time.monotonic())

    def compute_age(self, stamp: LeaderStamp) -> float:
        """Return the seconds since a stamp was made; it is infinite for one of another leader."""
        age_s = time.monotonic() - stamp.time_s
        return age_s if stamp.incarnation == self._incarnation and age_s >= 0 else inf

    def renew(self, sender: Sender, stamp: LeaderStamp | None) -> bool:
        """Renew a sender's lease by the stamp in its message; return whether that is news of it.

        A sender that has returned a stamp before is only heard from by a newer one: its messages may
        have waited, and it may not have got any reply since.
        """
        known_s = self._stamped_s.get(sender)
        if stamp is None or self.compute_age(stamp) == inf:
            return known_s is None
        if known_s is not None and stamp.time_s <= known_s:
            return False
        self._stamped_s[sender] = stamp.time_s
        return True

    def is_valid(self, stamp: LeaderStamp) -> bool:
        """Return whether a sender that has returned this stamp follows this leader now."""
        return self.compute_age(stamp) < SENDER_LEASE_S

    def holds(self, sender: Sender) -> bool:
        """Return whether a sender's lease lasts, or it is of an earlier release."""
        stamped_s = self._stamped_s.get(sender)
        return stamped_s is None or time.monotonic() < stamped_s + SENDER_LEASE_S

    def forget(self, host: str, current: str = "") -> None:
        """Forget a host's processes, but for its current one, if it has one."""
        for sender in [sender for sender in self._stamped_s if sender.host == host]:
            if not (current and sender.incarnation == current):
                del self._stamped_s[sender]

    def withdraw(self, sender: Sender, submissions: Iterable[int]) -> None:
        """Note submissions for which a sender waits no longer.

        They are kept until their stamps, which are older than this message, are no longer valid.
        """
        now_s = time.monotonic()
        for key, withdrawn_s in list(self._withdrawn_s.items()):
            if withdrawn_s + SENDER_LEASE_S > now_s:
                break
            del self._withdrawn_s[key]
        for submission in submissions:
            self._withdrawn_s.setdefault((sender, submission), now_s)

    def is_withdrawn(self, sender: Sender, submission: int) -> bool:
        """Return whether a sender has withdrawn a submission lately."""
        return (sender, submission) in self._withdrawn_s
