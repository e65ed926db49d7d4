"""Steps that run the examples of the pages and check their links."""

import argparse
import re
import shlex
from pathlib import Path

import httpx
from behave import given, then, when
from behave.runner import Context
from support.deployment import Deployment, Plan
from support.processes import wait_until

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
EXAMPLE = re.compile(r"```sh\n(curl .*)\n```\n```\n(\d{3}) (.*)\n```")
PAGE_ADDRESS = "127.0.0.1:8080"
MIN_EXAMPLES = 9


@given("a deployment for the examples of pages")
def start_deployment(context: Context) -> None:
    context.deployment = Deployment(context.processes, Plan(daemons=2, workers=1))
    context.deployment.start()


def run_curl(command: str, address: str) -> httpx.Response:
    """Send the request of a page's curl command to another address."""
    parser = argparse.ArgumentParser(exit_on_error=False)
    parser.add_argument("-X", default="", dest="method")
    parser.add_argument("-H", action="append", default=[], dest="headers")
    parser.add_argument("-d", default=None, dest="data")
    parser.add_argument("url")
    options = parser.parse_args(shlex.split(command)[1:])
    headers = dict(line.split(": ", 1) for line in options.headers)
    method = options.method or ("GET" if options.data is None else "POST")
    url = options.url.replace(PAGE_ADDRESS, address)
    assert address in url, f"{command} does not go to {PAGE_ADDRESS}"
    return httpx.request(
        method, url, headers=headers, content=options.data, trust_env=False, timeout=60.0
    )


@then("each example of the API page is answered as the page states")
def check_examples(context: Context) -> None:
    text = (DOCS / "reference" / "api.md").read_text()
    examples = EXAMPLE.findall(text)
    assert len(examples) == text.count("```sh") >= MIN_EXAMPLES, len(examples)
    for command, status, body in examples:
        response = run_curl(command, context.deployment.daemons["d1"].address)
        assert response.status_code == int(status), (command, response.text)
        pattern = ".*".join(map(re.escape, body.split("...")))
        assert re.fullmatch(pattern, response.text), (command, response.text)


@then("each link of a page points to an existing file")
def check_links(context: Context) -> None:
    pages = [*DOCS.rglob("*.md"), ROOT / "README.md", ROOT / "DEVELOPERS.md"]
    links = [
        (page, target)
        for page in pages
        for target in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text())
    ]
    assert links
    for page, target in links:
        assert (page.parent / target).exists(), f"{page}: {target}"
    linked_pages = {(page.parent / target).resolve() for page, target in links}
    for page in pages:
        if page.parent.name in ("topics", "how-to", "reference"):
            assert page.resolve() in linked_pages, f"no page links to {page}"


@when(
    "a job of {count:d} slow tasks that runs on the first daemon of the pages is cancelled at the second"
)
def cancel_at_second_daemon(context: Context, count: int) -> None:
    deployment = context.deployment
    job = {"route": "booking", "tasks": [{"body": "sleep=2000"}] * count, "deadline_ms": 100_000}
    response = deployment.call(
        "d1",
        "POST",
        "/v1/jobs",
        json=job,
        headers={"Idempotency-Key": f"{deployment.make_prefix('d1')}.x", "Prefer": "respond-async"},
    )
    assert response.status_code == 202, response.text
    context.location = response.headers["location"]
    wait_until(deployment.read_starts, detail="a start")
    cancelled = deployment.call("d2", "DELETE", context.location)
    assert cancelled.status_code == 202, cancelled.text


@then("the cancelled job of the pages ends with tasks that never started")
def check_cancelled(context: Context) -> None:
    response = context.deployment.call("d2", "GET", f"{context.location}?wait_ms=50000")
    assert response.status_code == 409, response.text
    assert response.json()["type"] == "urn:fireflybridge:problem:cancelled", response.text
    tasks = response.json()["tasks"]
    cancelled = [task for task in tasks if task.get("cause") == "cancelled"]
    assert cancelled, response.text
    assert len(context.deployment.read_starts()) == len(tasks) - len(cancelled), response.text
