"""Steps for the revisions of the tables: changes, records and the folded state."""

import zlib
from dataclasses import dataclass, replace

import hypothesis.strategies as st
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_of
from support.tables import POOLS, ROUTES, run_property, tables_strategy

from fireflybridge_tables import (
    Change,
    DropPool,
    Keep,
    PutRoute,
    PutUpstream,
    Restart,
    Revision,
    RevisionHead,
    Tables,
    TablesState,
    UnreadablePayload,
    Upstream,
    adopt_keep,
    apply_changes,
    compute_changes,
    decode_record,
    encode_record,
    fold_record,
    make_keep,
    parse_tables,
    skip_gap,
)


@then("tables changes between {count:d} random pairs of tables turn the older into the newer one")
def check_changes(context: Context, count: int) -> None:
    @run_property(count)
    @property_of(tables_strategy(), tables_strategy())
    def apply_to_old(old: Tables, new: Tables) -> None:
        changes = compute_changes(old, new)
        assert apply_changes(old, changes) == new
        assert bool(changes) == (old != new)

    apply_to_old()


@then("tables records of {count:d} random revisions are the same after encoding and decoding")
def check_encoding(context: Context, count: int) -> None:
    @run_property(count)
    @property_of(tables_strategy(), tables_strategy(), st.text())
    def encode_and_decode(old: Tables, new: Tables, author: str) -> None:
        head = RevisionHead("id", "parent", author, "now")
        revision = Revision(head, compute_changes(old, new))
        for record in (revision, Keep(head, new, 7), Restart(head, new, 7)):
            assert decode_record(encode_record(record)) == record

    encode_and_decode()


@dataclass(frozen=True, slots=True)
class Action:
    """What a writer appends; it has not read the last ``lag`` records of the stream."""

    kind: str
    lag: int
    tables: Tables


def actions_strategy() -> st.SearchStrategy[list[Action]]:
    kinds = st.sampled_from(
        ["publish", "publish", "publish", "keep", "repeat", "damage", "restart"]
    )
    return st.lists(st.builds(Action, kinds, st.integers(0, 2), tables_strategy()), max_size=14)


def write_stream(actions: list[Action]) -> tuple[list[bytes], list[TablesState]]:
    """Return the payloads that concurrent writers append, and the state before and after each."""
    payloads: list[bytes] = []
    states = [TablesState()]
    for number, action in enumerate(actions):
        payloads.append(write_record(number, action, payloads, states))
        offset = len(payloads) - 1
        states.append(fold_record(states[-1], offset, decode_record(payloads[-1])))
    return payloads, states


def write_record(
    number: int, action: Action, payloads: list[bytes], states: list[TablesState]
) -> bytes:
    seen = states[max(0, len(states) - 1 - action.lag)]
    head = RevisionHead(f"revision-{number}", seen.revision_id, "author", "now")
    keep = make_keep(seen)
    match action.kind:
        case "keep" if keep is not None:
            return encode_record(keep)
        case "repeat" if payloads:
            return payloads[-1 - min(action.lag, len(payloads) - 1)]
        case "damage":
            return b"FT\x02 from a newer version"
        case "restart":
            return encode_record(Restart(head, action.tables, seen.offset))
        case _:
            return encode_record(Revision(head, compute_changes(seen.tables, action.tables)))


@then("in {count:d} random tables streams readers with random chunks and repeated reads agree")
def check_chunking(context: Context, count: int) -> None:
    @run_property(count)
    @property_of(actions_strategy(), st.lists(st.tuples(st.integers(1, 5), st.integers(0, 3))))
    def agree(actions: list[Action], chunks: list[tuple[int, int]]) -> None:
        payloads, states = write_stream(actions)
        state = TablesState()
        for size, overlap in [*chunks, (len(payloads), 0)]:
            start = max(0, state.offset - overlap)
            for offset in range(start, min(start + size, len(payloads))):
                state = fold_record(state, offset, decode_record(payloads[offset]))
            assert state == states[state.offset]
        for offset in range(state.offset, len(payloads)):
            state = fold_record(state, offset, decode_record(payloads[offset]))
        assert state == states[-1]
        for number, payload in enumerate(payloads):
            if payload in payloads[:number] and not isinstance(
                decode_record(payload), UnreadablePayload
            ):
                before, after = states[number], states[number + 1]
                assert replace(after, offset=before.offset) == before, "a repeat had an effect"
        accepted = [entry.head for entry in state.history if entry.verdict == "accepted"]
        assert len({head.id for head in accepted}) == len(accepted)

    agree()


@then("in {count:d} random truncated tables streams late readers agree from a Keep record on")
def check_late_readers(context: Context, count: int) -> None:
    recovered: list[bool] = []

    @run_property(count)
    @property_of(actions_strategy(), st.integers(1, 6), st.integers(0, 6))
    def agree(actions: list[Action], first: int, read: int) -> None:
        payloads, states = write_stream(actions)
        read, first = min(read, len(payloads)), min(first, len(payloads))
        late = skip_gap(states[min(read, first)], first)
        for offset in range(late.offset, len(payloads)):
            late = fold_record(late, offset, decode_record(payloads[offset]))
            expected = states[offset + 1] if late.revision_known else states[min(read, first)]
            assert (late.revision, late.tables) == (expected.revision, expected.tables)
            keep = make_keep(states[offset + 1])
            if keep is not None:
                adopted = adopt_keep(TablesState(revision_known=False), keep)
                assert (adopted.revision, adopted.offset) == (keep.head, keep.as_of)
                latest = states[-1]
                assert not latest.revision_known or adopt_keep(latest, keep) == latest
        recovered.append(late.revision_known and first > read)

    agree()
    assert sum(recovered) > count // 20, "too few readers recovered from a Keep record"


@given("a tables stream with one revision in force")
def fold_first_revision(context: Context) -> None:
    tables = parse_tables({"routes.toml": ROUTES, "pools.toml": POOLS}).unwrap()
    revision = Revision(RevisionHead("first", "", "a", "now"), compute_changes(Tables(), tables))
    context.payload = encode_record(revision)
    context.state = fold_record(TablesState(), 0, decode_record(context.payload))
    assert context.state.revision_id == "first"


@when("a tables record with {defect} is folded")
def fold_defect(context: Context, defect: str) -> None:
    payload: bytes = context.payload
    state: TablesState = context.state
    without_slots = Upstream("c", "10.0.0.3:1", 0, 64, "east")
    without_pool = replace(state.tables.routes["check"], pool="quick")
    body = zlib.compress(bytes(9 * 1024 * 1024))
    payloads = {
        "a newer version": payload[:2] + b"\x02" + payload[3:],
        "a flipped byte": payload[:-1] + bytes([payload[-1] ^ 1]),
        "a cut-off end": payload[: len(payload) // 2],
        "an oversized body": b"FT\x01" + zlib.crc32(body).to_bytes(4) + body,
        "an unknown pool": encode_second_revision(PutRoute(without_pool)),
        "zero slots": encode_second_revision(PutUpstream("fast", without_slots)),
        "a removed pool": encode_second_revision(DropPool("fast")),
        "a conflicting Keep": encode_record(
            Keep(RevisionHead("other", "", "a", "now"), state.tables, state.offset)
        ),
    }
    context.folded = fold_record(state, state.offset, decode_record(payloads[defect]))


def encode_second_revision(change: Change) -> bytes:
    return encode_record(Revision(RevisionHead("second", "first", "a", "now"), (change,)))


@then("the tables in force stay and the last tables fault is {kind}")
def check_state_unchanged(context: Context, kind: str) -> None:
    folded: TablesState = context.folded
    assert (folded.revision, folded.tables) == (context.state.revision, context.state.tables)
    assert folded.offset == context.state.offset + 1
    assert type(folded.last_fault).__name__ == kind, folded.last_fault


@then("{count:d} tables revisions a day of one upstream each stay below {limit:d} bytes a second")
def check_revision_bandwidth(context: Context, count: int, limit: int) -> None:
    tables = parse_tables(context.texts).unwrap()
    pool = tables.pools["p"]
    changed = replace(pool, upstreams=(replace(pool.upstreams[0], slots=4), *pool.upstreams[1:]))
    changes = compute_changes(tables, replace(tables, pools={"p": changed}))
    head = RevisionHead(
        "0123456789abcdef", "fedcba9876543210", "a.operator", "2026-12-04T08:00:00Z"
    )
    size = len(encode_record(Revision(head, changes)))
    assert size * count / 86_400 < limit, f"{size} bytes"


@then("a tables Keep record stays below {limit:d} KB")
def check_keep_size(context: Context, limit: int) -> None:
    tables = parse_tables(context.texts).unwrap()
    head = RevisionHead(
        "0123456789abcdef", "fedcba9876543210", "a.operator", "2026-12-04T08:00:00Z"
    )
    size = len(encode_record(Keep(head, tables, 1)))
    assert size < limit * 1024, f"{size} bytes"
