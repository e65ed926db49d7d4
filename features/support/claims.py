"""Helpers for the steps of the claims library."""

import anyio

from fireflybridge_claims import Batch, Claim, Decision, Registrar
from fireflybridge_core import find_shard, hash_key

RETENTION_S = 600.0
DIGEST = bytes(16)
INCARNATIONS = {"a": "a" * 16, "b": "b" * 16, "c": "c" * 16}
# Well above the time that a claim without faults takes; it only ends a test that hangs.
LONG_LIMIT_S = 30.0
KEYS = [k for k in (hash_key(str(n)) for n in range(3000)) if find_shard(k) == 0]


def make_claim(key: int, executor: str = "a", attempt: int = 1, digest: bytes = DIGEST) -> Claim:
    return Claim(KEYS[key], digest, INCARNATIONS[executor], attempt)


def make_batch(*claims: Claim, floor: int = 0) -> Batch:
    return Batch(INCARNATIONS["c"], 0, floor, claims)


async def claim_all(registrar: Registrar, claims: list[Claim]) -> list[Decision]:
    """Run the registrar and return its decisions on concurrent claims, in their order."""
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
