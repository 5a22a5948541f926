"""Arguments and results of the keeper."""

import enum
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model

# Incarnation in the head of a call whose entry does not know where an earlier
# attempt was sent.
NO_INCARNATION: Final = 0


class CallState(enum.Enum):
    """State of a call id at its keeper."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    ABSENT = "absent"
    UNKNOWN = "unknown"


@attrs.frozen
class CallHead:
    """What the keeper needs to know about a call.

    Attributes:
        call_id: id of the call; that of a keyed call is derived from caller,
            service and idempotency key.
        incarnation: incarnation of the keeper that the call is meant for: that
            of the earlier attempt if one may have run, else that of the link.
            `NO_INCARNATION` if the entry does not know it.
        attempt: 1 for the first attempt; higher for a repeat. An attempt that
            was answered with NOT_RUN may be followed only by one with a higher
            number.
        fingerprint: hash of the request.
        idempotent: whether it is safe to run more than once.
        deadline: deadline by the clock of the keeper, in seconds.
        asker: identifies the request of the entry, so that a withdrawal does
            not affect other requests for the call; the same on a new link.
    """

    call_id: str
    incarnation: int
    attempt: int
    fingerprint: int
    idempotent: bool
    deadline: float
    asker: str


# Approximate memory of one header.
HEADER_BYTES: Final = 128


@attrs.frozen
class KeptAnswer:
    """An answer as it is sent to the first asker and to repeats.

    The headers are opaque here; only their number is used.
    """

    outcome: model.Outcome
    code: str
    status: int
    headers: tuple[Any, ...] = ()
    body: bytes = b""

    def count_bytes(self) -> int:
        """Returns the approximate memory of the answer."""
        return len(self.body) + HEADER_BYTES * len(self.headers)


@attrs.frozen
class Begun:
    """The call may proceed to admission; its id is held now."""

    call_id: str


@attrs.frozen
class Repeat:
    """The id is known; the call does not run again.

    Attributes:
        call_id: id of the call.
        state: if QUEUED or RUNNING, the answer is to be sent to this asker too;
            if FINISHED, see `answer`.
        outcome: outcome of a finished call, else None.
        answer: the kept answer; None if not finished or not kept.
    """

    call_id: str
    state: CallState
    outcome: model.Outcome | None = None
    answer: KeptAnswer | None = None


@attrs.frozen
class Refused:
    """The call does not run here.

    Attributes:
        call_id: id of the call.
        code: why it was refused.
        outcome: NOT_RUN, or UNKNOWN if an earlier attempt may have run.
    """

    call_id: str
    code: str
    outcome: model.Outcome


@attrs.frozen
class Withdrawn:
    """The call has not run and never will."""

    call_id: str


@attrs.frozen
class AlreadyStarted:
    """The call is not withdrawn; its answer will follow."""

    call_id: str


@attrs.frozen
class Finished:
    """The call has finished; `answer` is None if it was not kept."""

    call_id: str
    outcome: model.Outcome
    answer: KeptAnswer | None


@attrs.frozen
class NotHeld:
    """The id is not held: it never arrived, or it was forgotten."""

    call_id: str


@attrs.frozen
class Inquiry:
    """An inquiry about a call whose link was lost.

    Attributes:
        call_id: id of the call.
        attempt: number of the attempt that the asker sent.
        fingerprint: hash of the request.
        incarnation: incarnation of the keeper that the attempt was sent to.
        age_s: time since the attempt was sent, by the clock of the asker;
            infinite if not known. The absence of an old id proves nothing,
            because the keeper may have forgotten it.
        asker: identifies the request of the entry, as in `CallHead`.
    """

    call_id: str
    attempt: int
    fingerprint: int
    incarnation: int
    age_s: float
    asker: str


@attrs.frozen
class Settlement:
    """What the keeper knows about an id.

    Attributes:
        call_id: id of the call.
        state: ABSENT means that the attempt has not run and never will;
            UNKNOWN that this keeper does not know.
        code: why it is absent; `codes.ABSENT` if it was never held, which
            proves nothing about earlier attempts.
        outcome: outcome of a finished call, else None.
        answer: the kept answer of a finished call.
    """

    call_id: str
    state: CallState
    code: str = ""
    outcome: model.Outcome | None = None
    answer: KeptAnswer | None = None
