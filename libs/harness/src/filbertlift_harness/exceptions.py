"""Errors of the harness."""

from filbertlift_core import exceptions


class HarnessError(exceptions.FilbertliftError):
    """A process, a page or a check did not do what the run needs."""

    code = "FL-HARNESS"
