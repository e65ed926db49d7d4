"""Claims and running registrars for the steps of the claims library."""

import anyio

from fireflybridge_claims import Batch, Claim, Decision, Registrar
from fireflybridge_core import find_shard, hash_key

RETENTION_S = 600.0
DIGEST = bytes(16)
NAMES = {"a": "a" * 16, "b": "b" * 16, "c": "c" * 16}
# Claims that no fault hinders are decided well within it; a hung test ends.
LONG_LIMIT_S = 30.0
KEYS = [k for k in (hash_key(str(n)) for n in range(3000)) if find_shard(k) == 0]


def make_claim(key: int, executor: str = "a", attempt: int = 1, digest: bytes = DIGEST) -> Claim:
    return Claim(KEYS[key], digest, NAMES[executor], attempt)


def make_batch(*claims: Claim, floor: int = 0) -> Batch:
    return Batch(NAMES["c"], 0, floor, claims)


async def claim_all(registrar: Registrar, claims: list[Claim]) -> list[Decision]:
    """Return the decisions of a running registrar on claims made at once."""
    decisions: dict[int, Decision] = {}

    async def claim_one(position: int) -> None:
        decisions[position] = await registrar.claim(claims[position])

    async with anyio.create_task_group() as runner:
        runner.start_soon(registrar.run)
        async with anyio.create_task_group() as callers:
            for position in range(len(claims)):
                callers.start_soon(claim_one, position)
        runner.cancel_scope.cancel()
    return [decisions[position] for position in range(len(claims))]
