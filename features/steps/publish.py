"""Steps for publishing with command-line processes against the platform stand-in."""

import json
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from result import Result
from support.control import send_control
from support.platform import run_log
from support.processes import Program, wait_until
from support.publish import (
    COMMAND_TIMEOUT_S,
    EXIT_TIMEOUT_S,
    publish,
    read_state,
    run_command,
    set_fault,
    wait_for_output,
    write_tables,
)

from fireflybridge_platform import HttpLog
from fireflybridge_tables import (
    TABLES_STREAM,
    TablesState,
    encode_record,
    make_keep,
)

FAULTS = {
    "a delay": {"mode": "slow", "latency_ms": 300, "operations": ["append"]},
    "lost responses": {"mode": "lose_answers", "operations": ["append"]},
}


@dataclass(frozen=True, slots=True)
class ConcurrentPublishes:
    """The commands of operators who publish on one parent at the same time."""

    parent: str
    programs: tuple[Program, ...]


@given("a publish platform")
def start_platform(context: Context) -> None:
    context.platform = context.processes.start("fireflybridge_standins.platform").address
    context.groups = []
    context.state = TablesState()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)


@given("the publish platform answers appends with {fault}")
def set_append_fault(context: Context, fault: str) -> None:
    set_fault(context, **FAULTS[fault])


@given("the publish platform holds back appends")
def hold_appends(context: Context) -> None:
    set_fault(context, mode="hang", operations=["append"])


@given("the publish platform refuses everything")
def refuse_everything(context: Context) -> None:
    set_fault(context, mode="refuse")


@given("the publish platform refuses appends")
def refuse_appends(context: Context) -> None:
    set_fault(context, mode="refuse", operations=["append"])


@when("the publish platform takes the appends and refuses reads")
def refuse_reads(context: Context) -> None:
    set_fault(context, mode="refuse", operations=["read"])


@given("the publish platform works again")
@when("the publish platform lets 10 appends pass")
def clear_fault(context: Context) -> None:
    set_fault(context, mode="none")


@when("a publish of the example tables without a parent exits {code:d}")
def publish_example(context: Context, code: int) -> None:
    publish(context, write_tables(context, "example"), code)


@when("a publish of the example tables with the parent in force exits {code:d}")
def publish_example_again(context: Context, code: int) -> None:
    parent = read_state(context).revision_id
    publish(context, write_tables(context, "example"), code, "--parent", parent)


@when('a publish with "{original}" changed to "{changed}" and no parent exits {code:d}')
def publish_without_parent(context: Context, original: str, changed: str, code: int) -> None:
    publish(context, write_tables(context, "changed", original, changed), code)


@when('a publish with "{original}" changed to "{changed}" and the parent in force exits {code:d}')
def publish_on_parent_in_force(context: Context, original: str, changed: str, code: int) -> None:
    directory = write_tables(context, "changed", original, changed)
    publish(context, directory, code, "--parent", read_state(context).revision_id)


@when('a publish with "{original}" changed to "{changed}" and the first parent exits {code:d}')
def publish_on_first_parent(context: Context, original: str, changed: str, code: int) -> None:
    first = read_state(context).history[0].head.id
    directory = write_tables(context, "changed", original, changed)
    publish(context, directory, code, "--parent", first)


@when("a publish with restart exits {code:d}")
def publish_restart(context: Context, code: int) -> None:
    publish(context, write_tables(context, "example"), code, "--restart")


def start_publishes(context: Context, count: int) -> None:
    """Start publish commands on the same parent, each with a different change."""
    parent = read_state(context).revision_id
    arguments = ("--parent", parent, "--json")
    group = len(context.groups)
    programs = tuple(
        run_command(
            context,
            "publish",
            str(write_tables(context, f"{group}-{n}", "weight = 2.0", f"weight = {group}.{n}1")),
            *arguments,
            timeout_s="1" if count == 1 else COMMAND_TIMEOUT_S,
        )
        for n in range(count)
    )
    context.groups.append(ConcurrentPublishes(parent, programs))


@when("{count:d} concurrent publishes on the parent in force all end")
def publish_concurrently(context: Context, count: int) -> None:
    start_publishes(context, count)
    wait_for_publishes(context)


@when("{count:d} concurrent publishes on the parent in force have sent their appends")
def wait_for_appends(context: Context, count: int) -> None:
    start_publishes(context, count)

    def have_all_arrived() -> bool:
        counters = send_control(context.platform, "GET", "/control/counters")
        return counters["faults"].get("Hang", 0) == count

    wait_until(have_all_arrived, EXIT_TIMEOUT_S, f"{count} appends held back")


@when("the concurrent publishes end")
def wait_for_publishes(context: Context) -> None:
    for program in context.groups[-1].programs:
        program.wait_exit(EXIT_TIMEOUT_S)


@then("each publish parent has exactly one accepted child")
def check_children(context: Context) -> None:
    history = read_state(context).history
    children = Counter(entry.head.parent for entry in history if entry.verdict == "accepted")
    assert set(children.values()) == {1}, children
    for group in context.groups:
        assert children[group.parent] == 1, children


@then("of each {count:d} concurrent publishes {first:d} exited {code:d} and {rest:d} exited 3")
def check_exit_codes(context: Context, count: int, first: int, code: int, rest: int) -> None:
    accepted = {e.head.id for e in read_state(context).history if e.verdict == "accepted"}
    for group in context.groups:
        codes = Counter(program.wait_exit(EXIT_TIMEOUT_S) for program in group.programs)
        assert codes == Counter({code: first, 3: rest}), codes
        for program in group.programs:
            report = json.loads(program.read_stdout())
            if program.wait_exit() == 0:
                assert report["revision"] in accepted, report


@then('the publish output says "{text}"')
def check_output(context: Context, text: str) -> None:
    assert text in context.output, context.output


@then('the concurrent publish output says "{text}"')
def check_concurrent_output(context: Context, text: str) -> None:
    output = context.groups[-1].programs[0].read_stdout()
    assert text in output, output


@then("the publish log holds {records:d} records and {accepted:d} accepted revisions")
def check_log(context: Context, records: int, accepted: int) -> None:
    state = read_state(context)
    found = [entry for entry in state.history if entry.verdict == "accepted"]
    assert (state.offset, len(found)) == (records, accepted), state.history


@when("the publish log loses every record")
def lose_records(context: Context) -> None:
    end = read_state(context).offset
    path = f"/control/streams/{TABLES_STREAM}/truncate"
    send_control(context.platform, "POST", path, {"first_offset": end})


@when("a daemon appends a Keep record of the published revision")
def append_keep(context: Context) -> None:
    keep = make_keep(context.state)
    assert keep is not None, context.state

    async def append(log: HttpLog) -> Result[int, Any]:
        return await log.append(TABLES_STREAM, encode_record(keep))

    assert run_log(context.platform, append).unwrap() == keep.as_of


@then('a publish preview with "{original}" changed to "{changed}" shows one change')
def check_preview(context: Context, original: str, changed: str) -> None:
    directory = write_tables(context, "changed", original, changed)
    report = json.loads(wait_for_output(run_command(context, "diff", str(directory), "--json"), 0))
    (row,) = report["rows"]
    assert row["change"] == "change", row
    assert row["detail"] == f"{original} -> {changed}".replace(" = ", " ").replace(
        "-> window_ms", "->"
    )


@then("the publish history shows the revision in force")
def check_history(context: Context) -> None:
    report = json.loads(wait_for_output(run_command(context, "history", "--json"), 0))
    (row,) = report["rows"]
    assert row["revision"] == report["revision"] == read_state(context).revision_id
    assert (row["verdict"], row["author"], row["offset"]) == ("in force", "an.operator", 0)
