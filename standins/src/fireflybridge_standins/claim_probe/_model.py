"""Model of two hosts that claim one key, for the exhaustive check.

Every step of a host, a registrar, the log or the client is one transition, so a pause lies between
any two. The transitions call the library's own decision functions. Tuples instead of data classes
hold the state, since the check hashes hundreds of thousands of them.
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

Ticket = tuple[int, int]  # incarnation and attempt
Tickets = tuple[Ticket, ...]
Stream = tuple[Tickets, ...]


class Rule(StrEnum):
    """Name the rules under check; all but ``DESIGN`` are wrong on purpose."""

    DESIGN = "design"
    IGNORE_CONTIGUITY = "ignore-contiguity"
    LAST_RECORD_WINS = "last-record-wins"
    RETRY_WITHOUT_READING = "retry-without-reading"
    START_ON_LATE_GRANT = "start-on-late-grant"


class Phase(StrEnum):
    """Name what a registrar does next."""

    IDLE = "idle"
    SENT = "sent"
    ANSWERED = "answered"
    READ = "read"


class Registrar(NamedTuple):
    """Hold what one registrar knows and the append that it has under way."""

    folded: Stream = ()
    next_offset: int = 0
    queue: Tickets = ()
    phase: Phase = Phase.READ
    batch: Tickets = ()
    offset: int = 0
    retries: int = 0


class Host(NamedTuple):
    """Hold an executor's state for the key; ``waiting`` lists the submissions of its callers."""

    incarnation: int
    registrar: int = 0
    next_attempt: int = 1
    pending: int = 0
    abandoned: tuple[int, ...] = ()
    started: int = 0
    waiting: tuple[int, ...] = ()


class Reply(NamedTuple):
    """Carry a registrar's decision to an executor."""

    ticket: Ticket
    decision: Decision


class Forward(NamedTuple):
    """Carry submissions to the executor that holds the key."""

    incarnation: int
    decision: HeldBy
    submissions: tuple[int, ...]


class State(NamedTuple):
    """Hold everything; ``started_for`` and ``not_run`` are what the check looks at."""

    stream: Stream
    floating: tuple[Tickets, ...]
    registrars: tuple[Registrar, ...]
    hosts: tuple[Host, ...]
    messages: tuple[Reply | Forward, ...]
    faults_left: int
    submissions: int
    starts: int
    started_for: int
    not_run: int
    violation: str


def make_initial(faults: int) -> State:
    """Return the state before the first submission."""
    hosts = tuple(Host(incarnation) for incarnation in range(HOSTS))
    registrars = (Registrar(phase=Phase.IDLE),) * HOSTS
    return State((), (), registrars, hosts, (), faults, 0, 0, 0, 0, "")


def list_next(state: State, rule: Rule, max_submissions: int) -> Iterator[State]:
    """Yield every state that one step leads to.

    A reply without effect never gets one, as attempts and incarnations do not come back, so its
    delivery is taken alone: it commutes with every other step.
    """
    deliveries = []
    for position, message in enumerate(state.messages):
        others = state.messages[:position] + state.messages[position + 1 :]
        rest = state._replace(messages=others)
        delivered = _deliver(rest, message, rule)
        if delivered == rest and isinstance(message, Reply):
            yield delivered
            return
        deliveries.append(delivered)
    yield from deliveries
    for index, host in enumerate(state.hosts):
        if state.submissions < max_submissions:
            yield _submit(state, index, host, rule)
        if host.waiting:
            yield _give_up(state, index, host)
        if state.faults_left:
            yield _kill(state, index, host)
            if state.submissions < max_submissions:
                moved = host._replace(registrar=1 - host.registrar)
                yield _put_host(_spend(state), index, moved)
    for index, registrar in enumerate(state.registrars):
        yield from _step_registrar(state, index, registrar, rule)
    for position, batch in enumerate(state.floating):
        left = state.floating[:position] + state.floating[position + 1 :]
        yield state._replace(stream=(*state.stream, batch), floating=left)


@cache
def _name(incarnation: int) -> str:
    return f"{incarnation:016x}"


@cache
def _claim(ticket: Ticket) -> Claim:
    return Claim(KEY_HASH, DIGEST, _name(ticket[0]), ticket[1])


@cache
def _view(folded: Stream, rule: Rule) -> ShardView:
    view = ShardView(RETENTION_S, max_entries=10)
    order = folded
    if rule is Rule.LAST_RECORD_WINS:
        order = tuple(batch[::-1] for batch in folded[::-1])
    for offset, batch in enumerate(order):
        apply_batch(view, Batch(_name(0), 0, 0, tuple(map(_claim, batch))), offset)
    return view


@cache
def _decide(ticket: Ticket, folded: Stream, rule: Rule) -> Decision | Undecided:
    return decide(_claim(ticket), _view(folded, rule))


def _spend(state: State) -> State:
    return state._replace(faults_left=state.faults_left - 1)


def _send(state: State, *messages: Reply | Forward) -> State:
    """Add messages in a fixed order, so that every run visits the same states."""
    if not messages:
        return state
    return state._replace(messages=tuple(sorted({*state.messages, *messages}, key=_rank)))


@cache
def _rank(message: Reply | Forward) -> str:
    return repr(message)


def _float(state: State, batch: Tickets) -> State:
    return state._replace(floating=tuple(sorted((*state.floating, batch))))


def _put_host(state: State, index: int, host: Host) -> State:
    hosts = tuple(host if i == index else other for i, other in enumerate(state.hosts))
    return state._replace(hosts=hosts)


def _put_registrar(state: State, index: int, registrar: Registrar, rule: Rule) -> State:
    """Store a registrar after it has answered every queued claim that it can decide."""
    queue, replies = [], []
    for ticket in registrar.queue:
        decision = _decide(ticket, registrar.folded, rule)
        if isinstance(decision, Undecided):
            queue.append(ticket)
        else:
            replies.append(Reply(ticket, decision))
    registrar = registrar._replace(queue=tuple(queue))
    registrars = tuple(registrar if i == index else r for i, r in enumerate(state.registrars))
    return _send(state._replace(registrars=registrars), *replies)


def _submit(state: State, index: int, host: Host, rule: Rule) -> State:
    submission = state.submissions + 1
    state = state._replace(submissions=submission)
    if host.started:
        return state
    if host.pending:
        return _put_host(state, index, host._replace(waiting=(*host.waiting, submission)))
    ticket = (host.incarnation, host.next_attempt)
    host = host._replace(
        next_attempt=ticket[1] + 1, pending=ticket[1], waiting=(*host.waiting, submission)
    )
    registrar = state.registrars[host.registrar]
    asked = registrar._replace(queue=(*registrar.queue, ticket))
    return _put_registrar(_put_host(state, index, host), host.registrar, asked, rule)


def _give_up(state: State, index: int, host: Host) -> State:
    """Let the claim time out; only the first submission's caller is told "not run"."""
    abandoned = (*host.abandoned, host.pending) if host.pending else host.abandoned
    state = _put_host(state, index, host._replace(pending=0, abandoned=abandoned, waiting=()))
    if 1 not in host.waiting:
        return state
    if state.starts and state.started_for <= 1:
        return state._replace(violation="told not run after the start")
    return state._replace(not_run=1)


def _kill(state: State, index: int, host: Host) -> State:
    """Replace a host and its registrar by new ones; an append under way may still take effect."""
    registrar = state.registrars[index]
    if registrar.phase is Phase.SENT:
        state = _float(state, registrar.batch)
    registrars = tuple(Registrar() if i == index else r for i, r in enumerate(state.registrars))
    new = Host(host.incarnation + HOSTS, registrar=host.registrar)
    return _put_host(_spend(state)._replace(registrars=registrars), index, new)


def _step_registrar(state: State, index: int, registrar: Registrar, rule: Rule) -> Iterator[State]:
    match registrar.phase:
        case Phase.READ:
            read = registrar._replace(
                folded=state.stream, next_offset=len(state.stream), phase=Phase.IDLE, retries=0
            )
            yield _put_registrar(state, index, read, rule)
        case Phase.IDLE if registrar.queue:
            sent = registrar._replace(phase=Phase.SENT, batch=registrar.queue)
            yield _put_registrar(state, index, sent, rule)
        case Phase.SENT:
            appended = state._replace(stream=(*state.stream, registrar.batch))
            answered = registrar._replace(phase=Phase.ANSWERED, offset=len(state.stream))
            yield _put_registrar(appended, index, answered, rule)
            if state.faults_left:
                lost = _lose_answer(registrar, rule)
                yield _put_registrar(_spend(appended), index, lost, rule)
                floating = _float(state, registrar.batch)
                yield _put_registrar(_spend(floating), index, lost, rule)
        case Phase.ANSWERED:
            yield _put_registrar(state, index, _take_offset(registrar, rule), rule)


def _lose_answer(registrar: Registrar, rule: Rule) -> Registrar:
    if rule is Rule.RETRY_WITHOUT_READING:
        return registrar._replace(phase=Phase.IDLE, batch=(), retries=registrar.retries + 1)
    return registrar._replace(phase=Phase.READ, batch=())


def _take_offset(registrar: Registrar, rule: Rule) -> Registrar:
    """Fold the batch if its offset is the next one, otherwise read first."""
    gap = registrar.offset - registrar.next_offset
    contiguous = gap == 0
    if rule is Rule.IGNORE_CONTIGUITY:
        contiguous = True
    if rule is Rule.RETRY_WITHOUT_READING:
        contiguous = gap <= registrar.retries  # takes the gap for its own earlier tries
    if not contiguous:
        return registrar._replace(phase=Phase.READ, batch=(), offset=0)
    return registrar._replace(
        folded=(*registrar.folded, registrar.batch),
        next_offset=registrar.offset + 1,
        phase=Phase.IDLE,
        batch=(),
        offset=0,
        retries=0,
    )


def _deliver(state: State, message: Reply | Forward, rule: Rule) -> State:
    incarnation = message.ticket[0] if isinstance(message, Reply) else message.incarnation
    index = incarnation % HOSTS
    host = state.hosts[index]
    if host.incarnation != incarnation:
        return state  # the executor is gone: its callers are told "may have run"
    match message:
        case Reply(ticket, decision):
            if host.pending != ticket[1] and rule is not Rule.START_ON_LATE_GRANT:
                local: Pending | Forwarded | Abandoned | Started = Abandoned(
                    _name(incarnation), _attempts(host)
                )
            else:
                local = Pending(_name(incarnation), Attempt(ticket[1], 0.0), _attempts(host))
        case Forward(_, decision, submissions):
            host = host._replace(waiting=(*host.waiting, *submissions))
            local = Forwarded(_name(incarnation), _attempts(host))
            if host.pending:
                pending = Attempt(host.pending, 0.0)
                local = Pending(_name(incarnation), pending, _attempts(host))
    if host.started:
        local = Started(_name(incarnation), host.started)
    return _act(state, index, host, decide_start(local, decision, 0.0, RETENTION_S))


def _attempts(host: Host) -> tuple[Attempt, ...]:
    return tuple(Attempt(number, 0.0) for number in host.abandoned)


def _act(state: State, index: int, host: Host, action: object) -> State:
    answered = host._replace(pending=0, waiting=())
    match action:
        case Start(attempt):
            state = _put_host(state, index, answered._replace(started=attempt, abandoned=()))
            return _note_start(state, host.waiting)
        case Join() | RefuseMayHaveRun():
            return _put_host(state, index, answered)
        case AskExecutor(executor, attempt):
            forward = Forward(int(executor, 16), HeldBy(executor, attempt), host.waiting)
            return _put_host(_send(state, forward), index, answered)
        case _:
            return state


def _note_start(state: State, waiting: tuple[int, ...]) -> State:
    violation = ""
    if state.starts:
        violation = "second start"
    elif max(waiting, default=0) <= state.not_run:
        violation = "start after not run"
    return state._replace(
        starts=state.starts + 1, started_for=min(waiting, default=0), violation=violation
    )
