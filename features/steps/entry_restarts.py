"""Steps on an entry host that starts anew while a leader runs its jobs."""

from dataclasses import replace

import anyio
from behave import then, when
from behave.runner import Context
from support.terms import HangingPollLog
from support.upstreams import make_job

from fireflybridge_entry import Peer, PeerService
from fireflybridge_entry._codec import Submission, encode_heartbeat, encode_submission
from fireflybridge_leadership import Holder, Leadership, Term
from fireflybridge_pauses import PauseMonitor

JOB = make_job("a", 1)
FENCE = 1000
RETRANSMIT_S = 1.3
HEARTBEAT_S = 0.15
ENTRY = Peer(Holder("h2", "1", "127.0.0.1:2"), "z1", 1.0)


@when("that host starts anew before its silence shows, and the end of its connection gets lost")
def restart_entry_host(context: Context) -> None:
    async def run() -> None:
        leadership = Leadership(HangingPollLog(), lambda _error: None)
        leader = Peer(Holder("h1", "1", "127.0.0.1:1"), "z1", 1.0)
        leadership.add_terms((Term("z1", leader.holder, FENCE),))
        service = PeerService(leader, context.scheduler, leadership, PauseMonitor())
        submission = Submission(ENTRY.holder.host, JOB, 0, None)
        async with anyio.create_task_group() as group:
            group.start_soon(service.watch_senders)
            await service.handle(encode_heartbeat(ENTRY))
            group.start_soon(service.handle, encode_submission(submission))
            await anyio.sleep(2 * HEARTBEAT_S)
            restarted = replace(ENTRY, holder=replace(ENTRY.holder, incarnation="2"))
            with anyio.move_on_after(RETRANSMIT_S):
                while True:
                    await service.handle(encode_heartbeat(restarted))
                    await anyio.sleep(HEARTBEAT_S)
            context.cancelled = context.scheduler.cancelled
            group.cancel_scope.cancel()

    anyio.run(run)


@then("the job of its earlier life is cancelled before callers send it again")
def check_cancelled(context: Context) -> None:
    assert context.cancelled
