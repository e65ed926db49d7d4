"""Hypothesis settings that give the same examples on every run."""

from collections.abc import Callable

from hypothesis import HealthCheck, Phase, settings


def deterministic_settings(examples: int) -> Callable[..., object]:
    """Return settings for a number of generated examples without shrinking or deadlines."""
    return settings(
        max_examples=examples,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
    )
