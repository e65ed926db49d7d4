"""Steps that submit, resubmit and cancel jobs at a complete deployment."""

import random
import time
from collections import Counter

from behave import given, then, when
from behave.runner import Context
from support.checks import RecordingClient, Request, expect, make_request, make_unkeyed, read_starts
from support.deployment import Deployment, Plan
from support.processes import wait_until

SEED = 20_403
DAEMONS = ("d1", "d2", "d3")


@given("a checked deployment of {daemons:d} daemons")
def start_deployment(context: Context, daemons: int) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=daemons, proxied=True))
    context.deployment.start()
    context.client = RecordingClient(context.deployment)
    context.add_cleanup(context.client.close)


@then("the submissions' answers agree with the start records")
def check_all(context: Context) -> None:
    assert context.client.check() > 0, "no start was recorded"


def repeat_everywhere(context: Context, request: Request, first: str) -> None:
    """Submit a request, repeat it at every daemon while in flight and after, compare the answers."""
    client: RecordingClient = context.client
    answers = [client.send(first, request)]
    context.client.wait_started(request)
    answers += [client.send(name, request) for name in DAEMONS]
    entries = [expect(answer.result(), state="complete").entries for answer in answers]
    entries += [expect(client.ask(name, request), state="complete").entries for name in DAEMONS]
    entries += [client.ask(name, request, "GET").entries for name in DAEMONS]
    assert len(set(entries)) == 1, entries


@when("submissions with chosen keys are repeated at every daemon while in flight and after")
def repeat_chosen(context: Context) -> None:
    for first in DAEMONS:
        repeat_everywhere(context, make_request(6, 300), first)


@when("submissions with prefixed keys are repeated at every daemon while in flight and after")
def repeat_prefixed(context: Context) -> None:
    prefix = context.deployment.make_prefix("d1")
    for first in DAEMONS:
        repeat_everywhere(context, make_request(6, 300, prefix=prefix), first)


@when("chosen keys are first sent to every daemon at once")
def race_chosen(context: Context) -> None:
    requests = [make_request(3) for _ in range(10)]
    answers = [context.client.send(name, one) for one in requests for name in DAEMONS]
    for answer in answers:
        expect(answer.result(), state="complete")


@when("keys are repeated with other content")
def repeat_with_other_content(context: Context) -> None:
    for prefix in ("", context.deployment.make_prefix("d2")):
        first = make_request(2, prefix=prefix)
        expect(context.client.ask("d1", first), state="complete")
        for name in DAEMONS:
            # The client expects no start of a conflict, whose bodies are not those that run.
            other = Request(first.key, first.bodies[:1])
            expect(context.client.ask(name, other), problem="conflict", status=422)


@then(
    "submissions with prefixed keys run while the log refuses, "
    "and chosen keys are refused correctly"
)
def submit_while_log_refuses(context: Context) -> None:
    client: RecordingClient = context.client
    prefix = context.deployment.make_prefix("d3")
    ran = make_request(2)
    expect(client.ask("d1", ran), state="complete")
    context.deployment.set_platform_fault(mode="refuse")
    refused = make_request(2)
    expect(client.ask("d1", refused), problem="log-unavailable", status=503)
    expect(client.ask("d1", ran), state="complete")
    for name in ("d2", "d3"):
        answer = client.ask(name, ran)
        assert answer.state == "complete" or answer.ran == "may-have-run", answer
        assert client.ask(name, ran, "GET").ran in ("done", "may-have-run")
    for name in DAEMONS:
        expect(client.ask(name, make_request(2, prefix=prefix)), state="complete")
        expect(client.ask(name, make_unkeyed()), state="complete")
    context.deployment.set_platform_fault(mode="none")
    for name in ("d2", "d1", "d3"):
        expect(client.ask(name, refused), state="complete")


@then("a submission whose append loses its answer is delayed but starts once")
def submit_with_lost_append_answer(context: Context) -> None:
    for name in DAEMONS:
        context.deployment.set_platform_fault(mode="lose_answers", count=1)
        request = make_request(2)
        first = context.client.ask(name, request)
        assert first.state == "complete" or first.problem == "log-unavailable", first
        context.deployment.set_platform_fault(mode="none")
        for other in DAEMONS:
            expect(context.client.ask(other, request), state="complete")


@then("submissions whose executor is killed are answered as may-have-run")
def check_killed_executor(context: Context) -> None:
    client: RecordingClient = context.client
    prefix = context.deployment.make_prefix("d1")
    finished = [make_request(2), make_request(2, prefix=prefix)]
    for request in finished:
        expect(client.ask("d1", request), state="complete")
    running = [make_request(2, 3000), make_request(2, 3000, prefix=prefix)]
    for request in running:
        client.send("d1", request)
        context.client.wait_started(request)
    client.killed.add(context.deployment.daemons["d1"].address)
    context.deployment.daemons["d1"].kill()
    context.deployment.daemons["d1"].wait_exit()
    for request in finished + running:
        for name in ("d2", "d3"):
            expect(client.ask(name, request), ran="may-have-run")
            expect(client.ask(name, request, "GET"), ran="may-have-run")


def complete_jobs(context: Context, route: str) -> None:
    """Submit jobs to both daemons and check that all of them complete."""
    answers = [
        context.client.send(name, make_request(10, route=route))
        for name in ("d1", "d2")
        for _ in range(4)
    ]
    for answer in answers:
        expect(answer.result(), state="complete")


@then("submissions complete while one worker refuses connections")
def refuse_connections(context: Context) -> None:
    link = "worker-worker-0"
    context.deployment.proxy.set_faults(link, faults=[{"kind": "refuse"}])
    context.deployment.proxy.reset(link)
    complete_jobs(context, "payment")
    complete_jobs(context, "booking")
    context.deployment.proxy.clear_faults(link)


@then("submissions complete while one worker's guard refuses")
def refuse_by_guard(context: Context) -> None:
    context.deployment.set_worker_fault("refuse", "worker-1")
    complete_jobs(context, "payment")
    context.deployment.set_worker_fault("none")


@then("submissions that workers reset, truncate or fail are sent once")
def check_sent_once(context: Context) -> None:
    for fault in ("reset", "truncate", "fail"):
        context.deployment.set_worker_fault(fault)
        jobs = [make_request(4, deadline_ms=3000), make_request(4, route="payment")]
        singles = [make_request(route="payment", single=True) for _ in range(4)]
        answers = [context.client.send("d1", one) for one in jobs + singles]
        for answer in answers:
            call = answer.result()
            assert call.state != "complete", call
            ran = {entry.ran for entry in call.entries} or {call.ran}
            assert ran <= ({"done"} if fault == "fail" else {"may-have-run", "not-run"}), call
        context.deployment.set_worker_fault("none")
        wait_recovered(context)


def wait_recovered(context: Context) -> None:
    """Wait until a job completes again after failing workers were ejected."""
    wait_until(
        lambda: context.client.ask("d1", make_request(8)).state == "complete",
        detail="a job completes after the workers recovered",
    )


@then("idempotent single submissions are retried when workers reset or fail")
def retry_idempotent(context: Context) -> None:
    for fault in ("reset", "fail"):
        context.deployment.set_worker_fault(fault, "worker-0", "worker-1")
        wait_until(lambda: check_retried(context), detail="a retry led to an answer")
        context.deployment.set_worker_fault("none")
        wait_recovered(context)


def check_retried(context: Context) -> bool:
    """Send single requests; return whether any was started twice and then answered."""
    calls = [context.client.send("d1", make_request(single=True)) for _ in range(24)]
    answered = {call.result().request.key for call in calls if call.result().status == 200}
    starts = Counter(start.key for start in read_starts(context.deployment))
    return any(starts[key] > 1 for key in answered)


@then("retried submissions that end at their deadline are never answered as not-run")
def retry_until_deadline(context: Context) -> None:
    client: RecordingClient = context.client
    context.deployment.set_worker_fault("reset")
    single = make_request(1, 400, single=True, deadline_ms=1500)
    answer = client.send("d1", single)
    context.client.wait_started(single)
    # No slot is free for the retry until after its deadline.
    others = [client.send("d1", make_request(20, 2500, route="payment")) for _ in range(2)]
    expect(answer.result(), ran="may-have-run")
    for other in others:
        other.result()
    context.deployment.set_worker_fault("none")
    wait_recovered(context)


@then("submissions that hang end at their deadline as may-have-run")
def check_hanging_workers(context: Context) -> None:
    context.deployment.set_worker_fault("hang")
    requests = [make_request(2, route="payment", deadline_ms=1000) for _ in range(3)]
    for answer in [context.client.send("d1", one) for one in requests]:
        expect(answer.result(), state="failed")


@when("waves of submissions are cancelled at random moments")
def cancel_waves(context: Context) -> None:
    generator = random.Random(SEED)
    for _ in range(3):
        requests = [make_request(10, 200) for _ in range(15)]
        daemons = [generator.choice(DAEMONS) for _ in requests]
        pairs = list(zip(daemons, requests, strict=True))
        calls = [context.client.send(name, one) for name, one in pairs]
        context.client.wait_started(requests[0])
        for name, one in generator.sample(pairs, len(pairs)):
            context.client.send(name, one, "DELETE")
            time.sleep(generator.uniform(0.0, 0.03))
        for call in calls:
            call.result()


@then("some cancelled submissions have tasks that never ran")
def check_cancelled(context: Context) -> None:
    found = {entry.ran for call in context.client.calls for entry in call.entries}
    assert found >= {"not-run", "done"}, found


@when("a partly started job, a queued job and a job with a pending claim are cancelled elsewhere")
def cancel_elsewhere(context: Context) -> None:
    client: RecordingClient = context.client
    prefix = context.deployment.make_prefix("d1")
    # The first tasks are still running at the cancellation, so the waiting job never gets their slots.
    started = make_request(60, 4000, prefix=prefix, deadline_ms=60_000)
    waiting = make_request(4, prefix=prefix, deadline_ms=60_000)
    claiming = make_request(4, deadline_ms=60_000)
    context.cancelled = [(started, client.send("d1", started))]
    client.wait_started(started)
    context.cancelled.append((waiting, client.send("d1", waiting)))
    # Claims of d1 wait for the log until the fault ends, and the jobs that follow wait for slots.
    context.deployment.set_platform_fault(mode="hang", operations=["append"])
    context.cancelled.append((claiming, client.send("d1", claiming)))
    for request in (waiting, claiming):
        wait_until(lambda one=request: client.ask("d1", one, "GET").status == 202, detail="a job")
    cancels = [client.send("d2", request, "DELETE") for request, _ in context.cancelled]
    wait_until(
        lambda: context.deployment.read_status("d1")["submissions_running"] <= 1,
        detail="prefixed jobs cancelled",
    )
    context.deployment.set_platform_fault(mode="none")
    for cancel in cancels:
        cancel.result()


@then("their callers, later requests and resubmissions get the same cancellation")
def check_cancellation(context: Context) -> None:
    seen = []
    for request, caller in context.cancelled:
        first = expect(caller.result(), problem="cancelled", status=409, state="failed")
        for name in ("d1", "d2"):
            for method in ("GET", "POST"):
                later = context.client.ask(name, request, method)
                expect(later, problem="cancelled", ran=first.ran, entries=first.entries)
        seen.append((first.ran, {entry.ran for entry in first.entries}))
    not_run = ("not-run", {"not-run"})
    assert seen == [("may-have-run", {"done", "not-run"}), not_run, not_run], seen


@then("a submission whose tasks alone exceed its window is refused as unreachable")
def exceed_window(context: Context) -> None:
    deployment: Deployment = context.deployment
    expect(context.client.ask("d1", make_request(1, 500)), state="complete")
    # One submission a second is admitted all the same, so that a wrong estimate gets corrected.
    calls = {key: deployment.submit("d1", key, ["sleep=500;"], deadline_ms=100) for key in "abcd"}
    refused = {key: call for key, call in calls.items() if call.status_code == 503}
    assert refused, calls
    for call in refused.values():
        found = call.json()
        assert found["type"].endswith(":window-unreachable"), found
        assert (found["ran"], found["request_ran"]) == ("not-run", "not-run"), found
        assert "retry-after" not in call.headers, call.headers
    assert refused.keys().isdisjoint(start.key for start in read_starts(deployment))
