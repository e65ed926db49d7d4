"""Steps for the dispatch policy, with a pool queue on a clock that the steps set."""

from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

import anyio
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_examples
from hypothesis import seed, settings, strategies
from support.dispatch import DONE, QueueFixture

from fireflybridge_core import Cause, NotRun, Task, TaskId
from fireflybridge_dispatch import MAX_ATTEMPTS, Admitted, NotAdmitted
from fireflybridge_tables import Quota


def count_running(fixture: QueueFixture, by: str) -> str:
    counts = Counter(getattr(task, by) for task in fixture.running)
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


@given("a dispatch pool of {upstreams:d} upstreams with {slots:d} slots")
def make_fixture(context: Context, upstreams: int, slots: int) -> None:
    context.fixture = QueueFixture(upstreams, slots)


@given('dispatch team "{team}" has weight {weight:d} and at most {share:f} of the slots')
def set_quota(context: Context, team: str, weight: int, share: float) -> None:
    context.fixture.quotas = (Quota(team, weight, share),)
    context.fixture.queue.configure(context.fixture.make_pool())


@given(
    'dispatch route "{slow}" declares {slow_s:g} s but ran for {slow_run_s:g} s'
    ' and route "{quick}" declares {quick_s:g} s but ran for {quick_run_s:g} s'
)
def train_routes(
    context: Context,
    slow: str,
    slow_s: float,
    slow_run_s: float,
    quick: str,
    quick_s: float,
    quick_run_s: float,
) -> None:
    for _ in range(4):
        context.fixture.run(quick, quick_s, quick_run_s)
        context.fixture.run(slow, slow_s, slow_run_s, times=10)


@when("a dispatch slot is cancelled as a task is queued")
def cancel_slot(context: Context) -> None:
    context.taken = []

    async def main() -> None:
        scope = anyio.CancelScope()

        async def take() -> None:
            with scope:
                context.taken.append(await context.fixture.queue.take("u0"))

        async with anyio.create_task_group() as group:
            group.start_soon(take)
            await anyio.wait_all_tasks_blocked()
            scope.cancel()
            context.fixture.queue.put(context.fixture.make_job(1))

    anyio.run(main)


@then("{count:d} dispatch tasks are queued or taken")
def check_kept(context: Context, count: int) -> None:
    assert context.fixture.queue.queued + len(context.taken) == count
    assert context.fixture.queue.free == 0


@when("a dispatch task is put back by whichever upstream takes it")
def put_back_until_end(context: Context) -> None:
    fixture, context.attempts, context.final_outcome = context.fixture, 0, None
    fixture.queue.put(fixture.make_job(1))
    while context.final_outcome is None and context.attempts <= 2 * MAX_ATTEMPTS:
        task = next(filter(None, (fixture.take(f"u{i}") for i in range(3))), None)
        if task is None:
            fixture.now += 0.1
            fixture.queue.expire()
            continue
        context.attempts += 1
        context.final_outcome = fixture.queue.put_back(task)


@then('the dispatch task ends as "{cause}" after {attempts:d} attempts')
def check_exhausted(context: Context, cause: str, attempts: int) -> None:
    assert context.final_outcome == NotRun(
        Cause(cause), context.final_outcome.upstream
    ), context.final_outcome
    assert (context.attempts, context.fixture.queue.queued) == (attempts, 0)


@when('a dispatch task is put back by upstream "{upstream}"')
def put_back_once(context: Context, upstream: str) -> None:
    context.fixture.queue.put(context.fixture.make_job(1))
    task = context.fixture.take(upstream)
    assert task is not None
    assert context.fixture.queue.put_back(task) is None


@then('dispatch upstream "{refused}" gets no task and upstream "{served}" gets one')
def check_avoided(context: Context, refused: str, served: str) -> None:
    assert context.fixture.take(refused) is None
    assert context.fixture.take(served) is not None


@when('dispatch teams "{teams}" queue {tasks:d} tasks each and all slots take tasks')
def queue_for_teams(context: Context, teams: str, tasks: int) -> None:
    for team in teams.split(","):
        context.fixture.queue.put(context.fixture.make_job(tasks, team=team))
    assert context.fixture.queue.expire() == ()  # updates the fair shares
    context.fixture.take_all()


@when(
    'a dispatch peer pulls {pulled:d} of {tasks:d} tasks of team "{team}" and all slots take tasks'
)
def pull_tasks(context: Context, pulled: int, tasks: int, team: str) -> None:
    context.fixture.queue.put(context.fixture.make_job(tasks, team=team))
    assert len(context.fixture.queue.take_batch(pulled)) == pulled
    context.fixture.take_all()


@when('dispatch team "{team}" fills all slots with single requests for {seconds:d} s')
def keep_slots_full(context: Context, team: str, seconds: int) -> None:
    fixture = context.fixture
    for _ in range(seconds * fixture.upstreams * fixture.slots * 2):
        fixture.queue.put(fixture.make_job(1, team=team))
    fixture.take_all()
    for _ in range(seconds):
        fixture.now += 1.0
        finish_oldest(fixture, len(fixture.running))
        fixture.queue.expire()


@when('dispatch team "{team}" queues a job of {tasks:d} and {slots:d} slots become free')
def free_slots(context: Context, team: str, tasks: int, slots: int) -> None:
    context.fixture.queue.put(context.fixture.make_job(tasks, team=team))
    context.fixture.queue.expire()  # updates the fair shares
    finish_oldest(context.fixture, slots)


def finish_oldest(fixture: QueueFixture, tasks: int) -> None:
    """Finish the tasks that have run longest, and take a task on each slot as it becomes free."""
    for _ in range(tasks):
        fixture.queue.finish(fixture.running.pop(0), DONE, 0.3)
        fixture.take_all()


@when('dispatch route "{route}" queues {tasks:d} tasks and all slots take tasks')
def queue_for_route(context: Context, route: str, tasks: int) -> None:
    context.fixture.queue.put(context.fixture.make_job(tasks, route=route))
    context.fixture.take_all()


@when(
    'dispatch route "{first}" and then "{second}" queue {tasks:d} tasks each'
    " and all slots take tasks"
)
def queue_for_routes(context: Context, first: str, second: str, tasks: int) -> None:
    for route in (first, second):
        context.fixture.queue.put(context.fixture.make_job(tasks, route=route))
    context.fixture.take_all()


@then('dispatch teams run "{expected}"')
def check_teams(context: Context, expected: str) -> None:
    assert count_running(context.fixture, "team") == expected, count_running(
        context.fixture, "team"
    )


@then('dispatch routes run "{expected}"')
def check_routes(context: Context, expected: str) -> None:
    assert count_running(context.fixture, "route") == expected, count_running(
        context.fixture, "route"
    )


@when('dispatch route "{slow}" queues 1 task and "{quick}" {tasks:d}, taken one after the other')
def take_one_by_one(context: Context, slow: str, quick: str, tasks: int) -> None:
    fixture = context.fixture
    fixture.queue.put(fixture.make_job(1, route=slow))
    fixture.queue.put(fixture.make_job(tasks, route=quick))
    context.order = []
    while (task := fixture.take()) is not None:
        context.order.append(task.route)
        fixture.queue.finish(task, DONE, 0.1)


@then('at most {overtakes:d} dispatch tasks start before the first of "{route}"')
def check_overtakes(context: Context, overtakes: int, route: str) -> None:
    assert context.order.index(route) <= overtakes, context.order.index(route)


@when("a dispatch job of {large:d} and then one of {small:d} are queued")
def queue_sizes(context: Context, large: int, small: int) -> None:
    for tasks in (large, small):
        context.fixture.queue.put(context.fixture.make_job(tasks, key=f"of {tasks}"))


@when(
    'dispatch job "{one}" with {first:g} s and job "{two}" with {second:g} s'
    " to the deadline are queued, {tasks:d} tasks each"
)
def queue_jobs(
    context: Context, one: str, first: float, two: str, second: float, tasks: int
) -> None:
    for key, window_s in ((one, first), (two, second)):
        context.fixture.queue.put(context.fixture.make_job(tasks, key=key, window_s=window_s))


@then('the dispatch job "{key}" is taken first')
def check_first(context: Context, key: str) -> None:
    task = context.fixture.take()
    assert task is not None, "nothing was taken"
    assert task.id.key == key, task.id


@given('dispatch upstream "{one}" has run tasks in {one_s:g} s and "{two}" in {two_s:g} s')
def train_upstreams(context: Context, one: str, one_s: float, two: str, two_s: float) -> None:
    fixture = context.fixture
    for _ in range(40):
        for upstream, run_s in ((one, one_s), (two, two_s)):
            fixture.queue.put(fixture.make_job(1))
            fixture.now += 1.0  # longer than the wait of a task for a faster slot
            task = fixture.take(upstream)
            assert task is not None
            fixture.running.remove(task)
            fixture.queue.finish(task, DONE, run_s)


@when("a dispatch task is queued")
def queue_task(context: Context) -> None:
    context.fixture.queue.put(context.fixture.make_job(1))


@when("{seconds:g} s pass for the dispatch queue")
def pass_time(context: Context, seconds: float) -> None:
    context.fixture.now += seconds


@then('dispatch upstream "{upstream}" gets no task')
def check_none(context: Context, upstream: str) -> None:
    assert context.fixture.take(upstream) is None


@then('dispatch upstream "{upstream}" gets one task')
def check_one(context: Context, upstream: str) -> None:
    assert context.fixture.take(upstream) is not None


@when("dispatch jobs of {tasks:d} tasks are admitted until one is refused")
def admit_until_refused(context: Context, tasks: int) -> None:
    fixture = context.fixture
    fixture.run("r", 0.3, 0.3)
    while isinstance(answer := admit(fixture, tasks), Admitted):
        assert fixture.queue.queued < 5000, "nothing was refused"
        fixture.queue.put(fixture.make_job(tasks, window_s=10.0))
    context.refused = answer


def admit(fixture: QueueFixture, tasks: int) -> Admitted | NotAdmitted:
    """Ask twice at the same time, since the first refusal in a second becomes a trial admission."""
    fixture.queue.admit(fixture.make_job(tasks, window_s=10.0))
    return fixture.queue.admit(fixture.make_job(tasks, window_s=10.0))


@then('the dispatch refusal is "{cause}" and after its Retry-After of work a job is admitted')
def check_retry_after(context: Context, cause: str) -> None:
    fixture, refused = context.fixture, context.refused
    assert refused.cause == cause, refused
    assert refused.retry_after_s > 0, refused
    assert isinstance(admit(fixture, 30), NotAdmitted)
    end = fixture.now + refused.retry_after_s
    fixture.take_all()
    while fixture.now < end:
        fixture.now += 0.3
        for task in fixture.running:
            fixture.queue.finish(task, DONE, 0.3)
        fixture.running.clear()
        fixture.take_all()
    assert isinstance(admit(fixture, 30), Admitted), admit(fixture, 30)


@when(
    'dispatch route "{route}" asks for admission {times:d} times in {length:g} s'
    " with a window of {window:g} s"
)
def request_admissions(
    context: Context, route: str, times: int, length: float, window: float
) -> None:
    context.answers = []
    for _ in range(times):
        context.fixture.now += length / times
        job = context.fixture.make_job(1, route=route, window_s=window)
        context.answers.append(context.fixture.queue.admit(job))


@then('between {low:d} and {high:d} dispatch submissions are admitted and the others "{cause}"')
def check_answers(context: Context, low: int, high: int, cause: str) -> None:
    refused = [answer for answer in context.answers if isinstance(answer, NotAdmitted)]
    assert low <= len(context.answers) - len(refused) <= high, len(refused)
    assert {answer.cause for answer in refused} == {cause}


@dataclass
class QueueModel:
    """Model of the queue: the tasks that must be queued, and those that must be running."""

    fixture: QueueFixture
    queued: set[TaskId] = field(default_factory=set)
    running: deque[Task] = field(default_factory=deque)

    def start(self, tasks: tuple[Task, ...]) -> None:
        """Check that the tasks were queued, and move them to the running ones."""
        for task in tasks:
            assert task.id in self.queued, f"{task.id} was started twice"
            self.queued.remove(task.id)
            self.running.append(task)

    def remove(self, tasks: tuple[Task, ...]) -> None:
        """Check that the tasks were queued, and remove them."""
        assert {task.id for task in tasks} <= self.queued
        self.queued -= {task.id for task in tasks}

    def apply(self, operation: str, number: int) -> None:
        """Apply one operation to the queue and the model, and compare their counts."""
        fixture, queue = self.fixture, self.fixture.queue
        match operation:
            case "put":
                job = fixture.make_job(
                    number + 1, f"t{number % 3}", f"r{number % 2}", window_s=number
                )
                self.queued |= {task.id for task in job}
                queue.put(job)
            case "take":
                task = fixture.take(f"u{number % fixture.upstreams}")
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
                key = f"k{max(1, fixture.serial - number)}"
                cancelled = queue.cancel(key)
                assert {task.id for task in cancelled} == {i for i in self.queued if i.key == key}
                self.remove(cancelled)
            case "wait":
                fixture.now += number
                expired = queue.expire()
                assert all(task.deadline <= fixture.now for task in expired)
                self.remove(expired)
            case "slots":
                queue.set_slots(8 + number, number)
        assert queue.queued == len(self.queued), (operation, queue.queued, len(self.queued))
        snapshot = queue.snapshot()
        assert snapshot.running == len(self.running)
        assert queue.free == 0
        assert sum(team.running for team in snapshot.teams) == snapshot.running


@then("any sequence of dispatch operations loses no task and starts none twice")
def check_random_operations(context: Context) -> None:
    names = ("put", "take", "take", "batch", "put back", "finish", "cancel", "wait", "slots")
    operations_strategy = strategies.tuples(
        strategies.sampled_from(names), strategies.integers(0, 4)
    )

    @seed(7)
    @settings(derandomize=True, database=None, deadline=None, max_examples=150)
    @given_examples(strategies.lists(operations_strategy, min_size=5, max_size=40))
    def check(operations: list[tuple[str, int]]) -> None:
        model: Any = QueueModel(QueueFixture(2, 4, (Quota("t1", 2.0, 0.25),)))
        for operation, number in operations:
            model.apply(operation, number)
        model.apply("wait", 10)
        assert not model.queued, "a task outlived its deadline"

    check()
