"""Steps for the encoding of messages between daemons."""

import dataclasses
import types
from enum import Enum
from typing import Any, get_args, get_origin, get_type_hints

from behave import then
from behave.runner import Context
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Err, Ok

from fireflybridge_core import Payload, Submission, Task, TaskId
from fireflybridge_peers import (
    Assign,
    Batch,
    Fetch,
    Heartbeat,
    Message,
    accept_task,
    assign_task,
    decode_batch,
    encode_batch,
    encode_message,
)
from fireflybridge_peers._codec import Hello
from fireflybridge_peers._sessions import Sessions

PRIMITIVES: dict[Any, st.SearchStrategy[Any]] = {
    int: st.integers(0, 2**63 - 1),
    float: st.floats(allow_nan=False, allow_infinity=False),
    str: st.text(max_size=20),
    bytes: st.binary(max_size=20),
    bool: st.booleans(),
    types.NoneType: st.none(),
}


def make_strategy(kind: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the type of a message or of one of its fields."""
    if kind in PRIMITIVES:
        return PRIMITIVES[kind]
    if get_origin(kind) is tuple:
        return st.lists(make_strategy(get_args(kind)[0]), max_size=3).map(tuple)
    if get_origin(kind) is types.UnionType:
        return st.one_of(*map(make_strategy, get_args(kind)))
    if issubclass(kind, Enum):
        return st.sampled_from(kind)
    assert dataclasses.is_dataclass(kind), kind
    hints = get_type_hints(kind)
    return st.builds(kind, **{name: make_strategy(hint) for name, hint in hints.items()})


def set_sender(message: Message) -> Message:
    """Set the sender, which the decoder takes from the session."""
    if isinstance(message, Heartbeat):
        return dataclasses.replace(message, name="p", incarnation="1")
    return message


MESSAGES = make_strategy(Message).map(set_sender)
BATCHES = st.lists(MESSAGES, max_size=4).map(tuple)


def encode(messages: tuple[Message, ...], age_s: float = 0.0) -> bytes:
    return encode_batch(7, None, tuple((age_s, encode_message(message)) for message in messages))


@then("{count:d} random peer batches decode to what was encoded")
def check_round_trip(context: Context, count: int) -> None:
    @seed(1)
    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @given(BATCHES)
    def check(messages: tuple[Message, ...]) -> None:
        assert decode_batch(encode(messages), "p", "1") == Ok(Batch(7, None, messages))

    check()


@then("{count:d} damaged peer batches decode to a batch or an error that names the peer")
def check_damaged(context: Context, count: int) -> None:
    seen = {Ok: 0, Err: 0}

    @seed(2)
    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @given(BATCHES, st.data())
    def check(messages: tuple[Message, ...], data: st.DataObject) -> None:
        body = encode(messages)
        start = data.draw(st.integers(0, len(body) - 1))
        end = data.draw(st.integers(start, len(body)))
        result = decode_batch(
            body[:start] + data.draw(st.binary(max_size=4)) + body[end:], "p", "1"
        )
        seen[type(result)] += 1
        if isinstance(result, Err):
            error = result.err_value
            assert (error.step, error.peer) == ("peers.decode-batch", "p"), error

    check()
    assert seen[Err] > count // 2, seen


@then("a peer message that waited {age_s:g} s has {less_s:g} s less remaining time")
def check_age(context: Context, age_s: float, less_s: float) -> None:
    task = Task(
        TaskId("k", 0), "r", "p", "/", "text/plain", b"", "t", True, 0.1, 1.0, deadline=110.0
    )
    submission = Submission("k", "r", "t", (Payload("text/plain", b""),), deadline_s=10.0)
    sent = (Assign(1, "p", (assign_task(task, now=100.0),)), Fetch(1, b"", submission))
    assign, fetch = decode_batch(encode(sent, age_s), "p", "1").unwrap().messages
    assert isinstance(assign, Assign)
    assert isinstance(fetch, Fetch)
    assert accept_task(assign.tasks[0], now=5.0).deadline == 5.0 + 10.0 - less_s
    assert fetch.submission.deadline_s == 10.0 - less_s


@then("{count:d} peer sessions keep at most {limit:d}, and one that is in use stays")
def check_sessions(context: Context, count: int, limit: int) -> None:
    sessions = Sessions(limit)
    used = sessions.open(Hello("p", "1", 0))
    sessions.advance(used, 1)
    for link in range(1, count):
        session = sessions.open(Hello("p", "1", link))
        assert sessions.open(Hello("p", "1", link)) == session, "a second session for one hello"
        assert sessions.find(session.id) == session
        assert len(sessions) <= limit
    assert sessions.find(used.id) is not None
