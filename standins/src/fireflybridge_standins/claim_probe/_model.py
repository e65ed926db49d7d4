"""Model of two hosts that claim one key, for an exhaustive search of its states.

Each step of a host, a registrar, the log or the client is one transition, so any other step can
happen between two of them. The transitions call the decision functions of the claims library. The
state consists of named tuples instead of data classes, because the search hashes hundreds of
thousands of them.
"""

from collections.abc import Iterator
from enum import StrEnum
from functools import cache
from typing import NamedTuple

from fireflybridge_claims import (
    Abandoned,
    AskExecutor,
    Attempt,
    Batch,
    Claim,
    Decision,
    Forwarded,
    HeldBy,
    Join,
    Pending,
    RefuseMayHaveRun,
    ShardView,
    Start,
    Started,
    Undecided,
    apply_batch,
    decide,
    decide_start,
)

HOSTS = 2
RETENTION_S = 600.0
KEY_HASH = bytes(16)
DIGEST = bytes(16)

ClaimId = tuple[int, int]  # incarnation and attempt
ClaimIds = tuple[ClaimId, ...]
Stream = tuple[ClaimIds, ...]


class Rule(StrEnum):
    """Variant of the rules; every one but ``DESIGN`` is wrong, which the search must find."""

    DESIGN = "design"
    IGNORE_CONTIGUITY = "ignore-contiguity"
    LAST_RECORD_WINS = "last-record-wins"
    RETRY_WITHOUT_READING = "retry-without-reading"
    START_ON_LATE_GRANT = "start-on-late-grant"


class Phase(StrEnum):
    """Phase of a registrar's append."""

    IDLE = "idle"
    SENT = "sent"
    ANSWERED = "answered"
    READ = "read"  # has to read the stream before it appends again


class Registrar(NamedTuple):
    """State of a registrar: the batches that it has applied and its append in progress."""

    applied: Stream = ()
    next_offset: int = 0
    queue: ClaimIds = ()
    phase: Phase = Phase.READ
    batch: ClaimIds = ()
    offset: int = 0
    retries: int = 0


class Host(NamedTuple):
    """State of an executor for the key; ``waiting`` lists the submissions of its callers."""

    incarnation: int
    registrar: int = 0
    next_attempt: int = 1
    pending: int = 0
    abandoned: tuple[int, ...] = ()
    started: int = 0
    waiting: tuple[int, ...] = ()


class Reply(NamedTuple):
    """Message with a registrar's decision to an executor."""

    claim_id: ClaimId
    decision: Decision


class Forward(NamedTuple):
    """Message with submissions to the executor that holds the key."""

    incarnation: int
    decision: HeldBy
    submissions: tuple[int, ...]


class State(NamedTuple):
    """State of the whole model.

    ``delayed`` holds batches that may still be appended. ``started_for`` is the earliest submission
    that was waiting at the last start, and ``not_run`` is 1 once the caller of submission 1 was
    told "not run"; violations are detected by comparing starts with them.
    """

    stream: Stream
    delayed: tuple[ClaimIds, ...]
    registrars: tuple[Registrar, ...]
    hosts: tuple[Host, ...]
    messages: tuple[Reply | Forward, ...]
    faults_left: int
    submissions: int
    starts: int
    started_for: int
    not_run: int
    violation: str


def make_initial_state(faults: int) -> State:
    """Return the state before the first submission."""
    hosts = tuple(Host(incarnation) for incarnation in range(HOSTS))
    registrars = (Registrar(phase=Phase.IDLE),) * HOSTS
    return State((), (), registrars, hosts, (), faults, 0, 0, 0, 0, "")


def list_successors(state: State, rule: Rule, max_submissions: int) -> Iterator[State]:
    """Yield every state that is reached by one step.

    A reply without effect never has one later, because attempts and incarnations do not return.
    Its delivery commutes with every other step, so it is the only step to explore from a state.
    """
    deliveries = []
    for position, message in enumerate(state.messages):
        others = state.messages[:position] + state.messages[position + 1 :]
        received = state._replace(messages=others)
        delivered = _deliver(received, message, rule)
        if delivered == received and isinstance(message, Reply):
            yield delivered
            return
        deliveries.append(delivered)
    yield from deliveries
    for index, host in enumerate(state.hosts):
        if state.submissions < max_submissions:
            yield _submit(state, index, host, rule)
        if host.waiting:
            yield _time_out_claim(state, index, host)
        if state.faults_left:
            yield _replace_host(state, index, host)
            if state.submissions < max_submissions:
                moved = host._replace(registrar=1 - host.registrar)
                yield _set_host(_use_fault(state), index, moved)
    for index, registrar in enumerate(state.registrars):
        yield from _step_registrar(state, index, registrar, rule)
    for position, batch in enumerate(state.delayed):
        remaining = state.delayed[:position] + state.delayed[position + 1 :]
        yield state._replace(stream=(*state.stream, batch), delayed=remaining)


@cache
def _format_incarnation(incarnation: int) -> str:
    return f"{incarnation:016x}"


@cache
def _make_claim(claim_id: ClaimId) -> Claim:
    return Claim(KEY_HASH, DIGEST, _format_incarnation(claim_id[0]), claim_id[1])


@cache
def _build_view(applied: Stream, rule: Rule) -> ShardView:
    view = ShardView(RETENTION_S, max_entries=10)
    order = applied
    if rule is Rule.LAST_RECORD_WINS:
        order = tuple(batch[::-1] for batch in applied[::-1])
    for offset, batch in enumerate(order):
        apply_batch(
            view, Batch(_format_incarnation(0), 0, 0, tuple(map(_make_claim, batch))), offset
        )
    return view


@cache
def _decide(claim_id: ClaimId, applied: Stream, rule: Rule) -> Decision | Undecided:
    return decide(_make_claim(claim_id), _build_view(applied, rule))


def _use_fault(state: State) -> State:
    return state._replace(faults_left=state.faults_left - 1)


def _send(state: State, *messages: Reply | Forward) -> State:
    """Add messages, sorted so that every run visits the same states."""
    if not messages:
        return state
    return state._replace(messages=tuple(sorted({*state.messages, *messages}, key=_make_sort_key)))


@cache
def _make_sort_key(message: Reply | Forward) -> str:
    return repr(message)


def _add_delayed(state: State, batch: ClaimIds) -> State:
    return state._replace(delayed=tuple(sorted((*state.delayed, batch))))


def _set_host(state: State, index: int, host: Host) -> State:
    hosts = tuple(host if i == index else other for i, other in enumerate(state.hosts))
    return state._replace(hosts=hosts)


def _set_registrar(state: State, index: int, registrar: Registrar, rule: Rule) -> State:
    """Store a registrar after it has answered every queued claim that it can decide."""
    queue, replies = [], []
    for claim_id in registrar.queue:
        decision = _decide(claim_id, registrar.applied, rule)
        if isinstance(decision, Undecided):
            queue.append(claim_id)
        else:
            replies.append(Reply(claim_id, decision))
    registrar = registrar._replace(queue=tuple(queue))
    registrars = tuple(registrar if i == index else r for i, r in enumerate(state.registrars))
    return _send(state._replace(registrars=registrars), *replies)


def _submit(state: State, index: int, host: Host, rule: Rule) -> State:
    submission = state.submissions + 1
    state = state._replace(submissions=submission)
    if host.started:
        return state
    if host.pending:
        return _set_host(state, index, host._replace(waiting=(*host.waiting, submission)))
    claim_id = (host.incarnation, host.next_attempt)
    host = host._replace(
        next_attempt=claim_id[1] + 1, pending=claim_id[1], waiting=(*host.waiting, submission)
    )
    registrar = state.registrars[host.registrar]
    queued = registrar._replace(queue=(*registrar.queue, claim_id))
    return _set_registrar(_set_host(state, index, host), host.registrar, queued, rule)


def _time_out_claim(state: State, index: int, host: Host) -> State:
    """Time out the pending claim; only the caller of the first submission is told "not run"."""
    abandoned = (*host.abandoned, host.pending) if host.pending else host.abandoned
    state = _set_host(state, index, host._replace(pending=0, abandoned=abandoned, waiting=()))
    if 1 not in host.waiting:
        return state
    if state.starts and state.started_for <= 1:
        return state._replace(violation="told not run after the start")
    return state._replace(not_run=1)


def _replace_host(state: State, index: int, host: Host) -> State:
    """Replace a host and its registrar by new ones; an append in progress may still take effect."""
    registrar = state.registrars[index]
    if registrar.phase is Phase.SENT:
        state = _add_delayed(state, registrar.batch)
    registrars = tuple(Registrar() if i == index else r for i, r in enumerate(state.registrars))
    replacement = Host(host.incarnation + HOSTS, registrar=host.registrar)
    return _set_host(_use_fault(state)._replace(registrars=registrars), index, replacement)


def _step_registrar(state: State, index: int, registrar: Registrar, rule: Rule) -> Iterator[State]:
    match registrar.phase:
        case Phase.READ:
            read = registrar._replace(
                applied=state.stream, next_offset=len(state.stream), phase=Phase.IDLE, retries=0
            )
            yield _set_registrar(state, index, read, rule)
        case Phase.IDLE if registrar.queue:
            sent = registrar._replace(phase=Phase.SENT, batch=registrar.queue)
            yield _set_registrar(state, index, sent, rule)
        case Phase.SENT:
            appended = state._replace(stream=(*state.stream, registrar.batch))
            answered = registrar._replace(phase=Phase.ANSWERED, offset=len(state.stream))
            yield _set_registrar(appended, index, answered, rule)
            if state.faults_left:
                lost = _lose_answer(registrar, rule)
                yield _set_registrar(_use_fault(appended), index, lost, rule)
                delayed = _add_delayed(state, registrar.batch)
                yield _set_registrar(_use_fault(delayed), index, lost, rule)
        case Phase.ANSWERED:
            yield _set_registrar(state, index, _handle_offset(registrar, rule), rule)


def _lose_answer(registrar: Registrar, rule: Rule) -> Registrar:
    if rule is Rule.RETRY_WITHOUT_READING:
        return registrar._replace(phase=Phase.IDLE, batch=(), retries=registrar.retries + 1)
    return registrar._replace(phase=Phase.READ, batch=())


def _handle_offset(registrar: Registrar, rule: Rule) -> Registrar:
    """Apply the batch if its offset is the next one, otherwise read first."""
    gap = registrar.offset - registrar.next_offset
    contiguous = gap == 0
    if rule is Rule.IGNORE_CONTIGUITY:
        contiguous = True
    if rule is Rule.RETRY_WITHOUT_READING:
        contiguous = gap <= registrar.retries  # attributes the gap to its own retries
    if not contiguous:
        return registrar._replace(phase=Phase.READ, batch=(), offset=0)
    return registrar._replace(
        applied=(*registrar.applied, registrar.batch),
        next_offset=registrar.offset + 1,
        phase=Phase.IDLE,
        batch=(),
        offset=0,
        retries=0,
    )


def _deliver(state: State, message: Reply | Forward, rule: Rule) -> State:
    incarnation = message.claim_id[0] if isinstance(message, Reply) else message.incarnation
    index = incarnation % HOSTS
    host = state.hosts[index]
    if host.incarnation != incarnation:
        return state  # The executor no longer exists: its callers are told "may have run".
    match message:
        case Reply(claim_id, decision):
            if host.pending != claim_id[1] and rule is not Rule.START_ON_LATE_GRANT:
                local: Pending | Forwarded | Abandoned | Started = Abandoned(
                    _format_incarnation(incarnation), _list_abandoned(host)
                )
            else:
                local = Pending(
                    _format_incarnation(incarnation),
                    Attempt(claim_id[1], 0.0),
                    _list_abandoned(host),
                )
        case Forward(_, decision, submissions):
            host = host._replace(waiting=(*host.waiting, *submissions))
            local = Forwarded(_format_incarnation(incarnation), _list_abandoned(host))
            if host.pending:
                pending = Attempt(host.pending, 0.0)
                local = Pending(_format_incarnation(incarnation), pending, _list_abandoned(host))
    if host.started:
        local = Started(_format_incarnation(incarnation), host.started)
    return _apply_action(state, index, host, decide_start(local, decision, 0.0, RETENTION_S))


def _list_abandoned(host: Host) -> tuple[Attempt, ...]:
    return tuple(Attempt(number, 0.0) for number in host.abandoned)


def _apply_action(state: State, index: int, host: Host, action: object) -> State:
    settled = host._replace(pending=0, waiting=())
    match action:
        case Start(attempt):
            state = _set_host(state, index, settled._replace(started=attempt, abandoned=()))
            return _record_start(state, host.waiting)
        case Join() | RefuseMayHaveRun():
            return _set_host(state, index, settled)
        case AskExecutor(executor, attempt):
            forward = Forward(int(executor, 16), HeldBy(executor, attempt), host.waiting)
            return _set_host(_send(state, forward), index, settled)
        case _:
            return state


def _record_start(state: State, waiting: tuple[int, ...]) -> State:
    violation = ""
    if state.starts:
        violation = "second start"
    elif max(waiting, default=0) <= state.not_run:
        violation = "start after not run"
    return state._replace(
        starts=state.starts + 1, started_for=min(waiting, default=0), violation=violation
    )
