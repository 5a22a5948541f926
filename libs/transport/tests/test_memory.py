"""Tests of the budget of the bytes of request bodies."""

import hypothesis
from hypothesis import strategies
import pytest

from filbertlift_transport import memory

SMALL = memory.SMALL_BODY_BYTES
LARGE = 60_000_000


@pytest.fixture
def budget():
    return memory.MemoryBudget(100_000_000, 10_000_000)


@pytest.fixture
def granted():
    return []


def test_bodies_beyond_the_limit_wait_in_order(budget, granted):
    first = budget.take(LARGE, lambda: None)
    budget.take(LARGE, lambda: granted.append(2))
    budget.take(LARGE, lambda: granted.append(3))
    assert first.is_granted
    assert granted == []
    first.release()
    assert granted == [2]
    assert (budget.used_bytes, budget.waiting, budget.waited) == (LARGE, 1, 2)


def test_a_small_body_does_not_wait_behind_large_ones(budget):
    budget.take(LARGE, lambda: None)
    assert not budget.take(LARGE, lambda: None).is_granted
    assert budget.take(SMALL, lambda: None).is_granted


def test_large_bodies_leave_the_reserved_share(budget):
    """Guards against a budget that large bodies use up for small ones."""
    budget.take(90_000_000, lambda: None)
    assert not budget.take(SMALL + 1, lambda: None).is_granted
    assert budget.take(SMALL, lambda: None).is_granted


def test_a_body_that_never_fits_does_not_wait(budget):
    assert budget.take(90_000_001, lambda: None) is None
    assert (budget.refused, budget.waiting) == (1, 0)


def test_a_wait_that_was_given_up_does_not_block_the_next(budget, granted):
    first = budget.take(LARGE, lambda: None)
    second = budget.take(LARGE, lambda: granted.append(2))
    budget.take(20_000_000, lambda: granted.append(3))
    second.release()
    assert granted == [3]
    first.release()
    first.release()
    assert budget.used_bytes == 20_000_000


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["take", "release", "shrink"]),
            strategies.integers(0, 120),
        ),
        max_size=60,
    )
)
def test_the_granted_bytes_never_exceed_the_limit(steps):
    budget = memory.MemoryBudget(100 * SMALL, 10 * SMALL)
    grants = []
    for step, number in steps:
        if step == "take":
            grant = budget.take(number * SMALL, lambda: None)
            if grant is not None:
                grants.append(grant)
        elif grants and step == "release":
            grants.pop(number % len(grants)).release()
        elif grants:
            grants[number % len(grants)].shrink(number * SMALL // 2)
        used = sum(grant.size for grant in grants if grant.is_granted)
        assert budget.used_bytes == used <= budget.limit_bytes
    for grant in grants:
        grant.release()
    assert (budget.used_bytes, budget.waiting) == (0, 0)
