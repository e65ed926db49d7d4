"""Exhaustive search of the claim model."""

from dataclasses import dataclass

from fireflybridge_standins.claim_probe._model import Rule, State, list_next, make_initial


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold what a search found; ``violation`` is empty when every reachable state is right.

    ``starting_states`` counts states in which the submission was started, so that a model that
    never starts anything is noticed.
    """

    states: int
    starting_states: int
    violation: str


def search_model(rule: Rule, faults: int, submissions: int, max_states: int = 5_000_000) -> Verdict:
    """Visit every state reachable with at most that many faults and submissions.

    The search ends at the first violation, or at ``max_states`` with a violation that says so.
    """
    first = make_initial(faults)
    seen: set[State] = {first}
    stack = [first]
    starting = 0
    while stack:
        state = stack.pop()
        starting += state.starts > 0
        for following in list_next(state, rule, submissions):
            if following.violation:
                return Verdict(len(seen), starting, following.violation)
            if following not in seen:
                seen.add(following)
                stack.append(following)
        if len(seen) > max_states:
            return Verdict(len(seen), starting, f"search cut off at {max_states} states")
    return Verdict(len(seen), starting, "")
