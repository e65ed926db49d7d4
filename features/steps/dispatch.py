"""Steps for the dispatch policy: the queue on a clock that the step sets."""

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import anyio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import seed, settings, strategies
from support.dispatch import DONE, Bench

from fireflybridge_core import Cause, NotRun, Task, TaskId
from fireflybridge_dispatch import MAX_ATTEMPTS, Admitted, Refused
from fireflybridge_tables import Quota


def count_running(bench: Bench, by: str) -> str:
    counts = Counter(getattr(task, by) for task in bench.running)
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


@given("a dispatch pool of {upstreams:d} upstreams with {slots:d} slots")
def make_bench(context: Context, upstreams: int, slots: int) -> None:
    context.bench = Bench(upstreams, slots)


@given('dispatch team "{team}" has weight {weight:d} and at most {share:f} of the slots')
def set_quota(context: Context, team: str, weight: int, share: float) -> None:
    context.bench.quotas = (Quota(team, weight, share),)
    context.bench.queue.configure(context.bench.make_pool())


@given(
    'dispatch route "{slow}" declared {slow_s:g} s has run for {slow_run_s:g} s'
    ' and route "{quick}" declared {quick_s:g} s for {quick_run_s:g} s'
)
def teach_routes(
    context: Context,
    slow: str,
    slow_s: float,
    slow_run_s: float,
    quick: str,
    quick_s: float,
    quick_run_s: float,
) -> None:
    for _ in range(4):
        context.bench.run(quick, quick_s, quick_run_s)
        context.bench.run(slow, slow_s, slow_run_s, times=10)


@when("a dispatch slot is cancelled as a task is put")
def cancel_slot(context: Context) -> None:
    context.taken = []

    async def main() -> None:
        scope = anyio.CancelScope()

        async def take() -> None:
            with scope:
                context.taken.append(await context.bench.queue.take("u0"))

        async with anyio.create_task_group() as group:
            group.start_soon(take)
            await anyio.wait_all_tasks_blocked()
            scope.cancel()
            context.bench.queue.put(context.bench.make_job(1))

    anyio.run(main)


@then("{count:d} dispatch tasks are queued or taken")
def check_kept(context: Context, count: int) -> None:
    assert context.bench.queue.queued + len(context.taken) == count
    assert context.bench.queue.free == 0


@when("a dispatch task is put back by whichever upstream takes it")
def exhaust_attempts(context: Context) -> None:
    bench, context.attempts, context.last = context.bench, 0, None
    bench.queue.put(bench.make_job(1))
    while context.last is None and context.attempts <= 2 * MAX_ATTEMPTS:
        task = next(filter(None, (bench.take(f"u{i}") for i in range(3))), None)
        if task is None:
            bench.now += 0.1
            bench.queue.expire()
            continue
        context.attempts += 1
        context.last = bench.queue.put_back(task)


@then('the dispatch task ends as "{cause}" after {attempts:d} attempts')
def check_exhausted(context: Context, cause: str, attempts: int) -> None:
    assert context.last == NotRun(Cause(cause), context.last.upstream), context.last
    assert (context.attempts, context.bench.queue.queued) == (attempts, 0)


@when('a dispatch task is put back by upstream "{upstream}"')
def put_back_once(context: Context, upstream: str) -> None:
    context.bench.queue.put(context.bench.make_job(1))
    task = context.bench.take(upstream)
    assert task is not None
    assert context.bench.queue.put_back(task) is None


@then('dispatch upstream "{refused}" gets no task and upstream "{served}" gets one')
def check_avoided(context: Context, refused: str, served: str) -> None:
    assert context.bench.take(refused) is None
    assert context.bench.take(served) is not None


@when('dispatch teams "{teams}" put {tasks:d} tasks each and all slots take')
def put_teams(context: Context, teams: str, tasks: int) -> None:
    for team in teams.split(","):
        context.bench.queue.put(context.bench.make_job(tasks, team=team))
    assert context.bench.queue.expire() == ()  # finds the fair shares of this moment
    context.bench.take_all()


@when('a dispatch peer pulls {pulled:d} of {tasks:d} tasks of team "{team}" and all slots take')
def pull_tasks(context: Context, pulled: int, tasks: int, team: str) -> None:
    context.bench.queue.put(context.bench.make_job(tasks, team=team))
    assert len(context.bench.queue.take_batch(pulled)) == pulled
    context.bench.take_all()


@when('dispatch team "{team}" fills all slots with single requests for {seconds:d} s')
def fill_slots(context: Context, team: str, seconds: int) -> None:
    bench = context.bench
    for _ in range(seconds * bench.upstreams * bench.slots * 2):
        bench.queue.put(bench.make_job(1, team=team))
    bench.take_all()
    for _ in range(seconds):
        bench.now += 1.0
        finish_oldest(bench, len(bench.running))
        bench.queue.expire()


@when('dispatch team "{team}" puts a job of {tasks:d} and {slots:d} slots come free')
def free_slots(context: Context, team: str, tasks: int, slots: int) -> None:
    context.bench.queue.put(context.bench.make_job(tasks, team=team))
    context.bench.queue.expire()  # finds the fair shares of this moment
    finish_oldest(context.bench, slots)


def finish_oldest(bench: Bench, tasks: int) -> None:
    """End the tasks that have run longest and take on each slot as it comes free."""
    for _ in range(tasks):
        bench.queue.finish(bench.running.pop(0), DONE, 0.3)
        bench.take_all()


@when('dispatch route "{route}" puts {tasks:d} tasks and all slots take')
def put_route(context: Context, route: str, tasks: int) -> None:
    context.bench.queue.put(context.bench.make_job(tasks, route=route))
    context.bench.take_all()


@when('dispatch route "{first}" and then "{second}" put {tasks:d} tasks each and all slots take')
def put_routes(context: Context, first: str, second: str, tasks: int) -> None:
    for route in (first, second):
        context.bench.queue.put(context.bench.make_job(tasks, route=route))
    context.bench.take_all()


@then('dispatch teams run "{expected}"')
def check_teams(context: Context, expected: str) -> None:
    assert count_running(context.bench, "team") == expected, count_running(context.bench, "team")


@then('dispatch routes run "{expected}"')
def check_routes(context: Context, expected: str) -> None:
    assert count_running(context.bench, "route") == expected, count_running(context.bench, "route")


@when('dispatch route "{slow}" puts 1 task and "{quick}" {tasks:d}, taken one after the other')
def take_in_turn(context: Context, slow: str, quick: str, tasks: int) -> None:
    bench = context.bench
    bench.queue.put(bench.make_job(1, route=slow))
    bench.queue.put(bench.make_job(tasks, route=quick))
    context.order = []
    while (task := bench.take()) is not None:
        context.order.append(task.route)
        bench.queue.finish(task, DONE, 0.1)


@then('at most {passes:d} dispatch tasks start before the first of "{route}"')
def check_passes(context: Context, passes: int, route: str) -> None:
    assert context.order.index(route) <= passes, context.order.index(route)


@when("a dispatch job of {large:d} and then one of {small:d} are put")
def put_sizes(context: Context, large: int, small: int) -> None:
    for tasks in (large, small):
        context.bench.queue.put(context.bench.make_job(tasks, key=f"of {tasks}"))


@when(
    'dispatch job "{one}" with {first:g} s and job "{two}" with {second:g} s left are put,'
    " {tasks:d} tasks each"
)
def put_deadlines(
    context: Context, one: str, first: float, two: str, second: float, tasks: int
) -> None:
    for key, left_s in ((one, first), (two, second)):
        context.bench.queue.put(context.bench.make_job(tasks, key=key, left_s=left_s))


@then('the dispatch job "{key}" is taken first')
def check_first(context: Context, key: str) -> None:
    task = context.bench.take()
    assert task is not None, "nothing was taken"
    assert task.id.key == key, task.id


@given('dispatch upstream "{one}" has run tasks in {one_s:g} s and "{two}" in {two_s:g} s')
def teach_paces(context: Context, one: str, one_s: float, two: str, two_s: float) -> None:
    bench = context.bench
    for _ in range(40):
        for upstream, run_s in ((one, one_s), (two, two_s)):
            bench.queue.put(bench.make_job(1))
            bench.now += 1.0  # longer than a task waits for a faster slot
            task = bench.take(upstream)
            assert task is not None
            bench.running.remove(task)
            bench.queue.finish(task, DONE, run_s)


@when("a dispatch task is put")
def put_one(context: Context) -> None:
    context.bench.queue.put(context.bench.make_job(1))


@when("{seconds:g} s pass for the dispatch queue")
def pass_time(context: Context, seconds: float) -> None:
    context.bench.now += seconds


@then('dispatch upstream "{upstream}" gets no task')
def check_none(context: Context, upstream: str) -> None:
    assert context.bench.take(upstream) is None


@then('dispatch upstream "{upstream}" gets one task')
def check_one(context: Context, upstream: str) -> None:
    assert context.bench.take(upstream) is not None


@when("dispatch jobs of {tasks:d} tasks are admitted until one is refused")
def admit_until_refused(context: Context, tasks: int) -> None:
    bench = context.bench
    bench.run("r", 0.3, 0.3)
    while isinstance(answer := admit(bench, tasks), Admitted):
        assert bench.queue.queued < 5000, "nothing was refused"
        bench.queue.put(bench.make_job(tasks, left_s=10.0))
    context.refused = answer


def admit(bench: Bench, tasks: int) -> Admitted | Refused:
    """Ask twice at one moment, since the first refusal of a second is turned into a probe."""
    bench.queue.admit(bench.make_job(tasks, left_s=10.0))
    return bench.queue.admit(bench.make_job(tasks, left_s=10.0))


@then('the dispatch refusal is "{cause}" and after its Retry-After of work a job is admitted')
def check_retry_after(context: Context, cause: str) -> None:
    bench, refused = context.bench, context.refused
    assert refused.cause == cause, refused
    assert refused.retry_after_s > 0, refused
    assert isinstance(admit(bench, 30), Refused)
    until = bench.now + refused.retry_after_s
    bench.take_all()
    while bench.now < until:
        bench.now += 0.3
        for task in bench.running:
            bench.queue.finish(task, DONE, 0.3)
        bench.running.clear()
        bench.take_all()
    assert isinstance(admit(bench, 30), Admitted), admit(bench, 30)


@when(
    'dispatch route "{route}" asks for admission {times:d} times in {length:g} s'
    " with a window of {window:g} s"
)
def ask_often(context: Context, route: str, times: int, length: float, window: float) -> None:
    context.answers = []
    for _ in range(times):
        context.bench.now += length / times
        job = context.bench.make_job(1, route=route, left_s=window)
        context.answers.append(context.bench.queue.admit(job))


@then('between {low:d} and {high:d} dispatch submissions are admitted and the others "{cause}"')
def check_answers(context: Context, low: int, high: int, cause: str) -> None:
    refused = [answer for answer in context.answers if isinstance(answer, Refused)]
    assert low <= len(context.answers) - len(refused) <= high, len(refused)
    assert {answer.cause for answer in refused} == {cause}


@dataclass
class History:
    """Hold what the queue must hold: the queued and the running tasks."""

    bench: Bench
    queued: set[TaskId] = field(default_factory=set)
    running: deque[Task] = field(default_factory=deque)

    def start(self, tasks: tuple[Task, ...]) -> None:
        """Check that the tasks were queued, and count them as running."""
        for task in tasks:
            assert task.id in self.queued, f"{task.id} was handed out twice"
            self.queued.remove(task.id)
            self.running.append(task)

    def remove(self, tasks: tuple[Task, ...]) -> None:
        """Check that the tasks were queued, and forget them."""
        assert {task.id for task in tasks} <= self.queued
        self.queued -= {task.id for task in tasks}

    def apply(self, action: str, number: int) -> None:
        """Apply one action and check the figures of the queue."""
        bench, queue = self.bench, self.bench.queue
        match action:
            case "put":
                job = bench.make_job(number + 1, f"t{number % 3}", f"r{number % 2}", left_s=number)
                self.queued |= {task.id for task in job}
                queue.put(job)
            case "take":
                task = bench.take(f"u{number % bench.upstreams}")
                self.start((task,) if task else ())
            case "batch":
                self.start(queue.take_batch(number))
            case "put back" if self.running:
                task = self.running.popleft()
                if queue.put_back(task) is None:
                    self.queued.add(task.id)
            case "finish" if self.running:
                queue.finish(self.running.popleft(), DONE, 0.01 * 9**number)
            case "cancel":
                key = f"k{max(1, bench.serial - number)}"
                cancelled = queue.cancel(key)
                assert {task.id for task in cancelled} == {i for i in self.queued if i.key == key}
                self.remove(cancelled)
            case "wait":
                bench.now += number
                expired = queue.expire()
                assert all(task.deadline <= bench.now for task in expired)
                self.remove(expired)
            case "slots":
                queue.slots_changed(8 + number, number)
        assert queue.queued == len(self.queued), (action, queue.queued, len(self.queued))
        snapshot = queue.snapshot()
        assert snapshot.running == len(self.running)
        assert queue.free == 0
        assert sum(team.running for team in snapshot.teams) == snapshot.running


@then("dispatch histories of any order lose no task and hand out none twice")
def check_histories(context: Context) -> None:
    names = ("put", "take", "take", "batch", "put back", "finish", "cancel", "wait", "slots")
    actions = strategies.tuples(strategies.sampled_from(names), strategies.integers(0, 4))

    @seed(7)
    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given_any(strategies.lists(actions, min_size=5, max_size=40))
    def check(history: list[tuple[str, int]]) -> None:
        state: Any = History(Bench(2, 4, (Quota("t1", 2.0, 0.25),)))
        for action, number in history:
            state.apply(action, number)
        state.apply("wait", 10)
        assert not state.queued, "a task outlived its deadline"

    check()
