"""Measures how the resource use of a daemon grows with the size of a deployment."""

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
INTERVAL_S = 6.0
AXES = ("daemons", "workers", "target", "tables", "kept")
PUBLICATIONS = 5
BACKEND_OPTIONS = {"use_uvloop": True}
# Tasks of 0.5 s keep about 180 slots busy and give some 360 starts per second.
LOAD_BODY = "sleep=500;" + "x" * 90
LOAD_CONNECTIONS = 6
LOAD_JOB_TASKS = 30
KEPT_JOB_TASKS = 300
TARGET = Scale(daemons=20, workers=1000, routes=1000, teams=100)


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Cumulative resource use of the programs of a deployment at one time."""

    at_s: float
    cpu_s: tuple[float, ...]
    platform_cpu_s: float
    bytes: tuple[int, ...]
    platform_bytes: int
    appends: int


def measure_scaling(
    import_mb: float, axes: Sequence[str], daemons: list[int], workers: list[int]
) -> Iterator[Point]:
    """Measure the chosen axes and yield their points."""
    measurements = {
        "daemons": lambda: _measure_daemons(import_mb, daemons),
        "workers": lambda: _measure_workers(import_mb, workers),
        "target": lambda: _measure_target(import_mb),
        "tables": lambda: _measure_tables(import_mb),
        "kept": lambda: _measure_kept(import_mb),
    }
    for axis in axes:
        yield from measurements[axis]()


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
    """Measure a deployment of the target size: ``TARGET``'s tables, host list and daemons."""
    with Programs() as programs:
        deployment = Deployment(programs, TARGET)
        time.sleep(SETTLE_S)
        yield _measure_idle(deployment, "target", TARGET.daemons, import_mb)
        yield _measure_loaded(deployment, "target", TARGET.daemons, import_mb, TARGET.teams)
        yield _measure_in_force(deployment, "target", TARGET.daemons)


def _measure_tables(import_mb: float) -> Iterator[Point]:
    """Measure the number of routes, teams and changes by replacing one deployment's tables."""
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
    """Measure the memory of results kept for resubmissions, with bodies of 100 bytes."""
    with Programs() as programs:
        deployment = Deployment(programs, Scale(worker_processes=2))
        daemon = deployment.daemons[0]
        kept = 0
        for jobs in (20, 20, 40, 60):
            plan = Plan((daemon.address,), ROUTE, KEPT_JOB_TASKS, jobs, 4, 60.0, "x" * 93)
            kept += anyio.run(run_load, plan, backend_options=BACKEND_OPTIONS).tasks_done
            resident_mb = daemon.read_resident_mb()
            yield Point("kept tasks", kept, resident_mb=resident_mb, own_mb=resident_mb - import_mb)


def _measure_idle(deployment: Deployment, axis: str, value: float, import_mb: float) -> Point:
    before = _read_resource_use(deployment)
    time.sleep(INTERVAL_S)
    return _compute_point(
        deployment, axis, value, before, _read_resource_use(deployment), import_mb
    )


def _measure_loaded(
    deployment: Deployment, axis: str, value: float, import_mb: float, teams: int = 1
) -> Point:
    plan = Plan(
        addresses=tuple(daemon.address for daemon in deployment.daemons),
        route=ROUTE,
        size=LOAD_JOB_TASKS,
        count=10_000,
        connections=max(LOAD_CONNECTIONS, len(deployment.daemons)),
        seconds=INTERVAL_S,
        body=LOAD_BODY,
        teams=teams,
    )
    before = _read_resource_use(deployment)
    report = anyio.run(run_load, plan, backend_options=BACKEND_OPTIONS)
    return _compute_point(
        deployment, axis, value, before, _read_resource_use(deployment), import_mb, report
    )


def _measure_in_force(
    deployment: Deployment, axis: str, value: float, extra_routes: int = 0
) -> Point:
    times_s = []
    for number in range(PUBLICATIONS):
        tables = deployment.make_tables(extra_routes, expected_ms=number + 2)
        times_s.append(deployment.measure_in_force_s(tables))
    return Point(axis, value, in_force_s=max(times_s), publications=PUBLICATIONS)


def _measure_changes(deployment: Deployment, per_minute: int, import_mb: float) -> Point:
    """Publish changes of one route at a rate; no requests to the daemons disturb the result."""
    before = _read_resource_use(deployment)
    count = max(1, round(per_minute * INTERVAL_S / 60))
    for number in range(count):
        if per_minute:
            deployment.publish(deployment.make_tables(expected_ms=number + 2))
        time.sleep(INTERVAL_S / count)
    return _compute_point(
        deployment,
        "changes per minute",
        per_minute,
        before,
        _read_resource_use(deployment),
        import_mb,
    )


def _read_resource_use(deployment: Deployment) -> ResourceUse:
    socket_bytes = read_socket_bytes()
    streams = deployment.read_counters()["streams"]
    return ResourceUse(
        at_s=time.monotonic(),
        cpu_s=tuple(daemon.read_cpu_s() for daemon in deployment.daemons),
        platform_cpu_s=deployment.platform.read_cpu_s(),
        bytes=tuple(socket_bytes.get(daemon.pid, 0) for daemon in deployment.daemons),
        platform_bytes=socket_bytes.get(deployment.platform.pid, 0),
        appends=sum(stream["appends"] for stream in streams.values()),
    )


def _compute_point(
    deployment: Deployment,
    axis: str,
    value: float,
    before: ResourceUse,
    after: ResourceUse,
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
