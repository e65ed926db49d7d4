"""Steps for links between daemons: endpoints in their own processes, some behind the proxy."""

from random import Random
from typing import Any

import pynng
from behave import given, register_type, then, when
from behave.runner import Context
from parse import with_pattern
from support import Program, send_control, start_proxy, wait_until

from fireflybridge_peers import LinkSettings

KEY = "the shared key of daemons"
PROBE = "fireflybridge_standins.peer_probe"
HEARTBEAT_S = 0.2
# Longer than any run: after the first exchange the link is idle until a message is sent.
IDLE_HEARTBEAT_S = 3600.0
BURSTS = 10
REPLY_LIMIT_MS = 30_000


@with_pattern(r'[^"]*')
def parse_quoted(text: str) -> str:
    return text


register_type(Quoted=parse_quoted)


def call_peer(context: Context, name: str, method: str, path: str, body: object = None) -> Any:
    return send_control(context.peers[name].ready["control"], method, path, body)


def read_state(context: Context, name: str) -> Any:
    return call_peer(context, name, "GET", "/state")


def start_peer(context: Context, name: str, key: str) -> Program:
    arguments = ("--name", name, "--key", key, "--heartbeat-s", str(context.heartbeat_s))
    peer: Program = context.processes.start(PROBE, *arguments)
    context.peers[name] = peer
    return peer


@given('a peer endpoint "{name:Quoted}" with key "{key:Quoted}"')
def step_peer(context: Context, name: str, key: str) -> None:
    if "peers" not in context:
        context.peers, context.accepted, context.refused = {}, {}, {}
    if "heartbeat_s" not in context:
        context.heartbeat_s = HEARTBEAT_S
    start_peer(context, name, key)


@given('peer endpoints "{first:Quoted}" and "{second:Quoted}"')
def step_peers(context: Context, first: str, second: str) -> None:
    step_peer(context, first, KEY)
    step_peer(context, second, KEY)


@given('peer endpoints "{first:Quoted}" and "{second:Quoted}" whose idle link sends no heartbeats')
def step_peers_without_heartbeats(context: Context, first: str, second: str) -> None:
    context.heartbeat_s = IDLE_HEARTBEAT_S
    step_peers(context, first, second)


def connect(context: Context, name: str, peer: str, address: str) -> None:
    call_peer(context, name, "POST", "/connect", {"name": peer, "address": address})


@when('peer "{name:Quoted}" connects to "{peer:Quoted}"')
def step_connect(context: Context, name: str, peer: str) -> None:
    connect(context, name, peer, context.peers[peer].address)


@when('peer "{name:Quoted}" connects to "{peer:Quoted}" through the proxy')
def step_connect_proxied(context: Context, name: str, peer: str) -> None:
    context.proxy = start_proxy(context.processes, link=context.peers[peer].address)
    connect(context, name, peer, context.proxy.get_address("link"))
    step_exchange(context, name, 1, peer)


@when('peer "{name:Quoted}" disconnects from "{peer:Quoted}"')
def step_disconnect(context: Context, name: str, peer: str) -> None:
    call_peer(context, name, "POST", "/disconnect", {"name": peer})


def send(context: Context, name: str, peer: str, count: int, size: int = 10) -> dict[str, int]:
    """Send messages with the next numbers of the sender and return the refusals by kind."""
    accepted = context.accepted.setdefault(name, [])
    first = context.refused.get(name, 0) + len(accepted)
    body = {"peer": peer, "first": first, "count": count, "size": size}
    refusals: dict[str, int] = call_peer(context, name, "POST", "/send", body)
    # Within one call the outbox only fills, so the refused messages are the last ones.
    refused = sum(refusals.values())
    accepted.extend(range(first, first + count - refused))
    context.refused[name] = context.refused.get(name, 0) + refused
    return refusals


def find_unsent(context: Context, name: str) -> list[int]:
    state = read_state(context, name)
    return [number for part in state["stalled"] + state["lost"] for number in part["unsent"]]


def is_settled(context: Context, receiver: str, sender: str) -> bool:
    received = read_state(context, receiver)["received"].get(sender, [])
    return len(received) + len(find_unsent(context, sender)) >= len(context.accepted[sender])


@then(
    'peer "{receiver:Quoted}" handles each message of "{sender:Quoted}" once, in order, or "{same:Quoted}" reports it as unsent'
)
def check_handled_once(context: Context, receiver: str, sender: str, same: str) -> None:
    wait_until(lambda: is_settled(context, receiver, sender), detail="handled or unsent messages")
    # A duplicate of an earlier message would arrive before this one.
    step_exchange(context, sender, 1, receiver)
    received = read_state(context, receiver)["received"][sender]
    unsent = find_unsent(context, sender)
    assert received == sorted(set(received)), "duplicate or out of order"
    assert sorted(received + unsent) == context.accepted[sender], (received, unsent)


@when('peer "{name:Quoted}" sends {count:d} messages to "{peer:Quoted}" and they are handled')
def step_exchange(context: Context, name: str, count: int, peer: str) -> None:
    wait_until(lambda: not send(context, name, peer, count), detail="a link that takes messages")
    last = context.accepted[name][-1]
    wait_until(lambda: last in read_state(context, peer)["received"].get(name, []))


@when(
    'peer "{name:Quoted}" sends {count:d} messages to "{peer:Quoted}" while the link has the fault "{kind:Quoted}" "{direction:Quoted}" "{more:Quoted}"'
)
def step_fault(
    context: Context, name: str, count: int, peer: str, kind: str, direction: str, more: str = ""
) -> None:
    fault: dict[str, Any] = {"kind": kind, "direction": direction}
    if more:
        field, value = more.split("=")
        fault[field] = int(value)
    context.proxy.set_faults("link", faults=[fault])
    for _ in range(BURSTS):
        send(context, name, peer, count // BURSTS)
    wait_until(lambda: context.proxy.get_count("link", kind) > 0, detail=f"effect of {kind}")
    context.proxy.clear_faults("link")


@when(
    'peer "{name:Quoted}" sends {count:d} messages to "{peer:Quoted}" while the link is reset {resets:d} times'
)
def step_reset(context: Context, name: str, count: int, peer: str, resets: int) -> None:
    for _ in range(resets):
        send(context, name, peer, count // resets)
        wait_until(lambda: context.proxy.reset("link") > 0, detail="a connection to reset")


@when(
    'peer "{name:Quoted}" sends {count:d} messages to "{peer:Quoted}" and "{same:Quoted}" {reverse_count:d} to "{other:Quoted}" while "{paused:Quoted}" is paused'
)
def step_pause(
    context: Context,
    name: str,
    count: int,
    peer: str,
    same: str,
    reverse_count: int,
    other: str,
    paused: str,
) -> None:
    step_exchange(context, name, 1, peer)
    step_exchange(context, peer, 1, name)
    send(context, peer, name, reverse_count)
    context.peers[paused].pause()
    send(context, name, peer, count)
    wait_until(lambda: read_state(context, name)["links"][0]["queued"] < count, detail="a batch")
    context.peers[paused].resume()


@when('the peer link drops all data until "a" reports messages as unsent')
def step_drop_all(context: Context) -> None:
    context.proxy.set_faults("link", faults=[{"kind": "drop", "direction": "both"}])
    send(context, "a", "b", 5)
    wait_until(lambda: read_state(context, "a")["links"][0]["queued"] == 0, detail="a batch")
    send(context, "a", "b", 5)
    wait_until(lambda: find_unsent(context, "a"), detail="unsent messages")


@when("the peer link recovers")
def step_recover(context: Context) -> None:
    context.proxy.clear_faults("link")


@then('peer "{name:Quoted}" refuses a message to "{peer:Quoted}" as "{kind:Quoted}"')
def check_refused(context: Context, name: str, peer: str, kind: str) -> None:
    assert send(context, name, peer, 1) == {kind: 1}


def drop_exchange(context: Context) -> None:
    """Send a batch from "a" that cannot be acknowledged, and queue more messages after it.

    The idle link must send no heartbeats: one that is in flight when the fault begins would delay
    the batch, so that none of its messages would be unacknowledged.
    """
    context.proxy.set_faults("link", faults=[{"kind": "drop", "direction": "both"}])
    context.in_flight = list(range(len(context.accepted["a"]), len(context.accepted["a"]) + 8))
    send(context, "a", "b", 4)
    wait_until(lambda: read_state(context, "a")["links"][0]["queued"] == 0, detail="a batch")
    send(context, "a", "b", 4)


@when('peer "b" is killed with messages in flight and starts again')
def step_restart(context: Context) -> None:
    first = context.peers["b"]
    drop_exchange(context)
    first.kill()
    first.wait_exit()
    context.first_incarnation = first.ready["incarnation"]
    context.proxy.retarget("link", start_peer(context, "b", KEY).address)
    context.proxy.clear_faults("link")
    context.proxy.reset("link")


@when('the peer link drops an exchange and "a" disconnects from "b"')
def step_drop(context: Context) -> None:
    context.first_incarnation = context.peers["b"].ready["incarnation"]
    drop_exchange(context)
    step_disconnect(context, "a", "b")


@then('peer "a" reports the first incarnation of "b" as lost, with those messages')
def check_lost(context: Context) -> None:
    wait_until(lambda: read_state(context, "a")["lost"], detail="a report")
    state = read_state(context, "a")
    (lost,) = state["lost"]
    assert lost["incarnation"] == context.first_incarnation, lost
    assert lost["unacknowledged"], lost
    reported = lost["unacknowledged"] + find_unsent(context, "a")
    assert sorted(reported) == context.in_flight, reported


@then('peer "b" handles only messages that "a" sends after that')
def check_later_messages(context: Context) -> None:
    step_exchange(context, "a", 3, "b")
    received = read_state(context, "b")["received"]["a"]
    assert received == context.accepted["a"][-3:], received


@when('peer "{name:Quoted}" connects to "{peer:Quoted}" under the name "{other:Quoted}"')
def step_wrong_name(context: Context, name: str, peer: str, other: str) -> None:
    connect(context, name, other, context.peers[peer].address)
    send(context, name, other, 3)


def has_reported(context: Context, name: str, text: str) -> bool:
    faults = read_state(context, name)["faults"]
    return any(text in (fault["step"], fault["detail"]) for fault in faults)


@then(
    'peer "{name:Quoted}" reports its messages to "{peer:Quoted}" as unsent and the fault "{text:Quoted}"'
)
def check_unsent(context: Context, name: str, peer: str, text: str) -> None:
    wait_until(lambda: find_unsent(context, name) == context.accepted[name])
    assert has_reported(context, name, text)


@then('peer "{name:Quoted}" reports "{text:Quoted}" and has handled nothing')
def check_handled_nothing(context: Context, name: str, text: str) -> None:
    wait_until(lambda: has_reported(context, name, text), detail=text)
    state = read_state(context, name)
    assert (state["received"], state["heartbeats"]) == ({}, {}), state


@then('peer "{name:Quoted}" reports "{text:Quoted}"')
def check_report(context: Context, name: str, text: str) -> None:
    wait_until(lambda: has_reported(context, name, text), detail=text)


@then('peers "{first:Quoted}" and "{second:Quoted}" receive {count:d} heartbeats of each other')
def check_heartbeats(context: Context, first: str, second: str, count: int) -> None:
    for name, other in ((first, second), (second, first)):
        wait_until(lambda n=name, o=other: read_state(context, n)["heartbeats"].get(o, 0) >= count)


@when(
    'peer "{name:Quoted}" announces a change {times:d} times and each is received by "{peer:Quoted}"'
)
def step_announce(context: Context, name: str, times: int, peer: str) -> None:
    for number in range(1, times + 1):
        wait_until(lambda n=number: read_state(context, peer)["heartbeats"].get(name, 0) >= n)
        call_peer(context, name, "POST", "/announce")


@then('peer "{peer:Quoted}" has received {count:d} heartbeats of "{name:Quoted}"')
def check_received_heartbeats(context: Context, peer: str, count: int, name: str) -> None:
    wait_until(lambda: read_state(context, peer)["heartbeats"].get(name, 0) >= count)
    assert read_state(context, peer)["heartbeats"][name] == count


@then(
    'peer settings with key "{key:Quoted}" that listen on "{listen:Quoted}" fail with "{message:Quoted}"'
)
def check_settings(context: Context, listen: str, message: str, key: str = "") -> None:
    found = ""
    try:
        LinkSettings("a", "1", listen, key.encode() or None)
    except ValueError as error:
        found = str(error)
    assert message in found, found


@then(
    'a peer endpoint that listens on the address of "{name:Quoted}" fails with "{message:Quoted}"'
)
def check_address_in_use(context: Context, name: str, message: str) -> None:
    address = context.peers[name].address
    second = context.processes.spawn(PROBE, "--name", "x", "--key", KEY, "--listen", address)
    assert second.wait_exit() != 0
    assert f"{message} {address}" in second.read_stderr(), second.read_stderr()


def exchange_frame(address: str, frame: bytes) -> bytes:
    with pynng.Req0(dial=f"tcp://{address}", recv_timeout=REPLY_LIMIT_MS) as socket:
        socket.send(frame)
        reply: bytes = socket.recv()
        return reply


@when(
    'peer "{name:Quoted}" connects to "{peer:Quoted}" through a recorder and sends {count:d} messages'
)
def step_record(context: Context, name: str, peer: str, count: int) -> None:
    context.frames = []
    with pynng.Rep0(listen="tcp://127.0.0.1:0", recv_timeout=REPLY_LIMIT_MS) as recorder:
        connect(context, name, peer, str(recorder.listeners[0].local_address))
        send(context, name, peer, count)
        while len(read_state(context, peer)["received"].get(name, [])) < count:
            context.frames.append(recorder.recv())
            recorder.send(exchange_frame(context.peers[peer].address, context.frames[-1]))
        step_disconnect(context, name, peer)


@when('the recorded peer frames are sent again to "{peer:Quoted}"')
@when('the recorded peer frames are sent to "{peer:Quoted}"')
def step_replay(context: Context, peer: str) -> None:
    for frame in context.frames:
        exchange_frame(context.peers[peer].address, frame)


@when('each recorded peer frame is sent to "{peer:Quoted}" with one bit changed')
def step_tamper(context: Context, peer: str) -> None:
    random = Random(3)
    for frame in context.frames:
        for _ in range(20):
            changed = bytearray(frame)
            changed[random.randrange(len(changed))] ^= 1 << random.randrange(8)
            exchange_frame(context.peers[peer].address, bytes(changed))


@then('peer "{name:Quoted}" has handled {count:d} messages of "{sender:Quoted}"')
def check_count(context: Context, name: str, count: int, sender: str) -> None:
    received = read_state(context, name)["received"]
    assert received == {sender: list(range(count))}, received


@when('peer "{name:Quoted}" gets a frame of protocol version {version:d}')
def step_version(context: Context, name: str, version: int) -> None:
    exchange_frame(context.peers[name].address, bytes((version,)) + bytes(100))


@when('peer "{name:Quoted}" gets {count:d} random frames')
def step_random(context: Context, name: str, count: int) -> None:
    random = Random(5)
    for number in range(count):
        frame = random.randbytes(random.randrange(1, 300))
        exchange_frame(context.peers[name].address, b"\1" + frame if number % 2 else frame)


@then(
    'peer "{name:Quoted}" refuses {refused:d} of {count:d} messages of {size:d} bytes to "{peer:Quoted}" as "{kind:Quoted}"'
)
def check_refusals(
    context: Context, name: str, refused: int, count: int, size: int, peer: str, kind: str
) -> None:
    link = read_state(context, name)["links"][0]
    wait_until(lambda: read_state(context, name)["links"][0]["queued"] == 0, detail=str(link))
    refusals = send(context, name, peer, count, size)
    assert refusals == {kind: refused}, refusals
