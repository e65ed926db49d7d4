"""Steps for the job commands of the command line, against a daemon behind the proxy."""

import json

import httpx
from behave import given, then, when
from behave.runner import Context
from support.control import send_control
from support.processes import wait_until
from support.proxy import start_proxy
from support.publish import publish, read_state, wait_for_output

ROUTE = """[[routes]]
name = "check"
pool = "desk"
idempotent = false
window_ms = 60000
timeout_ms = 30000
expected_ms = 5
"""
UPSTREAM = """[[pools.upstreams]]
name = "{}"
address = "{}"
slots = 4
connections = 8
failure_domain = "east"
"""


@given("a publish daemon with {count:d} workers behind a proxy")
def start_daemon(context: Context, count: int) -> None:
    start = context.processes.start
    context.workers = start("fireflybridge_standins.worker", "--count", str(count), "--slots", "4")
    directory = context.folder / "daemon"
    directory.mkdir()
    upstreams = (UPSTREAM.format(*item) for item in context.workers.ready["workers"].items())
    (directory / "routes.toml").write_text(ROUTE)
    (directory / "pools.toml").write_text('[[pools]]\nname = "desk"\n' + "".join(upstreams))
    publish(context, directory, 0)
    ports = [f"--{port}-address=127.0.0.1:0" for port in ("callers", "operators", "peer")]
    url = f"--platform-url=http://{context.platform}"
    arguments = ("--name=one", "--failure-domain=east", "--insecure-peers", url, *ports)
    context.daemon = start("fireflybridge_daemon", *arguments)
    context.proxy = start_proxy(context.processes, daemon=context.daemon.address)
    health = f"http://{context.daemon.ready['operators']}/health/ready"
    wait_until(lambda: httpx.get(health, trust_env=False).status_code == 200, detail="readiness")


@when("the publish proxy loses one response")
def lose_one_response(context: Context) -> None:
    context.proxy.set_faults("daemon", faults=[{"kind": "lose_answer", "count": 1}])


@when("the publish proxy loses every response")
def lose_responses(context: Context) -> None:
    context.proxy.set_faults("daemon", faults=[{"kind": "lose_answer"}])


@then("the publish proxy has lost {count:d} response")
def check_lost_responses(context: Context, count: int) -> None:
    assert context.proxy.get_count("daemon", "lose_answer") == count


def run_job_command(context: Context, code: int, *arguments: str) -> str:
    environment = {"FIREFLYBRIDGE_DAEMON_URL": f"http://{context.proxy.get_address('daemon')}"}
    program = context.processes.spawn("fireflybridge_cli", *arguments, environment=environment)
    return wait_for_output(program, code)


@when('the job command "{line}" exits {code:d}')
def check_job_command(context: Context, line: str, code: int) -> None:
    context.output = run_job_command(context, code, *line.split())


@when('{count:d} slow tasks are submitted and cancelled by job commands under the key "{key}"')
def submit_and_cancel(context: Context, count: int, key: str) -> None:
    bodies = ["sleep=1000"] * count
    run_job_command(context, 0, "submit", "check", *bodies, "--async", "--key", key)
    run_job_command(context, 0, "cancel", key)


@then("the publish workers started {count:d} tasks, each once")
def check_starts(context: Context, count: int) -> None:
    starts = send_control(context.workers.ready["control"], "GET", "/control/starts")
    keys = [start["key"] for start in starts]
    assert len(keys) == len(set(keys)) == count, keys


@then("the job command status shows the revision in force")
def check_status(context: Context) -> None:
    operators = context.daemon.ready["operators"]
    report = json.loads(run_job_command(context, 0, "status", "--operators", operators, "--json"))
    (row,) = report["rows"]
    assert row["tables_revision"] == read_state(context).revision_id, row


@then("the job command status with an address where nothing listens exits 4")
def check_status_unreachable(context: Context) -> None:
    operators = ("--operators", context.daemon.ready["operators"], "--operators", "127.0.0.1:1")
    output = run_job_command(context, 4, "status", *operators)
    assert "1 of 2 daemons answered" in output, output


@when("a publish trace of {count:d} jobs is replayed with concurrency {concurrency:d}")
def replay_trace(context: Context, count: int, concurrency: int) -> None:
    jobs = (
        {
            "at_ms": number,
            "route": "check" if number % 10 else "gone",
            "team": f"team-{number % 3}",
            "tasks": ["sleep=1"] * 3,
        }
        for number in range(count)
    )
    path = context.folder / "trace.jsonl"
    path.write_text("\n".join(map(json.dumps, jobs)))
    arguments = ("replay", str(path), "--concurrency", str(concurrency), "--json")
    context.report = json.loads(run_job_command(context, 1, *arguments))


@then('the replayed publish trace has {complete:d} complete and {refused:d} "{kind}" jobs')
def check_replay(context: Context, complete: int, refused: int, kind: str) -> None:
    assert context.report["jobs"] == {"complete": complete, kind: refused}, context.report
    assert context.report["tasks"] == {"done": 3 * complete, "not-run": 3 * refused}


@when("a malformed publish trace is replayed, the command exits {code:d}")
def replay_malformed_trace(context: Context, code: int) -> None:
    path = context.folder / "trace.jsonl"
    valid = {"at_ms": 0, "route": "check", "team": "", "tasks": ["a"]}
    path.write_text("\n".join([json.dumps(valid), "no job", json.dumps({**valid, "tasks": []})]))
    context.output = run_job_command(context, code, "replay", str(path))
