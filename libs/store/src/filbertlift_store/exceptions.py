"""Errors of the store library."""

from filbertlift_core import exceptions


class StoreError(exceptions.FilbertliftError):
    """Base of the errors of this library."""

    code = "FL-STORE"


# The design page names these errors without the suffix Error.
class StoreUnavailable(StoreError):  # noqa: N818
    """The call had no effect: the connection failed before it was sent."""

    code = "FL-STORE-UNAVAILABLE"


class StoreUncertain(StoreError):  # noqa: N818
    """The call may have taken effect or still may: no valid answer arrived."""

    code = "FL-STORE-UNCERTAIN"


class StoreConflict(StoreError):  # noqa: N818
    """The store answered that the key has another revision."""

    code = "FL-STORE-CONFLICT"


class LeaseLost(StoreError):  # noqa: N818
    """The lease has lapsed."""

    code = "FL-STORE-LEASE"


class StoreIncomplete(StoreError):  # noqa: N818
    """Parts of a version were missing or damaged at every attempt."""

    code = "FL-STORE-INCOMPLETE"
