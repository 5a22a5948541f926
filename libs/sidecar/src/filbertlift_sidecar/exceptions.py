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
