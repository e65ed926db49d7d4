"""Replays generated traces of jobs against daemons and against baseline dispatchers."""

from fireflybridge_standins.bench._baselines import (
    Baseline,
    LeastOutstanding,
    RandomChoice,
    RoundRobin,
    SharedFifo,
)
from fireflybridge_standins.bench._plot import plot_summaries
from fireflybridge_standins.bench._replay import replay_baseline, replay_daemons
from fireflybridge_standins.bench._results import Summary, summarize
from fireflybridge_standins.bench._trace import (
    JOB_KINDS,
    PEAK_END_SHARE,
    PEAK_START_SHARE,
    SLOTS_PER_WORKER,
    SPEEDS,
    WORKERS,
    digest_trace,
    make_trace,
)

__all__ = [
    "JOB_KINDS",
    "PEAK_END_SHARE",
    "PEAK_START_SHARE",
    "SLOTS_PER_WORKER",
    "SPEEDS",
    "WORKERS",
    "Baseline",
    "LeastOutstanding",
    "RandomChoice",
    "RoundRobin",
    "SharedFifo",
    "Summary",
    "digest_trace",
    "make_trace",
    "plot_summaries",
    "replay_baseline",
    "replay_daemons",
    "summarize",
]
