"""Errors of the node beside a target."""

from filbertlift_core import exceptions


class SidecarError(exceptions.FilbertliftError):
    """Base of the errors of this library."""

    code = "FL-SIDECAR"


class FrameError(SidecarError):
    """A peer sent bytes that are no message of the protocol."""

    code = "FL-SIDECAR-FRAME"


class HandoverError(SidecarError):
    """A configuration that a peer handed over cannot be read."""

    code = "FL-SIDECAR-HANDOVER"
