"""Tests of decisions; test_at_most_once tests that the outcomes are true."""

from hypothesis import given
from hypothesis import strategies as st

from filbertlift_calls import codes
from filbertlift_calls import outcomes
from filbertlift_core import model

ATTEMPTS = st.builds(
    outcomes.Attempt,
    end=st.sampled_from(outcomes.AttemptEnd),
    code=st.sampled_from(sorted(codes.CODES)),
    retried=st.booleans(),
)
FACTS = st.builds(outcomes.CallFacts, time_left_s=st.sampled_from([-1.0, 1.0]))


@given(ATTEMPTS, FACTS)
def test_every_end_has_a_decision_that_fits_its_status(
    attempt: outcomes.Attempt, facts: outcomes.CallFacts
) -> None:
    """Guards against a status that contradicts the outcome."""
    decision = outcomes.decide(attempt, facts)
    if isinstance(decision, outcomes.RetryElsewhere):
        assert not attempt.retried
        assert facts.attempts_left > 0
    if not isinstance(decision, outcomes.Answer):
        return
    if decision.outcome is model.Outcome.UNKNOWN:
        assert decision.status in (502, 504)
    if decision.outcome is model.Outcome.NOT_RUN:
        assert decision.retried


def test_retries_do_not_multiply_over_15_levels() -> None:
    """Guards against 2**15 runs at the end of a failing chain of calls."""
    end = outcomes.AttemptEnd.NOT_RUN
    facts = outcomes.CallFacts(True, False, False, 1, True, 1.0)
    runs = 0

    def call(level: int) -> outcomes.Attempt:
        nonlocal runs
        runs += level == 15
        if level == 15:
            return outcomes.Attempt(end, codes.QUEUE_FULL)
        left = 1
        while True:
            attempt = call(level + 1)
            decision = outcomes.decide(attempt, facts)
            if isinstance(decision, outcomes.Answer) or not left:
                return outcomes.Attempt(end, attempt.code, retried=True)
            left -= 1

    call(0)
    assert runs == 2
