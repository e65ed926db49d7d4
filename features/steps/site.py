"""Steps for hosts that run on a stand-in for the users' platform."""

import signal
import sys
import threading
import time
import uuid
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import Future
from itertools import chain
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import httpx
from behave import given, then, when
from behave.runner import Context
from support.processes import wait_until
from support.site import Answer, SiteDeployment, count_starts, find_overlaps

from fireflybridge_adapter.__main__ import main as start_program

CRASHING_SPEC = "crash"  # the stand-in's upstreams crash when they start a task with it
CHANGE_TIMEOUT_S = 10.0
SUBMISSION_INTERVAL_S = 0.4  # keeps jobs of 800 ms tasks running all the time, without overload
SITE_TASKS = 12  # as many as six upstreams run at once
HEARTBEAT_WAIT_S = 0.6  # four heartbeats; a drain takes a second or more


def start_hosts(context: Context, **options: int) -> None:
    context.deployment = SiteDeployment(context.processes, **options)
    context.add_cleanup(context.deployment.close)
    context.deployment.start()
    context.jobs = []


def start_site(context: Context, **options: int) -> None:
    start_hosts(context, **options)
    wait_until(lambda: one_host_leads(context), detail="one host leads every zone")
    context.leader = context.deployment.find_leader()


def one_host_leads(context: Context) -> bool:
    leaders = context.deployment.control("state")["leaders"]
    return len(leaders) == context.deployment.zones and len(set(leaders.values())) == 1


def list_active_runs(context: Context) -> list[dict[str, object]]:
    return [run for run in context.deployment.list_runs() if not run["how"]]


def other_hosts(context: Context) -> list[str]:
    return [name for name in context.deployment.hosts if name != context.leader]


@given("hosts on a site")
def _(context: Context) -> None:
    start_site(context)


@given("hosts on a site whose tasks take {work_ms:d} ms")
def _(context: Context, work_ms: int) -> None:
    start_site(context, work_ms=work_ms)


@given("hosts on a site of 6 upstreams with separate leaders above {joined:d} upstreams")
def _(context: Context, joined: int) -> None:
    start_hosts(context, joined_upstreams=joined, hosts_per_zone=2)


@given("hosts on a site with {upstreams:d} upstreams in each zone")
def _(context: Context, upstreams: int) -> None:
    start_hosts(context, upstreams=upstreams, hosts_per_zone=2)


def has_leader_per_zone(context: Context) -> bool:
    deployment = context.deployment
    leaders = deployment.control("state")["leaders"]
    return len(leaders) == deployment.zones and all(
        deployment.find_zone(leader) == zone for zone, leader in leaders.items()
    )


@then("each zone has a leader of its own within {limit:d} s")
def _(context: Context, limit: int) -> None:
    deployment = context.deployment
    try:
        wait_until(lambda: has_leader_per_zone(context), limit, "each zone has a leader of its own")
    except AssertionError as error:
        events = chain.from_iterable(map(deployment.read_all_events, deployment.hosts))
        terms = [line for line in events if 7400 <= line["event_id"] < 7500]
        ordered = sorted(terms, key=lambda line: line["timestamp"])
        raise AssertionError(f"{error}: {ordered}") from error


@then("every host is ready")
def _(context: Context) -> None:
    for host in context.deployment.hosts:
        wait_until(lambda host=host: context.deployment.is_ready(host), detail=f"{host} is ready")


@when('the leader of zone "{zone}" is terminated and started again')
def _(context: Context, zone: str) -> None:
    deployment = context.deployment
    leader = deployment.find_leader(zone)
    deployment.hosts[leader].terminate()
    wait_until(lambda: not deployment.hosts[leader].is_running(), detail="the leader has ended")
    deployment.start_host(leader)


@given("hosts on a site whose strongest host starts last, with tasks of {work_ms:d} ms")
def _(context: Context, work_ms: int) -> None:
    start_hosts(context, work_ms=work_ms, first_host=2)
    wait_until(lambda: one_host_leads(context), detail="one host leads every zone")
    context.deployment.start_host("h1")


@when("jobs of {tasks:d} tasks are submitted to the other hosts until the strongest leads")
def _(context: Context, tasks: int) -> None:
    deployment = context.deployment
    deadline_s = time.monotonic() + CHANGE_TIMEOUT_S
    while deployment.find_leader() != "h1":
        assert time.monotonic() < deadline_s, "h1 does not lead"
        context.jobs += [(host, deployment.submit_later(host, tasks)) for host in ("h2", "h3")]
        time.sleep(SUBMISSION_INTERVAL_S)


@then("no task was started twice")
def _(context: Context) -> None:
    starts = count_starts(context.deployment.list_runs())
    repeated = {task for task, count in starts.items() if count > 1}
    assert not repeated, list_task_events(context, repeated)


def list_task_events(context: Context, tasks: set[str]) -> list[object]:
    """Return the runs of tasks and the log lines of their jobs, to explain a failed check."""
    jobs = {task.partition(".")[0] for task in tasks}
    deployment = context.deployment
    runs = [run for run in deployment.list_runs() if run["task"] in tasks]
    logged = chain.from_iterable(map(deployment.read_all_events, deployment.hosts))
    return [*runs, *(line for line in logged if line.get("job") in jobs)]


@given("hosts on a site with {hosts:d} hosts in each zone and tasks of {work_ms:d} ms")
def _(context: Context, hosts: int, work_ms: int) -> None:
    start_site(context, hosts_per_zone=hosts, work_ms=work_ms)


@given("hosts on a site with {hosts:d} hosts in each zone")
def _(context: Context, hosts: int) -> None:
    start_site(context, hosts_per_zone=hosts)


@when("{jobs:d} jobs of {tasks:d} tasks are submitted to each host in turn")
@when("{jobs:d} job of {tasks:d} tasks is submitted to each host in turn")
def _(context: Context, jobs: int, tasks: int) -> None:
    hosts = list(context.deployment.hosts)
    for index in range(jobs):
        host = hosts[index % len(hosts)]
        answer = context.deployment.submit_later(host, tasks)
        answer.result()
        context.jobs.append((host, answer))


@when("a job of {tasks:d} tasks is submitted to each host")
def _(context: Context, tasks: int) -> None:
    for host in context.deployment.hosts:
        context.jobs.append((host, context.deployment.submit_later(host, tasks)))


@when("{jobs:d} jobs of {tasks:d} tasks are submitted to one host at once")
def _(context: Context, jobs: int, tasks: int) -> None:
    context.ids = [f"{index:016x}" for index in range(jobs)]
    context.jobs = [
        ("h1", context.deployment.submit_later("h1", tasks, job)) for job in context.ids
    ]


@when("one job of {tasks:d} tasks is submitted to two hosts at once")
def _(context: Context, tasks: int) -> None:
    job = "00000000000000aa"
    deployment = context.deployment
    # A caller's thread that is slow to connect would submit the job after its first answer.
    connections = {host: deployment.connect(host) for host in ("h1", "h2")}
    for connection in connections.values():
        deployment.send(connection, tasks, job)
    context.jobs = [(host, deployment.receive_later(c)) for host, c in connections.items()]


@when("a caller disconnects {after_ms:d} ms after it submitted a job of {tasks:d} tasks")
def _(context: Context, after_ms: int, tasks: int) -> None:
    deployment = context.deployment
    caller = threading.Thread(target=deployment.submit, args=("h1", tasks, "", after_ms / 1000))
    caller.start()
    wait_until(lambda: list_active_runs(context), detail="a run under way")
    caller.join()


@when("{runs:d} runs or more are under way")
def _(context: Context, runs: int) -> None:
    wait_until(lambda: len(list_active_runs(context)) >= runs, detail=f"{runs} runs under way")


@when("the leader is terminated")
def _(context: Context) -> None:
    context.deployment.hosts[context.leader].terminate()


@when("the strongest other host is terminated")
def _(context: Context) -> None:
    # Hosts are named in the order of their strength; any of them may lead after a slow start.
    context.stopping, context.remaining = other_hosts(context)
    context.deployment.hosts[context.stopping].terminate()


@when("the leader is terminated while that host drains")
def _(context: Context) -> None:
    deployment = context.deployment
    stopping = context.stopping
    wait_until(lambda: deployment.read_events(stopping, 7003), detail="drain started")
    # The leader learns of the drain from the next heartbeat, which isn't logged.
    time.sleep(HEARTBEAT_WAIT_S)
    assert deployment.hosts[stopping].is_running(), f"{stopping} has stopped"
    deployment.hosts[context.leader].terminate()
    wait_until(
        lambda: deployment.read_events(context.leader, 7404), detail="leadership handed over"
    )


@then("the remaining host leads every zone")
def _(context: Context) -> None:
    leaders = set(context.deployment.control("state")["leaders"].values())
    assert leaders == {context.remaining}, (leaders, context.leader, context.stopping)


@when("the leader is killed")
def _(context: Context) -> None:
    context.deployment.hosts[context.leader].kill()


@when("a job whose task crashes its upstream is submitted at {where} until it isn't to be repeated")
def _(context: Context, where: str) -> None:
    deployment = context.deployment
    hosts = list(deployment.hosts) if where == "each host" else other_hosts(context)[:1]
    context.jobs += [
        (host, deployment.submit_until_final_later(host, CRASHING_SPEC)) for host in hosts
    ]


@when("the leader is killed once an upstream has crashed")
def _(context: Context) -> None:
    wait_until(lambda: list_crashes(context), detail="an upstream has crashed")
    context.deployment.hosts[context.leader].kill()


def list_crashes(context: Context) -> list[str]:
    """Return the task of each run that has ended with a crash of its upstream."""
    runs = context.deployment.list_runs()
    return [str(run["task"]) for run in runs if run["how"] == "crashed"]


@then("no task has crashed more than {most:d} upstreams")
def _(context: Context, most: int) -> None:
    crashes = Counter(list_crashes(context))
    assert crashes, "no upstream has crashed"
    assert max(crashes.values()) <= most, crashes


@when("the leader is paused")
def _(context: Context) -> None:
    context.deployment.hosts[context.leader].pause()


@when("the leader is paused until another host leads")
def _(context: Context) -> None:
    deployment = context.deployment
    deployment.hosts[context.leader].pause()
    # With one host in each zone no other host can claim the zone of the paused leader.
    paused_zone = deployment.find_zone(context.leader)
    zones = {f"z{index}" for index in range(1, deployment.zones + 1)} - {paused_zone}
    wait_until(
        lambda: all(deployment.find_leader(zone) not in {"", context.leader} for zone in zones),
        detail="another host leads every other zone",
    )


@when("the paused host is resumed")
def _(context: Context) -> None:
    context.deployment.hosts[context.leader].resume()
    wait_until(lambda: one_host_leads(context), detail="one host leads every zone")


@when("the log stops responding")
def _(context: Context) -> None:
    # The scenario is about hosts that have read the directory before they are cut off.
    for host in context.deployment.hosts:
        wait_until(lambda host=host: context.deployment.is_ready(host), detail=host)
    context.deployment.control("store", {"silent": True})


@when("the other hosts lead their zones provisionally, and are killed")
def _(context: Context) -> None:
    deployment = context.deployment
    for host in other_hosts(context):
        wait_until(lambda host=host: leads_provisionally(deployment, host), detail=host)
    for host in other_hosts(context):
        deployment.hosts[host].kill()


def leads_provisionally(deployment: SiteDeployment, host: str) -> bool:
    """Return whether a host leads its zone provisionally and every upstream there has seen that."""
    tokens = {event["fence"] for event in deployment.read_events(host, 7405)}
    fences = deployment.control("state")["fences"]
    zone = deployment.find_zone(host)
    return {fence for name, fence in fences.items() if f"-{zone}-" in name} <= tokens


@when("the log responds again, and the other hosts are started and the leader is resumed")
def _(context: Context) -> None:
    deployment = context.deployment
    deployment.control("store", {"silent": False})
    deployment.hosts[context.leader].resume()
    for host in other_hosts(context):
        deployment.start_host(host)


@then("one job runs on upstreams of every zone within {limit_s:d} s")
def _(context: Context, limit_s: int) -> None:
    wait_until(lambda: runs_in_every_zone(context.deployment), limit_s, "a job in every zone")


def runs_in_every_zone(deployment: SiteDeployment) -> bool:
    """Submit a job that fills the site, and return whether it runs on upstreams of every zone."""
    job = uuid.uuid4().hex[:16]
    deployment.submit("h1", SITE_TASKS, job)
    runs = [run for run in deployment.list_runs() if run["task"].startswith(job)]
    return len({run["upstream"].split("-")[1] for run in runs}) == deployment.zones


@when("the next start at every upstream is carried out without a reply")
def _(context: Context) -> None:
    for name in context.deployment.control("state")["fences"]:
        context.deployment.control(f"upstreams/{name}", {"lost_answers": 1})


@when("an upstream with runs stops replying")
def _(context: Context) -> None:
    upstream = list_active_runs(context)[0]["upstream"]
    context.deployment.control(f"upstreams/{upstream}", {"mute": True})


@when("an upstream fails everything it starts")
def _(context: Context) -> None:
    context.deployment.control("upstreams/u-z1-0", {"fails": True})


@when("every upstream fails everything it starts")
def _(context: Context) -> None:
    for name in context.deployment.control("state")["fences"]:
        context.deployment.control(f"upstreams/{name}", {"fails": True})


@when("the next {count:d} appends take effect without a response")
def _(context: Context, count: int) -> None:
    context.deployment.control("store", {"lost_appends": count})


@when("all hosts are killed, and all but the leader start again while the log ignores appends")
def _(context: Context) -> None:
    deployment = context.deployment
    deployment.control("store", {"ignores_appends": True})
    for host in deployment.hosts.values():
        host.kill()
    for name in other_hosts(context):
        deployment.start_host(name)


@when("all hosts are killed and start again while the log ignores appends")
def _(context: Context) -> None:
    deployment = context.deployment
    deployment.control("store", {"ignores_appends": True})
    for host in deployment.hosts.values():
        host.kill()
    for name in list(deployment.hosts):
        deployment.start_host(name)


@then('jobs submitted to every host are answered {status:d} "{state}" within {limit_s:d} s')
def _(context: Context, status: int, state: str, limit_s: int) -> None:
    wait_for_jobs(context, context.deployment.hosts, state, limit_s)


def wait_for_jobs(context: Context, hosts: Iterable[str], state: str, limit_s: float) -> None:
    """Submit jobs to each host in turn until one has ended in a state."""
    for host in hosts:
        wait_until(
            lambda host=host: context.deployment.submit(host, 2).state == state,
            limit_s,
            f"a job at {host}",
        )


@when("the log ignores appends")
def _(context: Context) -> None:
    context.deployment.control("store", {"ignores_appends": True})


@then(
    "the leader answers a job within {limit_s:d} s each of {count:d} times"
    " that it is killed and starts again"
)
def _(context: Context, limit_s: int, count: int) -> None:
    deployment, leader = context.deployment, context.leader
    for life in range(count):
        deployment.hosts[leader].kill()
        deployment.start_host(leader)
        try:
            wait_until(lambda: deployment.submit(leader, 2).state == "succeeded", limit_s)
        except AssertionError as error:
            terms = deployment.read_events(leader, 7405)
            raise AssertionError(f"start {life + 1}: {error}: {terms}") from error


@then("no two hosts of a zone follow different leaders")
def _(context: Context) -> None:
    deployment = context.deployment
    leaders = {host: find_followed_leader(deployment, host) for host in deployment.hosts}
    by_zone = {(deployment.find_zone(host), leader) for host, leader in leaders.items()}
    assert len(by_zone) == deployment.zones, leaders


def find_followed_leader(deployment: SiteDeployment, host: str) -> str:
    """Return the leader that a host leads as, or follows, by its newest log line on that."""
    known = [
        (event["timestamp"], event.get("leader", host))
        for event_id in (7401, 7405)
        for event in deployment.read_events(host, event_id)
    ]
    return max(known)[1]


@when("both hosts of another zone lead it provisionally")
def _(context: Context) -> None:
    deployment = context.deployment
    zone = "z2" if deployment.find_zone(context.leader) == "z1" else "z1"
    context.hosts = [name for name in deployment.hosts if deployment.find_zone(name) == zone]
    for host in context.hosts:
        wait_until(lambda host=host: deployment.read_events(host, 7405), detail=f"7405 of {host}")


@then("within {limit_s:d} s each of them answers a job or is not ready")
def _(context: Context, limit_s: int) -> None:
    deployment = context.deployment
    for host in context.hosts:
        wait_until(
            lambda host=host: (
                not deployment.is_ready(host) or deployment.submit(host, 2).state == "succeeded"
            ),
            limit_s,
            f"{host} answers a job or is not ready",
        )


@when("one job of {tasks:d} tasks is submitted to both at once")
def _(context: Context, tasks: int) -> None:
    job = "00000000000000ab"
    submit = context.deployment.submit_later
    context.answers = [submit(host, tasks, job) for host in context.hosts]


@then("no task ran twice at the same time after both have answered")
def _(context: Context) -> None:
    for answer in context.answers:
        answer.result()
    overlaps = find_overlaps(context.deployment.list_runs())
    assert not overlaps, overlaps


@then('one or both answer {status:d} "{state}"')
def _(context: Context, status: int, state: str) -> None:
    # The host with the lower token may raise it, and run the job once the other's run has ended.
    answers = [answer.result() for answer in context.answers]
    assert (status, state) in [(a.status, a.state) for a in answers], answers


@when("the log refuses every call")
def _(context: Context) -> None:
    context.deployment.control("store", {"refuses": True})


@when("each host gets SIGHUP")
def _(context: Context) -> None:
    for host in context.deployment.hosts.values():
        host.process.send_signal(signal.SIGHUP)


@when("the program of a host is started")
def _(context: Context) -> None:
    before = signal.getsignal(signal.SIGHUP)
    name = "fireflybridge_adapter._program"
    stub = SimpleNamespace(run_program=lambda: signal.getsignal(signal.SIGHUP))
    with mock.patch.dict(sys.modules, {name: stub}):
        context.found = start_program()
    signal.signal(signal.SIGHUP, before)


@then("SIGHUP is ignored before the host is imported")
def _(context: Context) -> None:
    assert context.found is signal.SIG_IGN, context.found


@when("every host but the leader is killed")
def _(context: Context) -> None:
    for host in other_hosts(context):
        context.deployment.hosts[host].kill()


@when("every host but the leader is terminated")
def _(context: Context) -> None:
    for host in other_hosts(context):
        context.deployment.hosts[host].terminate()


@then("no task was started more than {most:d} times")
def _(context: Context, most: int) -> None:
    starts = count_starts(context.deployment.list_runs())
    assert starts, "no task was started"
    assert max(starts.values()) <= most, starts


@then("each host has logged event {event_id:d}")
def _(context: Context, event_id: int) -> None:
    for host in context.deployment.hosts:
        wait_until(
            lambda host=host: context.deployment.read_events(host, event_id), detail=f"{host}"
        )


@then("only runs of the leader's own job are under way")
def _(context: Context) -> None:
    def one_job_has_runs() -> bool:
        return len({str(run["task"]).split(".")[0] for run in list_active_runs(context)}) == 1

    wait_until(one_job_has_runs, CHANGE_TIMEOUT_S, "only one job has runs")


@then("every host but the leader exits with code {code:d}")
def _(context: Context, code: int) -> None:
    for host in other_hosts(context):
        assert context.deployment.hosts[host].wait_exit() == code, host


@then("the metrics of the leader count {runs:d} runs")
def _(context: Context, runs: int) -> None:
    url = f"http://{context.deployment.find_ip(context.leader)}:9464/metrics"
    text = httpx.get(url, timeout=10).text
    assert f"fireflybridge_runs_total {runs}.0" in text, text


@when("an upstream hangs")
def _(context: Context) -> None:
    context.deployment.control("upstreams/u-z1-0", {"hangs": True})


@then("no task was started twice on one upstream")
def _(context: Context) -> None:
    runs = context.deployment.list_runs()
    starts = Counter((run["task"], run["upstream"]) for run in runs)
    assert max(starts.values()) == 1, starts


@when("an upstream drains and its entry was read")
def _(context: Context) -> None:
    context.deployment.control("upstreams/u-z2-0", {"state": "draining"})
    # The platform's documentation allows no start later than two seconds after the report.
    time.sleep(2)
    context.since_s = time.monotonic()


@when('the log loses the history of "{topic}"')
def _(context: Context, topic: str) -> None:
    context.deployment.control(f"forget/{topic}")


@when('a configuration replaces the route by "{prefix}"')
def _(context: Context, prefix: str) -> None:
    context.deployment.configure({"bookings": prefix})


@when("another writer puts malformed entries into the directory")
def _(context: Context) -> None:
    entries = {"x1": {"service": 7}, "x2": {}, "x3": {"state": "asleep", "addr": "nowhere"}}
    for key, entry in entries.items():
        context.deployment.control(f"put/keyed.servers/{key}", entry)


@when("a host is started without settings")
def _(context: Context) -> None:
    context.host = context.processes.spawn(
        "fireflybridge_adapter", environment={"FIREFLYBRIDGE_SETTINGS": "/nonexistent"}
    )
    context.host.wait_exit()
    context.host = context.processes.spawn("fireflybridge_adapter", environment={})


@when("a host is started with settings that lack its zone")
def _(context: Context) -> None:
    path = Path(context.processes.directory, "host.conf")
    path.write_text("node_name=h1\nip=127.0.0.1\n")
    context.host = context.processes.spawn(
        "fireflybridge_adapter", environment={"FIREFLYBRIDGE_SETTINGS": str(path)}
    )


@then('it exits with code {code:d} and reports check "{check}"')
def _(context: Context, code: int, check: str) -> None:
    assert context.host.wait_exit() == code
    assert check in context.host.read_stderr(), context.host.read_stderr()


@then('every job is answered {status:d} "{state}"')
def _(context: Context, status: int, state: str) -> None:
    check_answers(context.jobs, Answer(status, state))


def check_answers(jobs: list[tuple[str, Future[Answer]]], expected: Answer) -> None:
    answers = [(host, answer.result()) for host, answer in jobs]
    wrong = [(host, a) for host, a in answers if a != expected]
    assert not wrong, wrong


@then("the jobs of the other hosts are answered")
def _(context: Context) -> None:
    answers = [(host, answer.result()) for host, answer in context.jobs]
    lost = [host for host, answer in answers if host != context.leader and not answer.status]
    assert not lost, lost


@then('a job submitted to another host is answered {status:d} "{state}"')
def _(context: Context, status: int, state: str) -> None:
    host = other_hosts(context)[0]
    wait_until(
        lambda: context.deployment.submit(host, 2).state == state,
        CHANGE_TIMEOUT_S,
        f"a job at {host}",
    )


@then(
    'jobs submitted to a host of each zone are answered {status:d} "{state}" within {limit_s:d} s'
)
def _(context: Context, status: int, state: str, limit_s: int) -> None:
    zones = {context.deployment.find_zone(host): host for host in other_hosts(context)}
    wait_for_jobs(context, zones.values(), state, limit_s)


@then("the upstreams of each zone have the same fencing token")
def _(context: Context) -> None:
    fences = context.deployment.control("state")["fences"]
    by_zone = {name.split("-")[1]: set[int]() for name in fences}
    for name, fence in fences.items():
        by_zone[name.split("-")[1]].add(fence)
    assert all(len(found) == 1 for found in by_zone.values()), fences


@then("each of {tasks:d} tasks was started once")
def _(context: Context, tasks: int) -> None:
    starts = count_starts(context.deployment.list_runs())
    repeated = {task for task, count in starts.items() if count > 1}
    assert len(starts) == tasks, starts
    assert not repeated, list_task_events(context, repeated)


@then("no task ran twice at the same time")
def _(context: Context) -> None:
    overlaps = find_overlaps(context.deployment.list_runs())
    assert not overlaps, overlaps


@then("one host leads every zone")
def _(context: Context) -> None:
    assert one_host_leads(context), context.deployment.control("state")["leaders"]


@then("one host leads every zone within {limit_s:d} s")
def _(context: Context, limit_s: int) -> None:
    wait_until(lambda: one_host_leads(context), limit_s, "one host leads every zone")


@then("another host leads every zone")
def _(context: Context) -> None:
    leaders = set(context.deployment.control("state")["leaders"].values())
    assert len(leaders) == 1, leaders
    assert context.leader not in leaders, leaders


@then("the failing upstream got fewer than a quarter of the starts")
def _(context: Context) -> None:
    runs = context.deployment.list_runs()
    failing = [run for run in runs if run["upstream"] == "u-z1-0"]
    assert len(failing) * 4 < len(runs), (len(failing), len(runs))


@then("some jobs are answered 503 with Retry-After")
def _(context: Context) -> None:
    answers = [answer.result() for _, answer in context.jobs]
    refused = [answer for answer in answers if answer.status == 503]
    assert refused, answers
    assert all(answer.retry_after for answer in refused), refused


@then("no task of a refused job was started")
def _(context: Context) -> None:
    pairs = zip(context.ids, context.jobs, strict=True)
    refused = {job for job, (_, answer) in pairs if answer.result().status == 503}
    started = {task.split(".")[0] for task in count_starts(context.deployment.list_runs())}
    assert not refused & started, refused & started


@then("no run is under way")
def _(context: Context) -> None:
    wait_until(lambda: not list_active_runs(context), detail="all runs stopped")


@then("every ended run is acknowledged")
def _(context: Context) -> None:
    wait_until(
        lambda: context.deployment.control("state")["unseen_ends"] == 0,
        CHANGE_TIMEOUT_S,
        "every ended run is acknowledged",
    )


@then("the draining upstream got no start since")
def _(context: Context) -> None:
    runs = context.deployment.list_runs()
    late = [r for r in runs if r["upstream"] == "u-z2-0" and r["started_s"] > context.since_s]
    assert not late, late


@then('each host answers "{present}" with 200 and "{absent}" with 404')
def _(context: Context, present: str, absent: str) -> None:
    for host in context.deployment.hosts:
        wait_until(lambda host=host: ask_queue(context, host, present) == 200, detail=host)
        assert ask_queue(context, host, absent) == 404, host


def ask_queue(context: Context, host: str, prefix: str) -> int:
    url = f"http://{context.deployment.find_ip(host)}:8161{prefix}"
    return httpx.get(url, headers={"host": "desk.example"}, timeout=5).status_code
