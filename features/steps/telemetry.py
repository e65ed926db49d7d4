"""Steps for the settings and logs of daemons, and for daemons with the same name."""

import json
import os
import re
import tempfile
from pathlib import Path

import httpx
from behave import given, then, when
from behave.runner import Context
from support.control import send_control
from support.deployment import Deployment, Plan
from support.processes import wait_until

FEATURES = Path(__file__).parents[1]
SETTINGS_PAGE = Path(__file__).parents[2] / "docs" / "reference" / "settings.md"
# Two daemons send one heartbeat a second, so these take longer than the 3 s after which one is
# considered lost.
HEARTBEATS = 12
PEER_KEY = "pk-5d1f0c7e9b3a4826"
PAYLOAD = "payload-c0ffee"
KEY = "caller-key-c0ffee"
REQUIRED = ("--name=d1", "--failure-domain=fd1", "--platform-url=http://127.0.0.1:9")
EPHEMERAL_PORTS = (
    "--callers-address=127.0.0.1:0",
    "--operators-address=127.0.0.1:0",
    "--peer-address=127.0.0.1:0",
)

# Arguments, environment variables, and the expected faults as pairs of check and setting.
INVALID_SETTINGS: tuple[
    tuple[tuple[str, ...], dict[str, str], tuple[tuple[str, str], ...]], ...
] = (
    (
        (
            "--platform-url=ftp://10.0.0.5",
            "--callers-address=balancer:8080",
            "--operators-address=127.0.0.1:65536",
            "--peer-address=127.0.0.1",
            "--log-form=xml",
            "--log-level=loud",
            "--trace-ratio=1.5",
            "--retention-s=600",
            "--log-retention-s=600",
            "--trace-url=collector",
            "--claim-timeout-ms=0",
            "--drain-delay-s=-1",
            "--drain-timeout-s=soon",
        ),
        {"FIREFLYBRIDGE_MAX_KEPT_MB": "much"},
        (
            ("FB101", "name"),
            ("FB101", "failure-domain"),
            ("FB102", "drain-timeout-s"),
            ("FB102", "max-kept-mb"),
            ("FB103", "platform-url"),
            ("FB104", "callers-address"),
            ("FB104", "operators-address"),
            ("FB104", "peer-address"),
            ("FB105", "peer-key-file"),
            ("FB107", "log-form"),
            ("FB107", "log-level"),
            ("FB108", "trace-ratio"),
            ("FB109", "log-retention-s"),
            ("FB110", "trace-url"),
            ("FB111", "claim-timeout-ms"),
            ("FB111", "drain-delay-s"),
        ),
    ),
    (
        (*REQUIRED, *EPHEMERAL_PORTS[:2], "--insecure-peers", "--peer-address=0.0.0.0:0"),
        {},
        (("FB106", "insecure-peers"),),
    ),
    (
        (*REQUIRED, *EPHEMERAL_PORTS, "--peer-key-file=/nonexistent/key"),
        {"FIREFLYBRIDGE_INSECURE_PEERS": "maybe"},
        (("FB102", "insecure-peers"), ("FB105", "peer-key-file")),
    ),
    (
        (*REQUIRED, *EPHEMERAL_PORTS, f"--peer-key-file={os.devnull}", "--prefix-lifetime-s=nan"),
        {},
        (("FB102", "prefix-lifetime-s"), ("FB105", "peer-key-file")),
    ),
    (
        (
            *REQUIRED,
            *EPHEMERAL_PORTS,
            "--insecure-peers",
            "--drain-timeout-s=nan",
            "--retention-s=-600",
        ),
        {"FIREFLYBRIDGE_TRACE_RATIO": "nan"},
        (("FB108", "trace-ratio"), ("FB111", "drain-timeout-s"), ("FB111", "retention-s")),
    ),
)


@when("telemetry daemons are started with invalid settings of every kind")
def start_with_invalid_settings(context: Context) -> None:
    taken = context.processes.start("fireflybridge_standins.platform").address
    addresses = (
        f"--callers-address={taken}",
        "--operators-address=192.0.2.1:8081",  # reserved for documentation
        f"--peer-address={taken}",
    )
    settings = (
        *INVALID_SETTINGS,
        (
            (*REQUIRED, "--insecure-peers", *addresses),
            {},
            (
                ("FB112", "callers-address"),
                ("FB112", "operators-address"),
                ("FB112", "peer-address"),
                ("FB113", "operators-address"),
            ),
        ),
    )
    context.invalid_daemons = [
        (
            context.processes.spawn("fireflybridge_daemon", *arguments, environment=variables),
            expected,
        )
        for arguments, variables, expected in settings
    ]


@then("each telemetry daemon exits with code 2, reports every fault and prints no ready line")
def check_invalid_settings(context: Context) -> None:
    for program, expected in context.invalid_daemons:
        assert program.wait_exit() == 2, program.read_stderr()
        assert program.read_stdout() == "", program.read_stdout()
        lines = program.read_stderr().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        texts = [line for line in lines if not line.startswith("{")]
        assert sorted(event["fault"] for event in events) == sorted(texts), lines
        assert {event["event_id"] for event in events} == {1005}, events
        found = [re.match(r"(FB\d+): --([a-z-]+) \((\w+)\) is .+; \w+", text) for text in texts]
        pairs = [(match[1], match[2]) for match in found if match]
        assert sorted(pairs) == sorted(expected), f"\nfound {texts}\nexpected {expected}"
        for match in filter(None, found):
            assert match[3] == "FIREFLYBRIDGE_" + match[2].upper().replace("-", "_"), match[0]


@then("the reported faults cover every start-up check of the settings page")
def check_all_checks_covered(context: Context) -> None:
    checks = set(re.findall(r"^\| `(FB\d+)`", SETTINGS_PAGE.read_text(), re.MULTILINE))
    assert checks == {check for _, expected in context.invalid_daemons for check, _ in expected}


@given("a telemetry deployment with a peer key and log level debug")
def deploy_with_key(context: Context) -> None:
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    key_file = Path(folder.name, "key")
    key_file.write_text(PEER_KEY)
    arguments = (
        f"--peer-key-file={key_file}",
        "--log-level=debug",
        "--claim-timeout-ms=300",
        "--drain-timeout-s=0.2",
        "--drain-delay-s=0",
    )
    context.deployment = Deployment(context.processes, Plan(daemons=2, daemon_arguments=arguments))
    context.deployment.start()


@when("recognizable telemetry jobs are answered, resubmitted, fetched and refused")
def submit_recognizable(context: Context) -> None:
    deployment = context.deployment
    bodies = [f"{PAYLOAD}-{index}" for index in range(40)]
    keys = (f"{deployment.make_prefix('d1')}.{KEY}", f"{KEY}-chosen")
    for key in keys:
        for daemon in ("d1", "d2"):
            assert deployment.submit(daemon, key, bodies).status_code == 200
        assert deployment.submit("d2", key, ["other-" + PAYLOAD]).status_code == 422
        assert deployment.call("d2", "GET", f"/v1/jobs/{key}").status_code == 200
        assert deployment.call("d1", "DELETE", f"/v1/jobs/{key}").status_code == 200
    unknown = deployment.submit("d1", f"{KEY}-unknown", bodies, route="no-such-route")
    assert unknown.status_code == 404
    malformed = deployment.call(
        "d1", "POST", "/v1/jobs", content=PAYLOAD, headers={"Idempotency-Key": KEY}
    )
    assert malformed.status_code == 400


@when("recognizable telemetry jobs fail at upstreams, while the log is unavailable and in a drain")
def fail_recognizable(context: Context) -> None:
    deployment = context.deployment
    deployment.set_worker_fault("fail")
    failed = deployment.submit("d1", f"{KEY}-failed", [f"{PAYLOAD}-fail"] * 40)
    assert failed.status_code == 502, failed.text
    deployment.set_platform_fault(mode="refuse")
    down = deployment.submit("d1", f"{KEY}-down", [PAYLOAD])
    assert down.status_code == 503, down.text
    deployment.set_platform_fault(mode="none")
    deployment.set_worker_fault("hang")
    daemon = deployment.daemons["d1"]
    cut_key = f"{deployment.make_prefix('d1')}.{KEY}-cut"
    accepted = deployment.call(
        "d1",
        "POST",
        "/v1/jobs",
        json={"route": "booking", "tasks": [{"body": PAYLOAD}] * 40},
        headers={"Idempotency-Key": cut_key, "Prefer": "respond-async"},
    )
    assert accepted.status_code == 202, accepted.text
    daemon.terminate()
    assert daemon.wait_exit() == 0
    survivor = deployment.daemons["d2"]
    wait_until(lambda: '"event_id": 3007' in survivor.read_stderr(), detail="event 3007")
    deployment.update_host_list()
    wait_until(lambda: '"event_id": 3004' in survivor.read_stderr(), detail="event 3004")


@then("the telemetry logs contain events but no payload, no key and not the peer key")
def check_logs(context: Context) -> None:
    logs = {
        name: program.read_stderr() + program.read_stdout()
        for name, program in context.deployment.daemons.items()
    }
    for name, text in logs.items():
        for secret in (PAYLOAD, KEY, PEER_KEY):
            at = text.find(secret)
            assert at < 0, f"the log of {name} holds {secret}: {text[max(0, at - 300) : at + 100]}"
    numbers = {
        json.loads(line)["event_id"]
        for text in logs.values()
        for line in text.splitlines()
        if "event_id" in line
    }
    assert {1001, 1002, 1003, 1004, 2001, 3003, 3004, 3007, 4001, 4003, 5001} <= numbers, numbers


@given("a telemetry daemon with an internal error in each request to one route")
def start_failing(context: Context) -> None:
    context.failing = context.processes.start(
        "support.failing_daemon",
        *REQUIRED,
        *EPHEMERAL_PORTS,
        "--insecure-peers",
        environment={"PYTHONPATH": str(FEATURES)},
    )


@then('that telemetry route answers with problem "internal", and the error is counted and logged')
def check_internal(context: Context) -> None:
    base = f"http://{context.failing.address}/v1"
    with httpx.Client(trust_env=False) as client:
        failed = client.post(f"{base}/requests/failing", headers={"Idempotency-Key": KEY})
        assert client.post(f"{base}/key-prefixes").status_code == 201
        metrics = client.get(f"http://{context.failing.ready['operators']}/metrics").text
    found = failed.json()
    assert (failed.status_code, found["status"]) == (500, 500), failed.text
    assert found["type"] == "urn:fireflybridge:problem:internal", failed.text
    assert (found["ran"], found["request_ran"]) == ("may-have-run", "may-have-run"), failed.text
    assert 'fireflybridge_refusals_total{problem="internal"} 1.0' in metrics, metrics
    log = context.failing.read_stderr()
    assert '"event_id": 6001' in log, log
    assert KEY not in log, log


@given("a telemetry deployment of 2 daemons with IPv6 addresses")
def deploy_on_ipv6(context: Context) -> None:
    roles = ("callers", "operators", "peer")
    arguments = tuple(f"--{role}-address=[::1]:0" for role in roles)
    context.deployment = Deployment(context.processes, Plan(daemons=2, daemon_arguments=arguments))
    context.deployment.start()


@then("each of these telemetry daemons answers a job at the address that it reported")
def submit_on_ipv6(context: Context) -> None:
    for name, daemon in context.deployment.daemons.items():
        assert daemon.address.startswith("[::1]:"), daemon.ready
        assert context.deployment.submit(name, f"{KEY}-{name}", ["x"] * 2).status_code == 200


@given("a telemetry daemon, and a second one with the same name")
def start_daemons_with_same_name(context: Context) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=1))
    context.deployment.start()
    first = context.deployment.daemons["d1"]
    context.same_name_daemons = [first, context.deployment.start_daemon("d1")]


def read_ownership(context: Context) -> list[tuple[bool, set[str]]]:
    """Return for each running daemon with the name whether it is ready, and what it owns."""
    statuses = [
        send_control(daemon.ready["operators"], "GET", "/v1/status")
        for daemon in context.same_name_daemons
        if daemon.is_running()
    ]
    return [(status["ready"], set(status["pools"][0]["owned"])) for status in statuses]


@then("both log which setting is wrong, and only one of them owns the upstreams and is ready")
def check_one_owner(context: Context) -> None:
    for daemon in context.same_name_daemons:
        wait_until(lambda one=daemon: '"event_id": 3008' in one.read_stderr(), detail="event 3008")
    events = [
        json.loads(line)
        for daemon in context.same_name_daemons
        for line in daemon.read_stderr().splitlines()
        if '"event_id": 3008' in line
    ]
    assert {(event["setting"], event["value"]) for event in events} == {("--name", "d1")}, events
    everything = set(context.deployment.worker_addresses)
    wanted = [(False, set()), (True, everything)]
    wait_until(
        lambda: sorted(read_ownership(context)) == wanted, detail=f"one of the two has {wanted}"
    )
    # Guards against a daemon that takes over again while it still receives the other's heartbeats.
    before = count_heartbeats(context)
    wait_until(lambda: count_heartbeats(context) >= before + HEARTBEATS, detail="heartbeats")
    assert sorted(read_ownership(context)) == wanted, read_ownership(context)


def count_heartbeats(context: Context) -> float:
    """Return how many heartbeats the two daemons have received."""
    sample = 'fireflybridge_peer_messages_total{direction="in",kind="Heartbeat"} '
    texts = [
        httpx.get(f"http://{one.ready['operators']}/metrics", trust_env=False).text
        for one in context.same_name_daemons
    ]
    lines = [line for text in texts for line in text.splitlines() if line.startswith(sample)]
    return sum(float(line.removeprefix(sample)) for line in lines)


@when("the ready one is killed, the other owns the upstreams and is ready")
def kill_owner(context: Context) -> None:
    ownership = read_ownership(context)
    owner = context.same_name_daemons[[ready for ready, _ in ownership].index(True)]
    owner.kill()
    # A call to a daemon that is still exiting would fail.
    owner.wait_exit()
    everything = set(context.deployment.worker_addresses)
    wait_until(
        lambda: read_ownership(context) == [(True, everything)], detail="the other took over"
    )
