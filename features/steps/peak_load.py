"""Steps for the decisions of a leader at peak load."""

from behave import then, when
from behave.runner import Context
from support.peak import KINDS, PeakJob, PeakModel, generate_jobs


@when("a leader plays {seconds:d} s of peak load with the seeds {first:d} to {last:d}")
def play(context: Context, seconds: int, first: int, last: int) -> None:
    context.played = [
        job
        for seed in range(first, last + 1)
        for job in PeakModel().play(generate_jobs(seed, seconds))
    ]


@then(
    "of each kind the largest tenth and the fifth below it are served at least half as often as all"
)
def check_sizes(context: Context) -> None:
    for kind in KINDS:
        jobs = [job for job in context.played if job.kind is kind]
        jobs.sort(key=lambda job: job.total_work, reverse=True)
        tenth = len(jobs) // 10
        all_served = compute_served_share(jobs)
        for name, largest in (
            ("largest tenth", jobs[:tenth]),
            ("fifth below it", jobs[tenth : 3 * tenth]),
        ):
            served = compute_served_share(largest)
            message = f"{kind.route}: {served:.3f} of the {name}, {all_served:.3f} of all"
            assert served >= all_served / 2, message


def compute_served_share(jobs: list[PeakJob]) -> float:
    return sum(job.served for job in jobs) / len(jobs)
