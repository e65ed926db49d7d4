"""Owners of upstreams and claim shards, by rendezvous hashing.

Every daemon computes owners alone. Daemons with equal views agree on exactly one owner for each
resource, and a member that goes moves only its own resources.
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
    """Name something that one daemon owns at a time.

    An empty ``failure_domain`` means that daemons of all domains are equally suited.
    """

    name: str
    failure_domain: str = ""
    address: str = ""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a live daemon that may own resources."""

    name: str
    failure_domain: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class View:
    """Hold which daemons are live and which upstreams are leaving, as ``name`` sees it.

    ``leaving_upstreams`` holds names and addresses.
    """

    name: str
    candidates: tuple[Candidate, ...]
    leaving_upstreams: frozenset[str] = frozenset()


def find_owner(resource: Resource, members: Sequence[Candidate]) -> str | None:
    """Return the name of the resource's owner, or none when there is no member.

    Draining members own resources only when no other member is left, so that the last daemon can
    finish what it accepted.
    """
    ready = [member for member in members if not member.draining] or members
    local = [member for member in ready if member.failure_domain == resource.failure_domain]
    suited = local or ready
    names = (member.name for member in suited)
    return max(names, key=lambda name: (_score(resource.name, name), name), default=None)


def owned_upstreams(view: View, upstreams: Iterable[Resource]) -> tuple[Resource, ...]:
    """Return the upstreams that the view's daemon owns, without leaving ones."""
    staying = (upstream for upstream in upstreams if not is_leaving(view, upstream))
    return owned_resources(view, staying)


def owned_resources(view: View, resources: Iterable[Resource]) -> tuple[Resource, ...]:
    """Return the resources that the view's daemon owns."""
    return tuple(
        resource for resource in resources if find_owner(resource, view.candidates) == view.name
    )


def is_leaving(view: View, upstream: Resource) -> bool:
    """Return whether an upstream is listed as leaving, under its name or its address."""
    return not view.leaving_upstreams.isdisjoint((upstream.name, upstream.address))


def name_shard(shard: int) -> Resource:
    """Return the resource of a claim shard, 0 to 15."""
    return Resource(f"claims-{shard:02}")


def find_registrar(shard: int, members: Sequence[Candidate]) -> str | None:
    """Return the name of the daemon that registers the claims of a shard."""
    return find_owner(name_shard(shard), members)


def list_shards() -> tuple[Resource, ...]:
    """Return the resources of all claim shards."""
    return tuple(name_shard(shard) for shard in range(CLAIM_SHARDS))


@lru_cache(maxsize=_CACHED_SCORES)
def _score(resource: str, member: str) -> bytes:
    text = f"{resource}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=_SCORE_BYTES).digest()
