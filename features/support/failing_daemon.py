"""Run a daemon in which the handling of one route meets a fault of its own."""

import sys

from fireflybridge_core import Answer, Submission
from fireflybridge_daemon._main import main
from fireflybridge_daemon._submissions import Submissions

FAILING_ROUTE = "failing"

submit = Submissions.submit


async def fail_on_route(self: Submissions, submission: Submission) -> Answer:
    """Raise what no caller of ``submit`` expects, for one route."""
    if submission.route == FAILING_ROUTE:
        raise LookupError(submission.key)
    return await submit(self, submission)


if __name__ == "__main__":
    Submissions.submit = fail_on_route  # type: ignore[method-assign]
    sys.exit(main())
