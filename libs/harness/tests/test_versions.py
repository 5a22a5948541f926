"""Tests of the checks of versions, and of the steps of the soak test."""

import random

from filbertlift_harness import steps
from filbertlift_harness import versions


def test_change_to_an_older_version_is_found() -> None:
    """Guards against a checker that forgets the versions of a node."""
    checker = versions.VersionChecker()
    for version in (1, 2, 2, 1):
        checker.observe("a", version, f"root{version}", True)
    assert len(checker.problems) == 1


def test_node_that_is_not_ready_is_not_checked() -> None:
    """Guards against a false problem for a node that restarts."""
    checker = versions.VersionChecker()
    checker.observe("a", 5, "r", True)
    checker.observe("a", 0, "", False)
    checker.observe("a", 5, "r", True)
    assert checker.problems == []


def test_two_contents_of_one_version_are_found() -> None:
    """Guards against a checker that misses nodes with different contents."""
    checker = versions.VersionChecker()
    checker.observe("a", 5, "r", True)
    checker.observe("b", 5, "s", True)
    assert len(checker.problems) == 1


def test_steps_follow_the_seed() -> None:
    """Guards against a failure that its seed does not reproduce."""
    drawn = steps.draw_steps(random.Random(3), 500, 14)
    assert drawn == steps.draw_steps(random.Random(3), 500, 14)
    assert {step.name for step in drawn} == set(steps._WEIGHTS)
    assert max(step.node for step in drawn) == 13
