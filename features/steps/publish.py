"""Steps for publishing: operators are command-line processes against the platform stand-in."""

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
    END_LIMIT_S,
    VERDICT_LIMIT_S,
    finish,
    publish,
    read_state,
    run_command,
    set_fault,
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
    "lost answers": {"mode": "lose_answers", "operations": ["append"]},
}


@dataclass(frozen=True, slots=True)
class Race:
    """Hold the operators who publish on one parent."""

    parent: str
    programs: tuple[Program, ...]


@given("a publish platform")
def start_platform(context: Context) -> None:
    context.platform = context.processes.start("fireflybridge_standins.platform").address
    context.races = []
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


@when('a publish with "{sound}" changed to "{changed}" and no parent exits {code:d}')
def publish_orphan(context: Context, sound: str, changed: str, code: int) -> None:
    publish(context, write_tables(context, "changed", sound, changed), code)


@when('a publish with "{sound}" changed to "{changed}" and the parent in force exits {code:d}')
def publish_child(context: Context, sound: str, changed: str, code: int) -> None:
    directory = write_tables(context, "changed", sound, changed)
    publish(context, directory, code, "--parent", read_state(context).revision_id)


@when('a publish with "{sound}" changed to "{changed}" and the first parent exits {code:d}')
def publish_stale(context: Context, sound: str, changed: str, code: int) -> None:
    first = read_state(context).history[0].head.id
    directory = write_tables(context, "changed", sound, changed)
    publish(context, directory, code, "--parent", first)


@when("a restarting publish exits {code:d}")
def publish_restart(context: Context, code: int) -> None:
    publish(context, write_tables(context, "example"), code, "--restart")


def start_race(context: Context, count: int) -> None:
    """Start operators who each change the tables in their own way on one parent."""
    parent = read_state(context).revision_id
    arguments = ("--parent", parent, "--json")
    started = len(context.races)
    programs = tuple(
        run_command(
            context,
            "publish",
            str(
                write_tables(context, f"{started}-{n}", "weight = 2.0", f"weight = {started}.{n}1")
            ),
            *arguments,
            timeout_s="1" if count == 1 else VERDICT_LIMIT_S,
        )
        for n in range(count)
    )
    context.races.append(Race(parent, programs))


@when("{count:d} racing publishes on the parent in force all end")
def race_to_end(context: Context, count: int) -> None:
    start_race(context, count)
    end_race(context)


@when("{count:d} racing publishes on the parent in force have sent their appends")
def race_to_appends(context: Context, count: int) -> None:
    start_race(context, count)

    def all_sent() -> bool:
        counters = send_control(context.platform, "GET", "/control/counters")
        return counters["faults"].get("Hang", 0) == count

    wait_until(all_sent, END_LIMIT_S, f"{count} appends held back")


@when("the racing publishes end")
def end_race(context: Context) -> None:
    for program in context.races[-1].programs:
        program.wait_exit(END_LIMIT_S)


@then("each publish parent has exactly one accepted child")
def check_children(context: Context) -> None:
    history = read_state(context).history
    children = Counter(entry.head.parent for entry in history if entry.verdict == "accepted")
    assert set(children.values()) == {1}, children
    for race in context.races:
        assert children[race.parent] == 1, children


@then("of each {count:d} racing publishes {first:d} exited {code:d} and {rest:d} exited 3")
def check_exit_codes(context: Context, count: int, first: int, code: int, rest: int) -> None:
    accepted = {e.head.id for e in read_state(context).history if e.verdict == "accepted"}
    for race in context.races:
        codes = Counter(program.wait_exit(END_LIMIT_S) for program in race.programs)
        assert codes == Counter({code: first, 3: rest}), codes
        for program in race.programs:
            report = json.loads(program.read_stdout())
            if program.wait_exit() == 0:
                assert report["revision"] in accepted, report


@then('the publish output says "{text}"')
def check_output(context: Context, text: str) -> None:
    assert text in context.output, context.output


@then('the racing publish output says "{text}"')
def check_race_output(context: Context, text: str) -> None:
    output = context.races[-1].programs[0].read_stdout()
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


@when("a daemon keeps the published revision")
def keep_revision(context: Context) -> None:
    keep = make_keep(context.state)
    assert keep is not None, context.state

    async def append(log: HttpLog) -> Result[int, Any]:
        return await log.append(TABLES_STREAM, encode_record(keep))

    assert run_log(context.platform, append).unwrap() == keep.as_of


@then('a publish preview with "{sound}" changed to "{changed}" shows one change')
def check_preview(context: Context, sound: str, changed: str) -> None:
    directory = write_tables(context, "changed", sound, changed)
    report = json.loads(finish(run_command(context, "diff", str(directory), "--json"), 0))
    (row,) = report["rows"]
    assert row["change"] == "change", row
    assert row["detail"] == f"{sound} -> {changed}".replace(" = ", " ").replace(
        "-> window_ms", "->"
    )


@then("the publish history shows the revision in force")
def check_history(context: Context) -> None:
    report = json.loads(finish(run_command(context, "history", "--json"), 0))
    (row,) = report["rows"]
    assert row["revision"] == report["revision"] == read_state(context).revision_id
    assert (row["verdict"], row["author"], row["offset"]) == ("in force", "an.operator", 0)
