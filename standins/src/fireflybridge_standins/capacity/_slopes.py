"""Measure how the cost of a daemon grows with each size of a deployment."""

import statistics
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

import anyio

from fireflybridge_standins.capacity._deployment import ROUTE, Deployment, Scale
from fireflybridge_standins.capacity._points import Point
from fireflybridge_standins.capacity._programs import Programs, read_socket_bytes
from fireflybridge_standins.load import Plan, Report, run_load

SETTLE_S = 3.0
WINDOW_S = 6.0
AXES = ("daemons", "workers", "target", "tables", "kept")
PUBLICATIONS = 5
LOOP = {"use_uvloop": True}
# Tasks of 0.5 s keep about 180 slots busy and give some 360 starts per second.
LOAD_BODY = "sleep=500;" + "x" * 90
LOAD_CONNECTIONS = 6
LOAD_SIZE = 30
KEPT_SIZE = 300
TARGET = Scale(daemons=20, workers=1000, routes=1000, teams=100)


@dataclass(frozen=True, slots=True)
class Reading:
    """Hold what a deployment's programs have used up to a moment."""

    at_s: float
    cpu_s: tuple[float, ...]
    platform_cpu_s: float
    bytes: tuple[int, ...]
    platform_bytes: int
    appends: int


def measure_slopes(
    import_mb: float, axes: Sequence[str], daemons: list[int], workers: list[int]
) -> Iterator[Point]:
    """Yield the points of the chosen axes."""
    measures = {
        "daemons": lambda: _measure_daemons(import_mb, daemons),
        "workers": lambda: _measure_workers(import_mb, workers),
        "target": lambda: _measure_target(import_mb),
        "tables": lambda: _measure_tables(import_mb),
        "kept": lambda: _measure_kept(import_mb),
    }
    for axis in axes:
        yield from measures[axis]()


def _measure_daemons(import_mb: float, counts: list[int]) -> Iterator[Point]:
    for count in counts:
        with Programs() as programs:
            deployment = Deployment(programs, Scale(daemons=count))
            time.sleep(SETTLE_S)
            yield _measure_idle(deployment, "daemons", count, import_mb)
            yield _measure_loaded(deployment, "daemons", count, import_mb)
            yield _measure_in_force(deployment, "daemons", count)


def _measure_workers(import_mb: float, counts: list[int]) -> Iterator[Point]:
    for count in counts:
        with Programs() as programs:
            deployment = Deployment(programs, Scale(daemons=3, workers=count))
            time.sleep(SETTLE_S)
            yield _measure_idle(deployment, "workers", count, import_mb)
            yield _measure_loaded(deployment, "workers", count, import_mb)


def _measure_target(import_mb: float) -> Iterator[Point]:
    """Measure the target's tables and host list together, with TARGET's daemons."""
    with Programs() as programs:
        deployment = Deployment(programs, TARGET)
        time.sleep(SETTLE_S)
        yield _measure_idle(deployment, "target", TARGET.daemons, import_mb)
        yield _measure_loaded(deployment, "target", TARGET.daemons, import_mb, TARGET.teams)
        yield _measure_in_force(deployment, "target", TARGET.daemons)


def _measure_tables(import_mb: float) -> Iterator[Point]:
    """Measure routes, teams and changes on one deployment, whose tables are replaced."""
    with Programs() as programs:
        deployment = Deployment(programs, Scale(daemons=3))
        for routes in (1, 100, 1000):
            deployment.measure_in_force_s(deployment.make_tables(routes - 1))
            yield _measure_idle(deployment, "routes", routes, import_mb)
            yield _measure_in_force(deployment, "routes", routes, routes - 1)
        deployment.measure_in_force_s(deployment.make_tables())
        for per_minute in (0, 20, 60):
            yield _measure_changes(deployment, per_minute, import_mb)
        for teams in (1, 10, 100):
            deployment.measure_in_force_s(deployment.make_tables(teams=teams))
            yield _measure_loaded(deployment, "teams", teams, import_mb, teams)
            yield _measure_idle(deployment, "teams", teams, import_mb)


def _measure_kept(import_mb: float) -> Iterator[Point]:
    """Measure the memory of answers that are kept for resubmissions, with bodies of 100 bytes."""
    with Programs() as programs:
        deployment = Deployment(programs, Scale(worker_processes=2))
        daemon = deployment.daemons[0]
        kept = 0
        for jobs in (20, 20, 40, 60):
            plan = Plan((daemon.address,), ROUTE, KEPT_SIZE, jobs, 4, 60.0, "x" * 93)
            kept += anyio.run(run_load, plan, backend_options=LOOP).tasks_done
            resident_mb = daemon.read_resident_mb()
            yield Point("kept tasks", kept, resident_mb=resident_mb, own_mb=resident_mb - import_mb)


def _measure_idle(deployment: Deployment, axis: str, value: float, import_mb: float) -> Point:
    before = _read(deployment)
    time.sleep(WINDOW_S)
    return _compare(deployment, axis, value, before, _read(deployment), import_mb)


def _measure_loaded(
    deployment: Deployment, axis: str, value: float, import_mb: float, teams: int = 1
) -> Point:
    plan = Plan(
        addresses=tuple(daemon.address for daemon in deployment.daemons),
        route=ROUTE,
        size=LOAD_SIZE,
        count=10_000,
        connections=max(LOAD_CONNECTIONS, len(deployment.daemons)),
        seconds=WINDOW_S,
        body=LOAD_BODY,
        teams=teams,
    )
    before = _read(deployment)
    report = anyio.run(run_load, plan, backend_options=LOOP)
    return _compare(deployment, axis, value, before, _read(deployment), import_mb, report)


def _measure_in_force(
    deployment: Deployment, axis: str, value: float, spare_routes: int = 0
) -> Point:
    times_s = []
    for number in range(PUBLICATIONS):
        tables = deployment.make_tables(spare_routes, expected_ms=number + 2)
        times_s.append(deployment.measure_in_force_s(tables))
    return Point(axis, value, in_force_s=max(times_s), publications=PUBLICATIONS)


def _measure_changes(deployment: Deployment, per_minute: int, import_mb: float) -> Point:
    """Publish at a rate, each change one route, without asking the daemons meanwhile."""
    before = _read(deployment)
    count = max(1, round(per_minute * WINDOW_S / 60))
    for number in range(count):
        if per_minute:
            deployment.publish(deployment.make_tables(expected_ms=number + 2))
        time.sleep(WINDOW_S / count)
    return _compare(
        deployment, "changes per minute", per_minute, before, _read(deployment), import_mb
    )


def _read(deployment: Deployment) -> Reading:
    sizes = read_socket_bytes()
    streams = deployment.read_counters()["streams"]
    return Reading(
        at_s=time.monotonic(),
        cpu_s=tuple(daemon.read_cpu_s() for daemon in deployment.daemons),
        platform_cpu_s=deployment.platform.read_cpu_s(),
        bytes=tuple(sizes.get(daemon.pid, 0) for daemon in deployment.daemons),
        platform_bytes=sizes.get(deployment.platform.pid, 0),
        appends=sum(stream["appends"] for stream in streams.values()),
    )


def _compare(
    deployment: Deployment,
    axis: str,
    value: float,
    before: Reading,
    after: Reading,
    import_mb: float,
    report: Report | None = None,
) -> Point:
    elapsed_s = after.at_s - before.at_s
    resident_mb = statistics.mean(daemon.read_resident_mb() for daemon in deployment.daemons)
    used_s = sum(after.cpu_s) - sum(before.cpu_s)
    return Point(
        axis=axis,
        value=value,
        starts_per_s=report.tasks_done / report.elapsed_s if report else 0.0,
        cpu_percent=100 * used_s / elapsed_s / len(deployment.daemons),
        resident_mb=resident_mb,
        own_mb=resident_mb - import_mb,
        bytes_per_s=(sum(after.bytes) - sum(before.bytes)) / elapsed_s / len(deployment.daemons),
        platform_cpu_percent=100 * (after.platform_cpu_s - before.platform_cpu_s) / elapsed_s,
        platform_bytes_per_s=(after.platform_bytes - before.platform_bytes) / elapsed_s,
        appends_per_s=(after.appends - before.appends) / elapsed_s,
        refused=report.submissions - report.answers.get("complete", 0) if report else 0,
    )
