"""Tests of the series of steps."""

import random

from filbertlift_soak import faults
from filbertlift_soak import steps


def test_a_seed_yields_the_same_steps():
    first = steps.draw_steps(random.Random(7), 40, 9)
    assert first == steps.draw_steps(random.Random(7), 40, 9)
    assert first != steps.draw_steps(random.Random(8), 40, 9)


def test_every_step_has_a_method():
    """Guards against a step without a method that carries it out."""
    for name in steps.WEIGHTS:
        assert hasattr(faults.FaultInjector, f"_{name}")


def test_some_steps_overlap():
    plan = steps.draw_steps(random.Random(1), 40, 9)
    pairs = zip(plan, plan[1:], strict=False)
    assert any(one.at_s + one.seconds > other.at_s for one, other in pairs)
