"""Errors of the distribution library."""

from filbertlift_core import exceptions


class DistributionError(exceptions.FilbertliftError):
    """A version cannot be taken."""

    code = "FL-DISTRIBUTION"


class VersionConflict(DistributionError):  # noqa: N818
    """Two snapshots have the same version and different contents."""

    code = "FL-VERSION-CONFLICT"
