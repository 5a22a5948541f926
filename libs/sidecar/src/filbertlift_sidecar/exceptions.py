"""Errors of the sidecar library."""

from filbertlift_core import exceptions


class SidecarError(exceptions.FilbertliftError):
    """Base of the errors of this library."""

    code = "FL-SIDECAR"


class FrameError(SidecarError):
    """A peer sent bytes that are not a valid frame or message."""

    code = "FL-SIDECAR-FRAME"


class HandoverError(SidecarError):
    """A configuration that a peer sent cannot be decoded."""

    code = "FL-SIDECAR-HANDOVER"


class DatagramError(SidecarError):
    """A peer sent a datagram that is malformed as a whole."""

    code = "FL-SIDECAR-DATAGRAM"


class DepartureError(SidecarError):
    """A departure saved in the store cannot be decoded."""

    code = "FL-SIDECAR-DEPARTURE"


class AnswerError(SidecarError):
    """The head of a target's answer is malformed."""

    code = "FL-SIDECAR-ANSWER"
