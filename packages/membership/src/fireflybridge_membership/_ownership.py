"""Owners of upstreams and claim shards, by rendezvous hashing.

Every daemon computes owners independently. Daemons with equal views agree on exactly one owner for
each resource, and when a candidate leaves, only its own resources get another owner.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from fireflybridge_core import CLAIM_SHARDS

_SCORE_BYTES = 8
# 1,000 upstreams and 16 shards, each scored for 40 daemons.
_CACHED_SCORES = 65_536


@dataclass(frozen=True, slots=True)
class Resource:
    """Upstream or claim shard that one daemon owns at a time.

    With an empty ``failure_domain``, daemons of all domains are equally preferred.
    """

    name: str
    failure_domain: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Live daemon that may own resources."""

    name: str
    failure_domain: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """Live daemons and leaving upstreams, as seen by the daemon ``name``.

    ``leaving_upstreams`` holds names and addresses.
    """

    name: str
    candidates: tuple[Candidate, ...]
    leaving_upstreams: frozenset[str] = frozenset()


def find_owner(resource: Resource, candidates: Sequence[Candidate]) -> str | None:
    """Return the name of the resource's owner, or none when there is no candidate.

    Draining daemons own resources only when no other candidate is left, so that the last daemon
    can finish what it has accepted. Candidates of the resource's failure domain are preferred.
    """
    ready = [candidate for candidate in candidates if not candidate.draining] or candidates
    local = [one for one in ready if one.failure_domain == resource.failure_domain]
    preferred = local or ready
    names = (candidate.name for candidate in preferred)
    return max(names, key=lambda name: (_score(resource.name, name), name), default=None)


def owned_upstreams(view: View, upstreams: Iterable[Resource]) -> tuple[Resource, ...]:
    """Return the upstreams that the view's daemon owns, except leaving ones."""
    remaining = (upstream for upstream in upstreams if not is_leaving(view, upstream))
    return owned_resources(view, remaining)


def owned_resources(view: View, resources: Iterable[Resource]) -> tuple[Resource, ...]:
    """Return the resources that the view's daemon owns."""
    return tuple(
        resource for resource in resources if find_owner(resource, view.candidates) == view.name
    )


def is_leaving(view: View, upstream: Resource) -> bool:
    """Return whether an upstream is listed as leaving, under its name or its address."""
    return not view.leaving_upstreams.isdisjoint((upstream.name, upstream.address))


def make_shard_resource(shard: int) -> Resource:
    """Return the resource that stands for a claim shard, 0 to 15."""
    return Resource(f"claims-{shard:02}")


def find_registrar(shard: int, candidates: Sequence[Candidate]) -> str | None:
    """Return the name of the daemon that runs the registrar of a claim shard."""
    return find_owner(make_shard_resource(shard), candidates)


def list_shards() -> tuple[Resource, ...]:
    """Return the resources of all claim shards."""
    return tuple(make_shard_resource(shard) for shard in range(CLAIM_SHARDS))


@lru_cache(maxsize=_CACHED_SCORES)
def _score(resource: str, candidate: str) -> bytes:
    text = f"{resource}\0{candidate}".encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
