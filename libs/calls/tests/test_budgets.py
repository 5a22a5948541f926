"""Tests of the retry and link budgets."""

from filbertlift_calls import budgets


def test_retries_stay_a_tenth_of_the_calls() -> None:
    """Guards against retries that double the load of a failing service."""
    budget = budgets.RetryBudget.create(0.0)
    taken = 0
    for step in range(10_000):
        budget.note_call()
        taken += budget.take(step / 1_000)
    assert 1_000 <= taken <= 1_000 + budgets.BURST + 10 + 1


def test_link_budget_refuses_and_refills() -> None:
    """Guards against a burst that occupies the paid link for seconds."""
    budget = budgets.LinkBudget.create(1_000.0, 0.0)
    assert budget.take(1_000, 0.0)
    assert not budget.take(1, 0.0)
    budget.charge(500, 0.0)
    assert not budget.take(100, 0.5)
    assert budget.take(100, 0.7)
