"""Run hypothesis with the same examples each time."""

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, settings


def repeat(examples: int) -> Callable[..., object]:
    """Return the settings of a check with the same examples on every run."""
    return settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
    )
