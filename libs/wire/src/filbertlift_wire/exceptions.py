"""Errors of the codec."""

from filbertlift_core import exceptions


class WireError(exceptions.FilbertliftError):
    """Bytes or a message that the protocol does not allow.

    Attributes:
        reason: one of `malformed`, `too-large`, `unknown-kind`,
            `out-of-range` and `other-cluster`.
    """

    code = "FL-WIRE"

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(f"{reason}: {message}")
        self.reason = reason
