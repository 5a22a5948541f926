"""Hypothesis profiles: `ci` repeats its examples, `fuzz` draws new ones."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile(
    "fuzz", deadline=None, max_examples=1000, stateful_step_count=80
)
# Mutation checks only need a failing example, so it is not shrunk.
hypothesis.settings.register_profile(
    "mutations",
    derandomize=True,
    deadline=None,
    max_examples=1000,
    stateful_step_count=80,
    database=None,
    phases=[hypothesis.Phase.generate],
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
