"""Errors of the membership library."""

from filbertlift_core import exceptions


class MembershipError(exceptions.FilbertliftError):
    """A member table was used incorrectly."""

    code = "FL-MEMBERSHIP"
