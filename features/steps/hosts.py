"""Steps that inject faults into hosts and links while jobs are submitted."""

import json
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from itertools import chain, combinations, count, permutations
from typing import Any

from behave import given, then, when
from behave.runner import Context
from support.checks import Ledger, Request
from support.control import send_control
from support.deployment import Deployment, Plan
from support.processes import Program, wait_until

HOST_LIST_IGNORED = 3002
PEER_SILENT = 3007
UPSTREAM_ACQUIRED = 4001
UPSTREAM_RELEASED = 4002
LEAVING_LIMIT_S = 3.0
# With three daemons this load uses about 10 of 24 slots.
LOAD_INTERVAL_S = 0.25
LOAD_TASKS = 4
DROP_FAULT = {"kind": "drop"}
REQUEST_NUMBERS = count(1)


@dataclass(frozen=True, slots=True)
class Interval:
    """Period in which a daemon owned an upstream, in seconds since the epoch."""

    daemon: str
    upstream: str
    start: float
    end: float

    def overlaps(self, other: "Interval") -> bool:
        """Return whether the intervals overlap."""
        return self.start < other.end and other.start < self.end


@dataclass(slots=True)
class LoadedHosts:
    """Generate load on a deployment, and record the periods with a paused or partitioned host."""

    deployment: Deployment
    ledger: Ledger
    runs: list[tuple[str, Program]] = field(default_factory=list)
    ends: dict[int, float] = field(default_factory=dict)
    disturbed: list[tuple[float, float]] = field(default_factory=list)
    disturbed_since: float = 0.0
    prefixes: dict[str, str] = field(default_factory=dict)
    _stop_requested: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread = field(init=False)

    def start(self) -> None:
        """Start sending jobs to every daemon."""
        for name, program in self.deployment.daemons.items():
            self.runs.append((name, program))
            self.prefixes[name] = self.deployment.make_prefix(name)
        self._thread = threading.Thread(target=self._load)
        self._thread.start()

    def stop(self) -> None:
        """Stop sending jobs and wait for every answer."""
        self._stop_requested.set()
        self._thread.join()
        self.ledger.close()

    def list_intervals(self) -> list[Interval]:
        """Return all ownership periods, read from the daemons' event logs."""
        return [found for name, program in self.runs for found in self._read(name, program)]

    def _read(self, name: str, program: Program) -> Iterator[Interval]:
        since: dict[str, float] = {}
        for event in read_events(program):
            upstream, at = event.get("upstream", ""), read_time(event)
            match event["event_id"]:
                case number if number == UPSTREAM_ACQUIRED:
                    since[upstream] = at
                case number if number == UPSTREAM_RELEASED:
                    yield Interval(name, upstream, since.pop(upstream), at)
        end = self.ends.get(program.pid, time.time())
        yield from (Interval(name, upstream, at, end) for upstream, at in since.items())

    def _load(self) -> None:
        while not self._stop_requested.wait(LOAD_INTERVAL_S):
            for name, prefix in tuple(self.prefixes.items()):
                self.ledger.send(name, make_job(prefix))


def make_job(prefix: str) -> Request:
    """Return a job under a key that only the daemon that issued the prefix may start."""
    bodies = tuple(f"sleep=200;{next(REQUEST_NUMBERS)}" for _ in range(LOAD_TASKS))
    return Request(f"{prefix}.{next(REQUEST_NUMBERS)}", bodies, route="payment")


def read_events(program: Program) -> list[dict[str, Any]]:
    lines = program.read_stderr().splitlines(keepends=True)
    return [json.loads(line) for line in lines if line.startswith("{") and line.endswith("\n")]


def read_time(event: dict[str, Any]) -> float:
    return datetime.fromisoformat(event["timestamp"]).astimezone(UTC).timestamp()


def count_events(context: Context, name: str, number: int, **members: str) -> int:
    """Return how often the daemon's current process logged an event with the given fields."""
    return sum(
        event["event_id"] == number and members.items() <= event.items()
        for event in read_events(context.deployment.daemons[name])
    )


@given("hosts of {daemons:d} daemons under steady load")
def start_hosts(context: Context, daemons: int) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=daemons, proxied=True))
    context.deployment.start()
    context.hosts = LoadedHosts(context.deployment, Ledger(context.deployment))
    context.hosts.start()
    context.add_cleanup(context.hosts.stop)
    wait_starts(context, set(context.deployment.worker_addresses))


def wait_starts(context: Context, workers: set[str]) -> None:
    """Wait until each of the workers has started another task."""
    known = len(context.deployment.read_starts())
    began = time.monotonic()
    wait_until(
        lambda: (
            workers <= {s["worker"] for s in context.deployment.read_starts() if s["at"] > began}
        ),
        detail=f"new starts at {sorted(workers)} after {known}",
    )


@when("a host list marks an upstream as leaving")
def mark_leaving(context: Context) -> None:
    context.deployment.leaving.add("worker-0")
    context.deployment.list_hosts()
    context.left_at = time.monotonic()


@then("the leaving upstream gets no start later than 3 s after the list")
def check_leaving(context: Context) -> None:
    last = context.left_at + LEAVING_LIMIT_S
    others = set(context.deployment.worker_addresses) - {"worker-0"}
    wait_until(lambda: time.monotonic() > last, detail="the limit has passed")
    wait_starts(context, others)
    starts = [s for s in context.deployment.read_starts() if s["worker"] == "worker-0"]
    late = [start for start in starts if start["at"] > last]
    assert not late, late
    assert starts, "worker-0 had no start before it left"
    context.deployment.leaving.clear()
    context.deployment.list_hosts()
    wait_starts(context, {"worker-0"})


@then("every job on the hosts was completed")
def check_complete(context: Context) -> None:
    calls = tuple(context.hosts.ledger.calls)
    assert calls, "no job was answered"
    other = [call for call in calls if call.state != "complete"]
    assert not other, other[:3]


@when("the host list is empty, and then names no daemon")
def publish_invalid_lists(context: Context) -> None:
    deployment: Deployment = context.deployment
    context.ownership_changes = count_ownership_changes(context)
    workers = [
        {
            "name": name,
            "role": "upstream",
            "state": "live",
            "failure_domain": "fd9",
            "address": address,
        }
        for name, address in deployment.worker_addresses.items()
    ]
    for hosts in ([], workers):
        ignored = {n: count_events(context, n, HOST_LIST_IGNORED) for n in deployment.daemons}
        for name in deployment.daemons:
            path = f"/view/{name}/control/hosts"
            send_control(deployment.platform.address, "PUT", path, {"hosts": hosts})
        for name, number in ignored.items():
            # The second read after the change is certain to have returned the new list.
            wait_until(
                lambda name=name, number=number: (
                    count_events(context, name, HOST_LIST_IGNORED) >= number + 2
                ),
                detail=f"{name} ignores the list",
            )


def count_ownership_changes(context: Context) -> int:
    numbers = (UPSTREAM_ACQUIRED, UPSTREAM_RELEASED)
    daemons = context.deployment.daemons
    return sum(count_events(context, name, number) for name in daemons for number in numbers)


@then("every daemon ignores the host lists and no upstream is given up")
def check_ignored(context: Context) -> None:
    wait_starts(context, set(context.deployment.worker_addresses))
    assert count_ownership_changes(context) == context.ownership_changes
    for name in context.deployment.daemons:
        assert context.deployment.read_status(name)["ready"], name
    context.deployment.list_hosts()


@when("the host of {name} is killed")
def kill_host(context: Context, name: str) -> None:
    del context.hosts.prefixes[name]
    program = context.deployment.daemons[name]
    context.hosts.ledger.killed.add(program.address)
    program.kill()
    program.wait_exit()
    context.hosts.ends[program.pid] = time.time()


@then("d2 and d3 own every upstream between them")
def check_takeover(context: Context) -> None:
    def own_all() -> bool:
        owned = [list_owned(context, name) for name in ("d2", "d3")]
        return sorted(chain.from_iterable(owned)) == sorted(context.deployment.worker_addresses)

    wait_until(own_all, detail="d2 and d3 own every upstream")
    wait_starts(context, set(context.deployment.worker_addresses))


def list_owned(context: Context, name: str) -> list[str]:
    pools = context.deployment.read_status(name)["pools"]
    return [upstream for pool in pools for upstream in pool["owned"]]


@when("the host of {name} starts again")
def start_host(context: Context, name: str) -> None:
    program = context.deployment.start_daemon(name)
    context.hosts.runs.append((name, program))
    context.hosts.prefixes[name] = context.deployment.make_prefix(name)


@then("every upstream of the hosts has one owner")
def check_owners(context: Context) -> None:
    context.deployment.wait_serving()
    wait_starts(context, set(context.deployment.worker_addresses))
    if context.hosts.disturbed_since:
        context.hosts.disturbed.append((context.hosts.disturbed_since, time.time()))
        context.hosts.disturbed_since = 0.0
    context.refused = count_refused(context)


def count_refused(context: Context) -> int:
    counters = context.deployment.control_workers("GET", "/control/counters")
    return sum(worker["refused"] for worker in counters)


@when("the host of {name} is paused {times:d} times until the others report it silent")
def pause_host(context: Context, name: str, times: int) -> None:
    program = context.deployment.daemons[name]
    others = [other for other in context.deployment.daemons if other != name]
    assert count_refused(context) == 0, "a worker's guard refused although it had one owner"
    context.hosts.disturbed_since = time.time()
    for _ in range(times):
        reports = {other: count_events(context, other, PEER_SILENT, peer=name) for other in others}
        program.pause()
        for other, number in reports.items():
            wait_until(
                lambda other=other, number=number: (
                    count_events(context, other, PEER_SILENT, peer=name) > number
                ),
                detail=f"{other} no longer hears {name}",
            )
        program.resume()
        wait_until(
            lambda: all(name in list_peers(context, other) for other in others),
            detail=f"{others} hear {name} again",
        )


def list_peers(context: Context, name: str) -> list[str]:
    return [peer["name"] for peer in context.deployment.read_status(name)["peers"]]


@then("no upstream of the hosts had two owners at once")
def check_intervals(context: Context) -> None:
    hosts: LoadedHosts = context.hosts
    intervals = hosts.list_intervals()
    assert len(intervals) > len(context.deployment.worker_addresses), intervals
    overlapping = [
        (one, other)
        for one, other in combinations(intervals, 2)
        if one.upstream == other.upstream
        and one.daemon != other.daemon
        and one.overlaps(other)
        and not is_disturbed(hosts, max(one.start, other.start), min(one.end, other.end))
    ]
    assert not overlapping, overlapping
    assert count_refused(context) == context.refused, "a guard refused after the hosts had settled"
    for worker in context.deployment.control_workers("GET", "/control/counters"):
        assert worker["peak_running"] <= context.deployment.plan.slots, worker


def is_disturbed(hosts: LoadedHosts, start: float, end: float) -> bool:
    """Return whether a pause or partition covers the whole period."""
    return any(since <= start and end <= until for since, until in hosts.disturbed)


@then("the answers of the hosts agree with the start records")
def check_answers(context: Context) -> None:
    context.hosts.stop()
    assert context.hosts.ledger.check() > 0


@when("{receiver} no longer hears {name}, which still hears {same_receiver}")
def cut_one_direction(context: Context, receiver: str, name: str, same_receiver: str) -> None:
    assert receiver == same_receiver
    begin_disturbance(context)
    proxy = context.deployment.proxy
    proxy.set_faults(f"{name}-{receiver}", faults=[{**DROP_FAULT, "direction": "forward"}])
    proxy.set_faults(f"{receiver}-{name}", faults=[{**DROP_FAULT, "direction": "backward"}])
    wait_until(
        lambda: name not in list_peers(context, receiver),
        detail=f"{receiver} no longer hears {name}",
    )
    assert receiver in list_peers(context, name), f"{name} does not hear {receiver}"


def begin_disturbance(context: Context) -> None:
    assert count_refused(context) == getattr(context, "refused", 0)
    context.hosts.disturbed_since = time.time()


@when("the links between the hosts heal")
def restore_links(context: Context) -> None:
    daemons = tuple(context.deployment.daemons)
    links = [f"{a}-{b}" for a, b in permutations(daemons, 2)]
    platform = [f"{name}-platform" for name in daemons]
    context.deployment.proxy.clear_faults(*links, *platform)


@when("{name} is cut off from the other hosts and from the platform")
def cut_off(context: Context, name: str) -> None:
    begin_disturbance(context)
    others = [other for other in context.deployment.daemons if other != name]
    links = [link for other in others for link in (f"{name}-{other}", f"{other}-{name}")]
    context.deployment.proxy.set_faults(*links, f"{name}-platform", faults=[DROP_FAULT])
    wait_until(lambda: not list_peers(context, name), detail=f"{name} has no live peers")


@then("{names} complete jobs with prefixed keys and single requests")
@then("{names} completes jobs with prefixed keys and single requests")
def check_serves(context: Context, names: str) -> None:
    hosts: LoadedHosts = context.hosts
    for name in names.split(" and "):
        job = hosts.ledger.ask(name, make_job(hosts.prefixes[name]))
        assert job.state == "complete", job
        single = hosts.ledger.ask(name, Request("", ("unkeyed",), single=True))
        assert single.status == 200, single
