"""Reports of the other leaders to this one: what they have taken, and answers about its jobs."""

import time

import anyio
from anyio.abc import TaskGroup

from fireflybridge_clearances import UNREACHABLE_S, JobClearances, JobQuestion
from fireflybridge_entry._codec import CodecError
from fireflybridge_entry._job_scheduler import JobScheduler
from fireflybridge_entry._question_codec import (
    MAX_QUESTIONS,
    Question,
    decode_question_reply,
    encode_question,
)
from fireflybridge_http import Connection, ExchangeError
from fireflybridge_leadership import Holder, Leadership

REPORT_INTERVAL_S = 0.15
RETRY_S = 0.05  # asks again for a job that another leader holds, or after no reply


class LeaderLinks:
    """Keep one connection to each other leader while this host leads.

    Each is asked for a report again and again, so that a job can start without a question, and so
    that a leader's silence is known before a job depends on it. Questions that come up while one
    message is under way go into the next one.
    """

    def __init__(
        self,
        holder: Holder,
        leadership: Leadership,
        scheduler: JobScheduler,
        clearances: JobClearances,
    ) -> None:
        self._holder = holder
        self._leadership = leadership
        self._scheduler = scheduler
        self._clearances = clearances
        self._scopes: dict[Holder, anyio.CancelScope] = {}

    async def run(self) -> None:
        """Follow the terms of all leaders until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                while True:
                    self._update(group)
                    await self._leadership.changed.wait()
        finally:
            self._scopes.clear()

    def _update(self, group: TaskGroup) -> None:
        leads = bool(self._leadership.find_terms_held_by(self._holder))
        leaders = self._clearances.leaders.holders if leads else frozenset()
        if not leads:
            self._clearances.leaders.stop_asking()
        for leader in self._scopes.keys() - leaders:
            self._scopes.pop(leader).cancel()
        for leader in leaders - self._scopes.keys():
            scope = self._scopes[leader] = anyio.CancelScope()
            group.start_soon(self._ask_until_cancelled, leader, scope)
        # Another leader's newer term has cleared no job yet.
        self._clearances.asked.notify()

    async def _ask_until_cancelled(self, leader: Holder, scope: anyio.CancelScope) -> None:
        connection = Connection(leader.address)
        try:
            with scope:
                while True:
                    await self._ask(connection, leader)
                    await self._wait_for_question(leader)
        finally:
            self._clearances.leaders.note_contact(leader)
            await connection.close()

    async def _wait_for_question(self, leader: Holder) -> None:
        """Wait for a new question, or until it is time for the next report."""
        if self._clearances.leaders.is_silent(leader):
            return
        repeats = self._clearances.has_questions(leader)
        with anyio.move_on_after(RETRY_S if repeats else REPORT_INTERVAL_S):
            while not self._clearances.has_new_questions(leader):
                await self._clearances.asked.wait()

    def _find_questions(self, leader: Holder) -> tuple[JobQuestion, ...]:
        return self._scheduler.list_questions(leader)[:MAX_QUESTIONS]

    async def _ask(self, connection: Connection, leader: Holder) -> None:
        question = Question(
            self._holder,
            self._leadership.find_terms_held_by(self._holder),
            {term.domain: term.fence for term in self._leadership.terms.values()},
            self._find_questions(leader),
            self._clearances.get_ledger_number(leader),
        )
        asked_s = time.monotonic()
        self._clearances.leaders.note_question(leader, asked_s)
        try:
            response = await connection.exchange(encode_question(question), UNREACHABLE_S)
            reply = decode_question_reply(response)
        except ExchangeError as error:
            # A leader that has ended may have replied to others until now.
            silent_since_s = asked_s if error.timed_out else time.monotonic()
            await self._retry_later(leader, silent_since_s)
            return
        except CodecError:
            await self._retry_later(leader, time.monotonic())
            return
        self._leadership.add_terms(reply.terms)
        if reply.report.leader != leader:
            await self._retry_later(leader, time.monotonic())
            return
        self._scheduler.apply_report(reply.report, asked_s)
        self._clearances.note_asked(leader, [asked.job for asked in question.jobs])

    async def _retry_later(self, leader: Holder, silent_since_s: float) -> None:
        self._clearances.leaders.note_silence(leader, silent_since_s)
        await anyio.sleep(RETRY_S)
