"""Steps that publish tables and wait until they are in force on the daemons."""

import json
import tempfile
from pathlib import Path

from behave import then, when
from behave.runner import Context
from support.deployment import ROUTES, Deployment


@when("the tables are published with --wait for every daemon")
def publish_and_wait(context: Context) -> None:
    deployment: Deployment = context.deployment
    routes = ROUTES.replace("window_ms = 10000", f"window_ms = {30_000 + len(context.revisions)}")
    with tempfile.TemporaryDirectory() as directory:
        Path(directory, "routes.toml").write_text(routes)
        Path(directory, "pools.toml").write_text(deployment.make_pools())
        program = context.processes.spawn(
            "fireflybridge_cli",
            "publish",
            directory,
            f"--platform-url=http://{deployment.platform.address}",
            "--author=features",
            f"--parent={deployment.revision}",
            "--json",
            "--timeout=10",
            "--wait",
            "--operators",
            *(daemon.ready["operators"] for daemon in deployment.daemons.values()),
        )
        context.exit_code = program.wait_exit()
    context.report = json.loads(program.read_stdout())
    deployment.revision = context.report["revision"]
    context.revisions.append(deployment.revision)


@then("the waiting publish exits 0 and every daemon has the tables")
def check_waited(context: Context) -> None:
    assert context.exit_code == 0, context.report
    assert context.report["missing"] == {}, context.report
    deployment: Deployment = context.deployment
    found = {deployment.read_status(name)["tables_revision"] for name in deployment.daemons}
    assert found == {context.revisions[-1]}, found


@when("{name} is isolated and the tables are published with --wait for every daemon")
def publish_while_isolated(context: Context, name: str) -> None:
    context.deployment.proxy.set_faults(*list_links(context, name), faults=[{"kind": "drop"}])
    publish_and_wait(context)


def list_links(context: Context, name: str) -> list[str]:
    others = [other for other in context.deployment.daemons if other != name]
    links = [link for other in others for link in (f"{name}-{other}", f"{other}-{name}")]
    return [*links, f"{name}-platform"]


@then("the waiting publish exits 6 and reports only {name} as missing")
def check_missing(context: Context, name: str) -> None:
    operators = context.deployment.daemons[name].ready["operators"]
    assert context.exit_code == 6, context.report
    assert context.report["code"] == "not-in-force", context.report
    assert context.report["missing"] == {operators: f"it has revision {context.revisions[-2]}"}


@when("the links of {name} heal")
def heal_links(context: Context, name: str) -> None:
    context.deployment.proxy.clear_faults(*list_links(context, name))
