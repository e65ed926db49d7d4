"""Steps on a leader that can't read the log, and the host that replaces it."""

import anyio
from behave import given, then, when
from behave.runner import Context

from fireflybridge_entry import LeaderMonitor, Peer, PeerService
from fireflybridge_execution import Scheduler
from fireflybridge_host._former_leaders import FormerLeaders
from fireflybridge_http import Server, ServerLimits
from fireflybridge_leadership import Holder, Leadership, ReadResult, StoreError, Term, compute_fence
from fireflybridge_pauses import PauseMonitor

TIMEOUT_S = 1.0
NEXT = Holder("h2", "1", "127.0.0.1:1")


class SilentLog:
    """A log of terms that fails each call."""

    async def read_newest(self) -> ReadResult:
        """Fail."""
        raise StoreError("no answer")

    async def read_since(self, offset: int, wait_s: float) -> ReadResult:
        """Fail."""
        raise StoreError("no answer")

    async def append(self, domains: tuple[str, ...], holder: Holder, end: int) -> ReadResult:
        """Fail."""
        raise StoreError("no answer")


def make_leadership() -> Leadership:
    return Leadership(SilentLog(), lambda _error: None)  # type: ignore[arg-type]


@given("a leader that the log has stopped answering")
def given_leader(context: Context) -> None:
    context.former = make_leadership()


@when("another host replaces it")
def replace_leader(context: Context) -> None:
    anyio.run(announce_term, context)


async def announce_term(context: Context) -> None:
    """Let the other host lead, and wait until the former leader has heard of it."""
    former: Leadership = context.former
    host = Peer(Holder("h1", "1", "127.0.0.1:0"), "z1", 1.0)
    scheduler = Scheduler(None, lambda _event: None, lambda: None, PauseMonitor())  # type: ignore[arg-type]
    service = PeerService(host, scheduler, former, PauseMonitor())
    server = Server("127.0.0.1:0", service.handle, ServerLimits())
    async with anyio.create_task_group() as group:
        address = await group.start(server.serve, group)
        context.holder = Holder("h1", "1", address)
        first = Term("z1", context.holder, compute_fence(0))
        former.add_terms((first,))
        following = make_leadership()
        following.add_terms((first,))
        monitor = LeaderMonitor(following, Peer(NEXT, "z1", 1.0))
        group.start_soon(FormerLeaders(NEXT, following, monitor).notify)
        await anyio.sleep(0)
        following.add_terms((Term("z1", NEXT, compute_fence(1)),))
        with anyio.move_on_after(TIMEOUT_S):
            await former.changed.wait()
        context.held = former.find_terms_held_by(context.holder)
        group.cancel_scope.cancel()


@then("it has given up its term within 1 s")
def check_given_up(context: Context) -> None:
    assert context.held == (), context.held
