"""Exceptions of the call logic; each indicates a bug in the calling code."""

from filbertlift_core import exceptions


class CallError(exceptions.FilbertliftError):
    """An operation on a call is not valid in its current state."""

    code = "FL-CALL"


class KeeperError(CallError):
    """An event names a call that the keeper does not hold in that state."""

    code = "FL-CALL-KEEPER"


class AdmissionError(CallError):
    """A released slot was not held, or a limit is not valid."""

    code = "FL-CALL-ADMISSION"


class ChoiceError(CallError):
    """A call ended at a target that has no call in flight."""

    code = "FL-CALL-CHOICE"
