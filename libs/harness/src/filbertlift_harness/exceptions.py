"""Errors of the harness."""

from filbertlift_core import exceptions


class HarnessError(exceptions.FilbertliftError):
    """A process, a page or a check failed, so the run cannot go on."""

    code = "FL-HARNESS"
