"""Fair shares of a pool's slots between teams."""

from fireflybridge_tables import Quota


def rank_share(running: int, weight: float) -> float:
    """Return the rank of a team: the one that uses the fewest slots for its weight is next.

    Slots in use are compared, not past use, so a team that comes with new work is served at once
    until it holds as many slots for its weight as the others, whatever they have queued.
    """
    return running / weight


def limit_slots(quota: Quota, slots: int) -> int:
    """Return the number of slots that a team may use at once, at least one."""
    return max(1, int(quota.max_share * slots + 1e-9))
