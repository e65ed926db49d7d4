"""Model checker: exhaustive search of the states of the claim model."""

from dataclasses import dataclass

from fireflybridge_standins.claim_probe._model import (
    Rule,
    State,
    list_successors,
    make_initial_state,
)


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of a search; ``violation`` is empty if no reachable state violates the rules.

    ``states_after_start`` counts the states in which the submission has been started. It is low if
    the model never starts anything, so that a violation could not be found.
    """

    states: int
    states_after_start: int
    violation: str


def search_model(
    rule: Rule, faults: int, submissions: int, max_states: int = 5_000_000
) -> SearchResult:
    """Visit every state that is reachable with at most that many faults and submissions.

    The search ends at the first violation. Beyond ``max_states`` it ends with a violation too.
    """
    initial = make_initial_state(faults)
    seen: set[State] = {initial}
    stack = [initial]
    states_after_start = 0
    while stack:
        state = stack.pop()
        states_after_start += state.starts > 0
        for successor in list_successors(state, rule, submissions):
            if successor.violation:
                return SearchResult(len(seen), states_after_start, successor.violation)
            if successor not in seen:
                seen.add(successor)
                stack.append(successor)
        if len(seen) > max_states:
            return SearchResult(
                len(seen), states_after_start, f"search stopped at {max_states} states"
            )
    return SearchResult(len(seen), states_after_start, "")
