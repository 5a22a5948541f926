"""Hypothesis profiles: CI repeats the same examples, fuzz draws new ones."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.register_profile(
    "fuzz", deadline=None, max_examples=1000, stateful_step_count=80
)
# A planted fault only has to be found, not shown in its shortest form.
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
