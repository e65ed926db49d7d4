"""Steps that publish tables to running daemons and break what carries them."""

import json
import threading
from dataclasses import replace
from typing import Any

import httpx
from behave import given, then, when
from behave.runner import Context
from result import Result
from support.control import send_control
from support.deployment import ROUTES, Deployment, Plan
from support.platform import run_log
from support.processes import wait_until

from fireflybridge_platform import HttpLog, Page
from fireflybridge_tables import (
    TABLES_STREAM,
    PutRoute,
    Revision,
    RevisionHead,
    TablesState,
    decode_record,
    encode_record,
    fold_record,
    skip_gap,
)

TABLES_IN_FORCE = 2001
TABLES_RECORD_UNREADABLE = 2002
TABLES_LOG_FAILED = 2003
TABLES_KEPT = 2004
# The daemons record the tables again at half of the log's retention.
SHORT_RETENTION = ("--retention-s=2", "--log-retention-s=4")
NEWER_VERSION = b"FT\x63\x00\x00\x00\x00body"
DAMAGED = b"FT\x01\x00\x00\x00\x00body"
TASKS = 40
SPARE_ROUTE = '\n[[routes]]\nname = "spare"\npool = "spare"\nidempotent = true\n'
SPARE_TIMES = "window_ms = 10000\ntimeout_ms = 5000\nexpected_ms = 100\n"


@given("a configured deployment of {daemons:d} daemons")
def start_configured(context: Context, daemons: int) -> None:
    start_deployment(context, Plan(daemons=daemons, proxied=True))


@given("a configured deployment of {daemons:d} daemons with a short retention of the log")
def start_with_retention(context: Context, daemons: int) -> None:
    plan = Plan(daemons=daemons, proxied=True, daemon_arguments=SHORT_RETENTION)
    start_deployment(context, plan)


def start_deployment(context: Context, plan: Plan) -> None:
    context.deployment = Deployment(context.processes, plan)
    context.deployment.start()
    context.order = [context.deployment.revision]
    context.runs = {name: [program] for name, program in context.deployment.daemons.items()}


@when("the tables are published {times:d} times")
def publish(context: Context, times: int) -> None:
    deployment: Deployment = context.deployment
    for _ in range(times):
        # Wide enough for all work on the slots that long work may take: no deadline ends it.
        window_ms = 60_000 + len(context.order)
        routes = ROUTES.replace("window_ms = 10000", f"window_ms = {window_ms}")
        context.order.append(deployment.publish(routes, deployment.make_pools()))


@then("the last tables are in force on {names}")
def check_in_force(context: Context, names: str) -> None:
    for name in names.replace(" and ", ", ").split(", "):
        wait_until(
            lambda name=name: read_revision(context, name) == context.order[-1],
            detail=f"{context.order[-1]} in force on {name}",
        )


def read_revision(context: Context, name: str) -> str:
    return str(context.deployment.read_status(name)["tables_revision"])


def read_events(context: Context, name: str, number: int, run: int = -1) -> list[dict[str, Any]]:
    """Return the log events of one number from a run of a daemon, the last by default."""
    lines = context.runs[name][run].read_stderr().splitlines()
    events = [json.loads(line) for line in lines if line.startswith("{")]
    return [event for event in events if event["event_id"] == number]


@when("the tables link of {name} goes silent")
def silence_link(context: Context, name: str) -> None:
    context.failures = len(read_events(context, name, TABLES_LOG_FAILED))
    context.deployment.proxy.set_faults(f"{name}-platform", faults=[{"kind": "drop"}])


@then("{name} got its tables from a peer before its read of the log failed")
def check_peer_tables(context: Context, name: str) -> None:
    # A read of a silent log ends after 25 s; tables are due everywhere within 5 s.
    assert len(read_events(context, name, TABLES_LOG_FAILED)) == context.failures
    assert context.deployment.read_status(name)["log_reachable"]


@when("the tables link of {name} heals")
def heal_link(context: Context, name: str) -> None:
    context.deployment.proxy.clear_faults(f"{name}-platform")


@when("a damaged record and one of a newer version are appended to the tables")
def append_unreadable(context: Context) -> None:
    append_all(context, [DAMAGED, NEWER_VERSION])


def append_all(context: Context, payloads: list[bytes]) -> None:
    async def append(log: HttpLog) -> None:
        for payload in payloads:
            (await log.append(TABLES_STREAM, payload)).unwrap()

    run_log(context.deployment.platform.address, append)


@then("the unreadable records show in status, events and metric of every daemon")
def check_unreadable(context: Context) -> None:
    for name in context.deployment.daemons:
        wait_until(
            lambda name=name: len(read_events(context, name, TABLES_RECORD_UNREADABLE)) == 2,
            detail=f"both events of {name}",
        )
        fault = context.deployment.read_status(name)["tables_fault"]
        assert "UnreadableRecord" in fault, fault
        operators = context.deployment.daemons[name].ready["operators"]
        metrics = httpx.get(f"http://{operators}/metrics", trust_env=False).text
        counts = [line for line in metrics.splitlines() if "tables_faults_total " in line]
        assert counts[-1].endswith(" 2.0"), counts


@when("{count:d} revisions and as many void ones are appended to the tables")
def append_revisions(context: Context, count: int) -> None:
    state = read_state(context)
    route = state.tables.routes["booking"]
    payloads = []
    for number in range(count):
        changes = (PutRoute(replace(route, window_ms=20_000 + number)),)
        for identity in (f"append-{number}", f"late-{number}"):
            head = RevisionHead(identity, context.order[-1], "features", "")
            payloads.append(encode_record(Revision(head, changes)))
        context.order.append(f"append-{number}")
    append_all(context, payloads)
    context.deployment.revision = context.order[-1]


def read_state(context: Context) -> TablesState:
    """Fold what the log holds, as a new reader does."""
    state, end = TablesState(), 1
    while state.offset < end:
        page = read_page(context, state.offset).unwrap()
        state, end = skip_gap(state, page.first_offset), page.end_offset
        for record in page.records:
            state = fold_record(state, record.offset, decode_record(record.payload))
    return state


def read_page(context: Context, start: int) -> Result[Page, Any]:
    async def read(log: HttpLog) -> Result[Page, Any]:
        return await log.read(TABLES_STREAM, start)

    return run_log(context.deployment.platform.address, read)


@when("{name} is restarted")
def restart(context: Context, name: str) -> None:
    context.deployment.daemons[name].terminate()
    context.deployment.daemons[name].wait_exit()
    start_again(context, name)


@when("{name} is killed and started again")
def kill_and_start(context: Context, name: str) -> None:
    kill(context, name)
    start_again(context, name)


@when("every daemon is killed and {name} is started alone")
def start_alone(context: Context, name: str) -> None:
    for daemon in context.deployment.daemons:
        kill(context, daemon)
    start_again(context, name)


@when("d2 and d3 are started again")
def start_others(context: Context) -> None:
    start_again(context, "d2")
    start_again(context, "d3")
    context.deployment.wait_serving()


def kill(context: Context, name: str) -> None:
    context.deployment.daemons[name].kill()
    context.deployment.daemons[name].wait_exit()


def start_again(context: Context, name: str) -> None:
    context.runs[name].append(context.deployment.start_daemon(name))


@then("no daemon has gone back to older tables")
def check_order(context: Context) -> None:
    for name, runs in context.runs.items():
        places = [
            [
                context.order.index(event["revision"])
                for event in read_events(context, name, TABLES_IN_FORCE, run)
            ]
            for run in range(len(runs))
        ]
        for run in places:
            assert run == sorted(set(run)), f"{name}: {places}"
        seen = [place for run in places for place in run]
        assert seen, f"{name} had no tables in force"
        assert seen == sorted(seen), f"{name}: {places}"


@then("the tables are recorded again")
def check_kept(context: Context) -> None:
    wait_until(lambda: read_state(context).kept_offset > 0, detail="a Keep record in the log")


@when("the daemon that records the tables again is cut off from the platform")
def cut_recorder(context: Context) -> None:
    def list_recorders() -> list[str]:
        return [name for name in context.runs if read_events(context, name, TABLES_KEPT)]

    # The choice moves while daemons join; the last Keep record shows who records now.
    wait_until(list_recorders, detail="a daemon records the tables")
    context.recorder = max(
        list_recorders(), key=lambda name: read_events(context, name, TABLES_KEPT)[-1]["offset"]
    )
    link = f"{context.recorder}-platform"
    context.deployment.proxy.set_faults(link, faults=[{"kind": "refuse"}])
    context.deployment.proxy.reset(link)
    context.kept = read_state(context).kept_offset


@then("another daemon records the tables again")
def check_other_recorder(context: Context) -> None:
    def has_recorded() -> bool:
        others = [name for name in context.runs if name != context.recorder]
        events = [event for name in others for event in read_events(context, name, TABLES_KEPT)]
        return any(event["offset"] > context.kept for event in events)

    wait_until(has_recorded, detail=f"a daemon other than {context.recorder} records the tables")
    context.deployment.proxy.clear_faults(f"{context.recorder}-platform")


@when("the platform refuses everything")
def refuse(context: Context) -> None:
    context.deployment.set_platform_fault(mode="refuse")


@when("the platform answers again")
def answer(context: Context) -> None:
    context.deployment.set_platform_fault(mode="none")


@then("{name} serves requests")
def check_serves(context: Context, name: str) -> None:
    wait_until(
        lambda: context.deployment.call(name, "POST", "/v1/requests/booking").status_code == 200,
        detail=f"{name} serves",
    )
    assert context.deployment.read_status(name)["ready"]


@then("{name} reports that it is not ready")
def check_not_ready(context: Context, name: str) -> None:
    wait_until(
        lambda: len(read_events(context, name, TABLES_LOG_FAILED)) >= 3,
        detail=f"{name} has tried to read the log",
    )
    program = context.deployment.daemons[name]
    ready = httpx.get(f"http://{program.ready['operators']}/health/ready", trust_env=False)
    assert ready.status_code == 503, ready.text
    assert not context.deployment.read_status(name)["ready"]
    refusal = context.deployment.call(name, "POST", "/v1/requests/booking")
    assert refusal.json()["ran"] == "not-run", refusal.text


@when("the log loses every record of the tables during an outage")
def lose_records(context: Context) -> None:
    refuse(context)
    end = 1 << 40
    path = f"/control/streams/{TABLES_STREAM}/truncate"
    address = context.deployment.platform.address
    first = send_control(address, "POST", path, {"first_offset": end})["first_offset"]
    answer(context)
    wait_until(
        lambda: (state := read_state(context)).revision_known and state.kept_offset >= first,
        detail="the tables are in the log again",
    )


@when("the route and the pool of running jobs are removed from the tables")
def remove_pool(context: Context) -> None:
    deployment: Deployment = context.deployment
    context.answers = {}
    threads = [
        threading.Thread(target=submit, args=(context, name, deployment.make_prefix(name)))
        for name in deployment.daemons
    ]
    for thread in threads:
        thread.start()
    context.threads = threads
    started = len(deployment.read_starts())
    wait_until(lambda: len(deployment.read_starts()) >= started + 4, detail="the jobs started")
    desk, upstream, *_ = deployment.make_pools().split("[[pools.upstreams]]\n")
    pools = desk.replace('"desk"', '"spare"') + "[[pools.upstreams]]\n" + upstream
    context.order.append(deployment.publish(SPARE_ROUTE + SPARE_TIMES, pools))
    check_in_force(context, "d1, d2 and d3")
    queued = [pool["queued"] for pool in read_pools(context) if pool["name"] == "desk"]
    assert sum(queued) > 0, "nothing waits in the removed pool"


def submit(context: Context, name: str, prefix: str) -> None:
    bodies = [f"sleep=1000;{index}" for index in range(TASKS)]
    context.answers[name] = context.deployment.submit(name, f"{prefix}.1", bodies)


def read_pools(context: Context) -> list[dict[str, Any]]:
    names = context.deployment.daemons
    return [pool for name in names for pool in context.deployment.read_status(name)["pools"]]


@then("the running jobs complete and new ones are refused")
def check_removed(context: Context) -> None:
    for name in context.deployment.daemons:
        refusal = context.deployment.call(name, "POST", "/v1/requests/booking")
        assert refusal.status_code == 404, refusal.text
        assert refusal.json()["ran"] == "not-run", refusal.text
    for thread in context.threads:
        thread.join()
    for name, response in context.answers.items():
        tasks = response.json().get("tasks", ())
        assert [task["ran"] for task in tasks] == ["done"] * TASKS, f"{name}: {response.text}"
    wait_until(
        lambda: {pool["name"] for pool in read_pools(context)} == {"spare"},
        detail="the removed pool is gone",
    )
