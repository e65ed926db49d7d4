"""Run a daemon in which submissions to one route raise an unexpected exception."""

import sys

from fireflybridge_core import Answer, Submission
from fireflybridge_daemon._main import main
from fireflybridge_daemon._submissions import Submissions

FAILING_ROUTE = "failing"

original_submit = Submissions.submit


async def fail_on_route(self: Submissions, submission: Submission) -> Answer:
    """Raise an exception that no caller of ``submit`` handles if the route is the failing one."""
    if submission.route == FAILING_ROUTE:
        raise LookupError(submission.key)
    return await original_submit(self, submission)


if __name__ == "__main__":
    Submissions.submit = fail_on_route  # type: ignore[method-assign]
    sys.exit(main())
