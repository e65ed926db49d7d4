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

    ``starting_states`` counts the states after a start, which shows a model that never starts
    anything.
    """

    states: int
    starting_states: int
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
    starting_states = 0
    while stack:
        state = stack.pop()
        starting_states += state.starts > 0
        for successor in list_successors(state, rule, submissions):
            if successor.violation:
                return SearchResult(len(seen), starting_states, successor.violation)
            if successor not in seen:
                seen.add(successor)
                stack.append(successor)
        if len(seen) > max_states:
            return SearchResult(
                len(seen), starting_states, f"search stopped at {max_states} states"
            )
    return SearchResult(len(seen), starting_states, "")
