"""Measurements of registrars and of the view of a shard's claims."""

import random
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from statistics import quantiles

import anyio

from fireflybridge_claims import (
    Batch,
    Claim,
    Granted,
    Registrar,
    RegistrarLimits,
    ShardView,
    apply_batch,
    encode_batch,
)
from fireflybridge_core import find_shard, hash_key
from fireflybridge_standins.claim_probe._memory_log import MemoryLog

SHARD = 0
EXECUTOR = "0123456789abcdef"
DIGEST = bytes(16)
SEED = 20261204


@dataclass(frozen=True, slots=True)
class LatencyResult:
    """Latency and append rate measured at one claim rate and one append interval."""

    claims_per_s: float
    interval_ms: float
    claims: int
    p50_ms: float
    p99_ms: float
    appends_per_s: float
    bytes_per_claim: float


@dataclass(frozen=True, slots=True)
class CostResult:
    """Cost per claim, in the unit that ``name`` ends with."""

    name: str
    value: float


def generate_claims() -> Iterator[Claim]:
    """Yield claims of different keys of ``SHARD``."""
    number = 0
    while True:
        number += 1
        key_hash = hash_key(f"key-{number}")
        if find_shard(key_hash) == SHARD:
            yield Claim(key_hash, DIGEST, EXECUTOR, number)


async def measure_latency(
    claims_per_s: float, interval_s: float, append_s: float, duration_s: float
) -> LatencyResult:
    """Measure the latency of claims that arrive at one registrar as a Poisson process."""
    log = MemoryLog(latency_s=append_s)
    limits = RegistrarLimits(min_interval_s=interval_s)
    registrar = Registrar(log, SHARD, EXECUTOR, time.monotonic, limits=limits)
    rng, claims = random.Random(SEED), generate_claims()
    times_ms: list[float] = []

    async def claim_one(claim: Claim) -> None:
        begin = time.monotonic()
        decision = await registrar.claim(claim)
        if not isinstance(decision, Granted):
            raise RuntimeError(f"claim not granted: {decision}")
        times_ms.append((time.monotonic() - begin) * 1000)

    begin = due = time.monotonic()
    async with anyio.create_task_group() as runner:
        runner.start_soon(registrar.run)
        async with anyio.create_task_group() as callers:
            while due < begin + duration_s:
                await anyio.sleep(max(0.0, due - time.monotonic()))
                callers.start_soon(claim_one, next(claims))
                due += rng.expovariate(claims_per_s)
        elapsed_s = time.monotonic() - begin
        runner.cancel_scope.cancel()
    percentiles = quantiles(times_ms, n=100)
    return LatencyResult(
        claims_per_s=claims_per_s,
        interval_ms=interval_s * 1000,
        claims=len(times_ms),
        p50_ms=percentiles[49],
        p99_ms=percentiles[98],
        appends_per_s=log.appends / elapsed_s,
        bytes_per_claim=sum(map(len, log.payloads)) / len(times_ms),
    )


async def measure_cpu(batch_size: int, batches: int) -> CostResult:
    """Measure CPU per claim, including the callers' tasks, with a log that responds at once."""
    registrar = Registrar(
        MemoryLog(), SHARD, EXECUTOR, time.monotonic, limits=RegistrarLimits(min_interval_s=0.0)
    )
    claims = generate_claims()
    claim_batches = [[next(claims) for _ in range(batch_size)] for _ in range(batches)]
    async with anyio.create_task_group() as runner:
        runner.start_soon(registrar.run)
        begin_s = time.process_time()
        for claim_batch in claim_batches:
            async with anyio.create_task_group() as callers:
                for claim in claim_batch:
                    callers.start_soon(registrar.claim, claim)
        used_s = time.process_time() - begin_s
        runner.cancel_scope.cancel()
    name = f"CPU per claim in batches of {batch_size}, us"
    return CostResult(name, used_s * 1e6 / (batch_size * batches))


async def measure_catch_up(claim_count: int, batch_size: int) -> CostResult:
    """Measure CPU per remembered claim for a new registrar that reads them from the log."""
    claims = generate_claims()
    log = MemoryLog()
    for number in range(claim_count // batch_size):
        batch = Batch(EXECUTOR, number, 0, tuple(next(claims) for _ in range(batch_size)))
        log.payloads.append(encode_batch(batch))
    caught_up = anyio.Event()
    registrar = Registrar(
        log, SHARD, EXECUTOR, time.monotonic, report=lambda report: caught_up.set()
    )
    async with anyio.create_task_group() as runner:
        begin_s = time.process_time()
        runner.start_soon(registrar.run)
        await caught_up.wait()
        used_s = time.process_time() - begin_s
        runner.cancel_scope.cancel()
    name = f"CPU per claim read by a new registrar ({claim_count} claims), us"
    return CostResult(name, used_s * 1e6 / registrar.remembered)


def measure_memory(claim_count: int, batch_size: int) -> CostResult:
    """Measure memory per remembered claim for claims that arrive evenly over the retention."""
    claims = generate_claims()
    tracemalloc.start()
    view = ShardView(600.0, claim_count)
    for number in range(claim_count // batch_size):
        view.advance(number * batch_size * 600.0 / claim_count)
        batch = Batch(EXECUTOR, number, 0, tuple(next(claims) for _ in range(batch_size)))
        apply_batch(view, batch, number)
    del batch
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return CostResult(f"memory per remembered claim ({len(view)} claims), B", used / len(view))
