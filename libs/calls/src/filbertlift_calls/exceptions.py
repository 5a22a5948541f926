"""Errors of the call decisions; each means a fault of the calling code."""

from filbertlift_core import exceptions


class CallError(exceptions.FilbertliftError):
    """A decision on a call was asked for in a state that does not allow it."""

    code = "FL-CALL"


class KeeperError(CallError):
    """An event names a call that the keeper does not hold in that state."""

    code = "FL-CALL-KEEPER"


class AdmissionError(CallError):
    """A slot was released that was not held, or a limit is not valid."""

    code = "FL-CALL-ADMISSION"


class ChoiceError(CallError):
    """An event names a target that is not in the view of the service."""

    code = "FL-CALL-CHOICE"
