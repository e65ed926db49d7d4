"""Steps that stop, kill, pause and isolate daemons under load."""

import threading
import time
from itertools import combinations

from behave import then, when
from behave.runner import Context
from support.checks import Call, RecordingClient, Request, expect, make_request, make_unkeyed
from support.processes import wait_until

PAUSE_S = 4.0  # longer than the 3 s after which a silent peer counts as lost
BALANCER_LAG_S = 0.3  # the load balancer keeps a daemon this long after its SIGTERM
RETRY_DELAY_S = 0.05
CALLERS = 6
DAEMONS = ("d1", "d2", "d3")


def send_mixed(context: Context, name: str, rounds: int, sleep_ms: int = 150) -> list[Request]:
    """Send submissions with chosen, prefixed and no keys to a daemon; return those with keys."""
    client: RecordingClient = context.client
    prefix = context.deployment.make_prefix(name)
    requests = [
        request
        for _ in range(rounds)
        for request in (
            make_request(8, sleep_ms),
            make_request(8, sleep_ms, prefix=prefix, route="payment"),
            make_request(1, sleep_ms, route="payment", single=True),
        )
    ]
    unkeyed = [make_unkeyed(sleep_ms) for _ in range(rounds)]
    context.sent = [client.send(name, one) for one in requests + unkeyed]
    return requests


def wait_calls(context: Context) -> list[Call]:
    """Return the answers of the calls that were sent last."""
    return [call.result() for call in context.sent]


@when("every daemon is under load")
def send_load(context: Context) -> None:
    answers = []
    for name in context.deployment.daemons:
        requests = send_mixed(context, name, 4)
        answers += context.sent
    context.client.wait_started(requests[-1])
    context.sent = answers


@when("{name} gets SIGTERM under load that outlasts the drain delay")
def terminate(context: Context, name: str) -> None:
    client: RecordingClient = context.client
    others = [one for one in context.deployment.daemons if one != name]
    prefix = context.deployment.make_prefix(others[0])
    # The daemon waits for another daemon's answer, runs tasks of others and has queued tasks itself.
    long_jobs = [make_request(2, 3500, prefix=prefix), make_request(2, 3500)]
    context.sent.append(client.send(name, long_jobs[0]))
    context.sent.append(client.send(others[0], long_jobs[1]))
    for request in long_jobs:
        client.wait_started(request)
    context.sent.append(client.send(name, long_jobs[1]))
    load = [make_request(30, 400, route="payment") for _ in range(2)]
    context.sent += [client.send(one, request) for one in others for request in load]
    wait_until(
        lambda: context.deployment.read_status(name)["tasks_accepted_from_peers"] > 0,
        detail=f"{name} runs tasks of others",
    )
    context.sent += [client.send(name, make_request(30, 300)) for _ in range(2)]
    context.deployment.daemons[name].terminate()


@then("{name} exits with code 0 and every accepted request is answered")
def check_complete(context: Context, name: str) -> None:
    for call in wait_calls(context):
        expect(call, state="complete")
    assert context.deployment.daemons[name].wait_exit() == 0


@when("{name} starts again and all daemons serve")
def restart(context: Context, name: str) -> None:
    context.deployment.start_daemon(name)
    context.deployment.wait_serving()


@then("d2 forwards to the restarted d1")
def check_forwarding(context: Context) -> None:
    # The first message to a restarted daemon still goes to its previous incarnation's session.
    request = make_request(2, prefix=context.deployment.make_prefix("d1"))
    expect(context.client.ask("d2", request), state="complete")


@when("{name} gets SIGTERM twice while long tasks run")
def terminate_twice(context: Context, name: str) -> None:
    prefix = context.deployment.make_prefix(name)
    requests = [make_request(2, 2500), make_request(2, 2500, prefix=prefix, route="payment")]
    context.sent = [context.client.send(name, one) for one in requests]
    requests.append(make_request(2, 2500, prefix=context.deployment.make_prefix("d2")))
    context.sent.append(context.client.send(name, requests[-1]))
    for request in requests:
        context.client.wait_started(request)
    # Claims are waiting for the log when the second SIGTERM ends the drain.
    context.deployment.set_platform_fault(mode="slow", latency_ms=1000, operations=["append"])
    kept = context.deployment.read_status(name)["submissions_kept"]
    late = [make_request(2, 2500) for _ in range(6)]
    context.sent += [context.client.send(name, one) for one in late]
    wait_until(
        lambda: context.deployment.read_status(name)["submissions_kept"] == kept + len(late),
        detail="claims wait for the log",
    )
    daemon = context.deployment.daemons[name]
    daemon.terminate()
    wait_until(lambda: "drain started" in daemon.read_stderr(), detail="start of the drain")
    daemon.terminate()


@then("{name} exits with code 0 and every caller is answered")
def check_answered(context: Context, name: str) -> None:
    for call in wait_calls(context):
        assert call.status != 0, call
    assert context.deployment.daemons[name].wait_exit() == 0
    context.deployment.set_platform_fault(mode="none")


@when("every daemon is replaced while callers retry only what did not run")
def replace_all(context: Context) -> None:
    stop = threading.Event()
    context.balanced, context.final_calls = list(DAEMONS), []
    callers = [
        threading.Thread(target=call_until, args=(context, index, stop)) for index in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    try:
        for name in DAEMONS:
            daemon = context.deployment.daemons[name]
            context.client.stopped.add(daemon.address)
            daemon.terminate()
            time.sleep(BALANCER_LAG_S)
            context.balanced.remove(name)
            assert daemon.wait_exit() == 0
            context.deployment.start_daemon(name)
            context.deployment.wait_serving()
            context.balanced.append(name)
    finally:
        stop.set()
        for caller in callers:
            caller.join()


def call_until(context: Context, index: int, stop: threading.Event) -> None:
    """Send one submission after the other through the simulated load balancer."""
    number = index
    while not stop.is_set():
        number += 1
        request = (make_request(4, 50), make_unkeyed(50), make_request(4, 50, route="payment"))[
            number % 3
        ]
        context.final_calls.append(call_retrying(context, request, number))


def call_retrying(context: Context, request: Request, number: int) -> Call:
    """Send a request, and again after a refused connection or an answer that it did not run."""
    while True:
        names = context.balanced
        call: Call = context.client.ask(names[number % len(names)], request)
        unsent = call.status == 0 and "ConnectError" in call.detail
        if not unsent and call.request_ran != "not-run":
            return call
        number += 1
        time.sleep(RETRY_DELAY_S)


@then("no caller's request has failed")
def check_final_calls(context: Context) -> None:
    failed = [call for call in context.final_calls if call.state != "complete"]
    assert not failed, failed
    assert len(context.final_calls) > CALLERS, "the callers sent too few requests"


@when("d2 is killed while it runs tasks pulled from d1")
def kill_pulling_daemon(context: Context) -> None:
    client: RecordingClient = context.client
    requests = [make_request(30, 300, deadline_ms=5000) for _ in range(3)]
    context.sent = [client.send("d1", one) for one in requests]
    context.requests = requests
    wait_until(
        lambda: context.deployment.read_status("d2")["tasks_accepted_from_peers"] > 0,
        detail="d2 runs tasks of d1",
    )
    kill(context, "d2")


def kill(context: Context, name: str) -> None:
    """Kill a daemon and remove it from the platform's host list."""
    context.client.killed.add(context.deployment.daemons[name].address)
    context.deployment.daemons[name].kill()
    context.deployment.daemons[name].wait_exit()
    context.deployment.update_host_list()


@then("every caller of d1 is answered and resubmissions get the same answers")
def check_pulling_daemon_death(context: Context) -> None:
    calls = wait_calls(context)
    for call, request in zip(calls, context.requests, strict=True):
        assert call.state in ("complete", "failed"), call
        for name in ("d1", "d3"):
            again = context.client.ask(name, request)
            assert again.entries == call.entries, (again, call)


@when("the entry daemon d1 is killed under load")
def kill_entry(context: Context) -> None:
    context.requests = send_mixed(context, "d1", 4, 400)
    for request in context.requests[:3]:
        context.client.wait_started(request)
    # d3 must not report a first submission as "not run" once it has forwarded it to d1.
    forwarded = make_request(2, 3000, prefix=context.deployment.make_prefix("d1"))
    context.sent = [context.client.send("d3", forwarded)]
    context.client.wait_started(forwarded)
    kill(context, "d1")
    expect(context.sent[0].result(), state="failed", ran="may-have-run")


@then("resubmissions to d3 are refused as possibly run")
def check_entry_death(context: Context) -> None:
    for request in context.requests[:3]:
        expect(context.client.ask("d3", request), ran="may-have-run", state="")
    for request in context.requests[3:]:
        context.client.ask("d3", request)


@when("d2 is paused for 4 s while it runs tasks")
def pause(context: Context) -> None:
    client: RecordingClient = context.client
    requests, answers = [], []
    for name in ("d1", "d3", "d2"):
        requests = send_mixed(context, name, 4, 300)
        answers += context.sent
    client.wait_started(requests[0])
    context.deployment.daemons["d2"].pause()
    resubmissions = [client.send("d3", one) for one in requests]
    time.sleep(PAUSE_S)
    resubmissions += [client.send("d1", one) for one in requests]
    context.deployment.daemons["d2"].resume()
    for answer in answers + resubmissions:
        answer.result()
    context.deployment.wait_serving()
    expect(client.ask("d2", make_request(4)), state="complete")


def cut_links(context: Context, *links: str) -> None:
    """Drop all traffic on some links in both directions."""
    context.deployment.proxy.set_faults(*links, faults=[{"kind": "drop"}])


def has_peer(context: Context, name: str, other: str) -> bool:
    """Return whether a daemon lists another one as a peer."""
    return other in [peer["name"] for peer in context.deployment.read_status(name)["peers"]]


def check_prefixed_and_unkeyed(context: Context, names: tuple[str, ...]) -> None:
    """Check that requests with prefixed keys and without keys complete at each daemon."""
    for name in names:
        requests = send_mixed(context, name, 2, 50)
        prefixed = [one for one in requests if one.key.startswith("fbp-")]
        for call in wait_calls(context):
            if call.request in prefixed or not call.request.key:
                expect(call, state="complete")


@when("the links between each pair of daemons are cut in turn under load")
def cut_pairs(context: Context) -> None:
    for one, other in combinations(DAEMONS, 2):
        answers = []
        for name in (one, other):
            send_mixed(context, name, 2, 300)
            answers += context.sent
        links = (f"{one}-{other}", f"{other}-{one}")
        cut_links(context, *links)
        wait_until(
            lambda a=one, b=other: not has_peer(context, a, b) and not has_peer(context, b, a)
        )
        check_prefixed_and_unkeyed(context, (one, other))
        context.deployment.proxy.clear_faults(*links)
        for answer in answers:
            answer.result()
        context.deployment.wait_serving()


@when("the link of each daemon to the platform is cut in turn under load")
def cut_platform(context: Context) -> None:
    for name in DAEMONS:
        cut_links(context, f"{name}-platform")
        check_prefixed_and_unkeyed(context, DAEMONS)
        context.deployment.proxy.clear_faults(f"{name}-platform")


@when("d2 is cut off from the platform and from every daemon")
def isolate(context: Context) -> None:
    client: RecordingClient = context.client
    request = make_request(2)
    expect(client.ask("d1", request), state="complete")
    links = ("d2-platform", "d1-d2", "d2-d1", "d3-d2", "d2-d3")
    cut_links(context, *links)
    wait_until(lambda: not has_peer(context, "d2", "d1") and not has_peer(context, "d2", "d3"))
    expect(client.ask("d2", request), ran="may-have-run")
    expect(client.ask("d2", request, "GET"), ran="may-have-run")
    check_prefixed_and_unkeyed(context, ("d2",))
    context.deployment.proxy.clear_faults(*links)
    context.deployment.wait_serving()
    expect(client.ask("d2", request), state="complete")
