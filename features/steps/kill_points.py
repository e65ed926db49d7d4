"""Steps that kill or pause a daemon while submissions are held at every point of their path."""

from dataclasses import replace
from itertools import chain

from behave import given, then, when
from behave.runner import Context
from support.checks import RecordingClient, Request, expect, make_request, read_starts
from support.control import send_control
from support.deployment import ROUTES, Deployment, Plan
from support.processes import wait_until

DAEMONS = ("d1", "d2", "d3")
OWNER = "d1"
WORKER = "worker-worker-0"
SLOTS = 8
LONG_TASK_MS = 10_000  # still runs when the fault hits, even if the steps before it take seconds
PAUSE_DEADLINE_MS = 60_000
# While a killed daemon is in the host list, it can't be told from a silent one, so the tasks that it
# pulled may end only at this deadline.
KILL_DEADLINE_MS = 6000
SHORT_DEADLINE_MS = 2500


@given("a deployment of {daemons:d} daemons that share one worker")
def start_deployment(context: Context, daemons: int) -> None:
    routes = ROUTES.replace("timeout_ms = 5000", f"timeout_ms = {PAUSE_DEADLINE_MS}")
    plan = Plan(daemons=daemons, total_workers=1, slots=SLOTS, proxied=True, routes=routes)
    context.deployment = Deployment(context.processes, plan)
    context.deployment.start()
    context.client = RecordingClient(context.deployment)
    context.add_cleanup(context.client.close)


@when("submissions to {entry} are held at every point until a {fault} hits {victim}")
def hold_and_fault(context: Context, entry: str, fault: str, victim: str) -> None:
    context.entry, context.points = entry, {}
    context.deadline_ms = PAUSE_DEADLINE_MS if fault == "pause" else KILL_DEADLINE_MS
    context.prefix = context.deployment.make_prefix(entry)
    links = hold_submissions(context, hold_before_entry=victim != entry)
    context.live = [name for name in DAEMONS if name != victim]
    daemon = context.deployment.daemons[victim]
    if fault == "kill":
        context.client.killed |= {daemon.address, context.client.links.get(victim, "")}
        daemon.kill()
        daemon.wait_exit()
        context.deployment.update_host_list()
    else:
        daemon.pause()
    resubmit_all(context)
    context.deployment.proxy.clear_faults(*links)
    wait_until(
        lambda: count_daemons_with_peer(context, victim) == 0, detail=f"{victim} counts as lost"
    )
    resubmit_all(context)
    if fault == "pause":
        daemon.resume()
        context.live.append(victim)
        resubmit_all(context)
        wait_until(
            lambda: count_daemons_with_peer(context, victim) == 2, detail=f"{victim} counts as live"
        )
    context.client.wait_all()


def hold_submissions(context: Context, hold_before_entry: bool) -> list[str]:
    """Bring submissions to each point, the last point first; return the links that hold them.

    With ``hold_before_entry``, answers of the worker are held between its owner and the entry daemon.
    """
    deployment, entry = context.deployment, context.entry
    held = ["callers", WORKER, *(f"{name}-platform" for name in DAEMONS)]
    callers = deployment.proxy.add_link("callers", deployment.daemons[entry].address)
    context.client.links[entry] = callers
    hold_links(context, "backward", "callers")
    send(context, "returned", make_requests(context, 2))
    wait_until(
        lambda: len(read_starts(deployment)) == 3, detail="starts of the returned submissions"
    )
    wait_status(context, entry, "submissions_running", 0)
    hold_links(context, "backward", WORKER)
    send(context, "answered", make_requests(context, 2))
    wait_until(
        lambda: len(read_starts(deployment)) == 6, detail="starts of the answered submissions"
    )
    wait_until(lambda: count_running_tasks(context) == 0, detail="the worker has answered")
    send(context, "started", make_requests(context, 2, LONG_TASK_MS))
    wait_until(
        lambda: len(read_starts(deployment)) == 9, detail="starts of the started submissions"
    )
    hold_links(context, "both", WORKER)
    send(context, "sent", make_requests(context, 1))
    wait_until(lambda: count_busy_slots(context) == SLOTS, detail="every slot is busy")
    short = make_request(1, deadline_ms=SHORT_DEADLINE_MS)
    send(context, "queued", [*make_requests(context, 2), short])
    wait_status(context, entry, "submissions_running", 9)
    claims = count_claims(context)
    hold_links(context, "both", *held[2:])
    chosen = [make_request(2, deadline_ms=context.deadline_ms) for _ in range(3)]
    send(context, "unclaimed", chosen)
    wait_status(context, entry, "submissions_kept", 14)
    if hold_before_entry:
        held.append(f"{OWNER}-{entry}")
        hold_links(context, "forward", held[-1])
        hold_links(context, "forward", WORKER)
        wait_until(
            lambda: count_busy_slots(context) <= SLOTS - 3, detail="the owner has the answers"
        )
    assert count_claims(context) == claims, "a claim has passed the held links"
    return held


def make_requests(context: Context, tasks: int, sleep_ms: int = 20) -> list[Request]:
    """Return a job under a chosen key and a single request under a prefixed one."""
    single = {"route": "payment", "single": True, "prefix": context.prefix}
    return [
        make_request(tasks, sleep_ms, deadline_ms=context.deadline_ms),
        make_request(1, sleep_ms, deadline_ms=context.deadline_ms, **single),
    ]


def send(context: Context, point: str, requests: list[Request]) -> None:
    context.points[point] = requests
    for request in requests:
        context.client.send(context.entry, request)


def resubmit_all(context: Context) -> None:
    """Send every submission again to every live daemon."""
    for name in context.live:
        for requests in context.points.values():
            for request in requests:
                context.client.send(name, request)


def hold_links(context: Context, direction: str, *links: str) -> None:
    faults = [{"kind": "hold", "direction": direction}]
    context.deployment.proxy.set_faults(*links, faults=faults)


def wait_status(context: Context, name: str, member: str, value: int) -> None:
    wait_until(
        lambda: context.deployment.read_status(name)[member] == value,
        detail=f"{member} of {name} is {value}",
    )


def count_running_tasks(context: Context) -> int:
    counters = context.deployment.control_workers("GET", "/control/counters")
    return sum(worker["running"] for worker in counters)


def count_busy_slots(context: Context) -> int:
    """Return how many slots of the owner are in use."""
    return sum(pool["running"] for pool in context.deployment.read_status(OWNER)["pools"])


def count_claims(context: Context) -> int:
    """Return how many claim records were appended to the log."""
    address = context.deployment.platform.address
    streams = send_control(address, "GET", "/control/counters")["streams"]
    return sum(stream["appends"] for name, stream in streams.items() if name.startswith("claims-"))


def count_daemons_with_peer(context: Context, victim: str) -> int:
    """Return how many of the other daemons list a daemon as a peer."""
    statuses = [context.deployment.read_status(name) for name in DAEMONS if name != victim]
    return sum(victim in [peer["name"] for peer in status["peers"]] for status in statuses)


@then("resubmissions get the same answer at every live daemon")
def check_same_answers(context: Context) -> None:
    for row in context.table:
        for request in context.points[row["point"]]:
            calls = [context.client.ask(name, request) for name in context.live]
            assert len({(call.state, call.ran, call.entries) for call in calls}) == 1, calls
            if row["end"] != "any" and request.deadline_ms != SHORT_DEADLINE_MS:
                assert row["end"] in (calls[0].state, calls[0].ran), (row["point"], calls[0])


@then("other content under the same keys is refused as a conflict")
def check_conflicts(context: Context) -> None:
    for request in chain.from_iterable(context.points.values()):
        # Only the entry daemon knows the content of its prefixed keys, and it may have been killed.
        gone = request.key.startswith(context.prefix) and context.entry not in context.live
        problem = "executor-gone" if gone else "conflict"
        other = replace(request, bodies=("sleep=0;other content",))
        for name in context.live:
            expect(context.client.ask(name, other), problem=problem, ran="may-have-run")


@when("the log delays the claim of a key until {name} refuses the submission")
def delay_claim(context: Context, name: str) -> None:
    context.deployment.set_platform_fault(mode="slow", latency_ms=4000, operations=["append"])
    context.request = make_request(2)
    expect(context.client.ask(name, context.request), problem="log-unavailable")
    context.deployment.set_platform_fault(mode="none")
    wait_until(lambda: count_claims(context) > 0, detail="the claim takes effect")


@when("{name} refuses other content under that key as a conflict")
def check_conflict(context: Context, name: str) -> None:
    other = replace(context.request, bodies=("sleep=0;other content",))
    expect(context.client.ask(name, other), problem="conflict")


@then("the first content under that key completes at {name}")
def check_first_completes(context: Context, name: str) -> None:
    expect(context.client.ask(name, context.request), state="complete")
