"""Records that the keeper takes and returns."""

import enum
from typing import Any
from typing import Final

import attrs

from filbertlift_core import model

# A head that names no incarnation: the entry does not know where an earlier
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
    """What the keeper needs to know of a call.

    Attributes:
        call_id: identity of the call; a keyed call's id is derived from
            caller, service and idempotency key.
        incarnation: the keeper incarnation that the entry means: that of the
            earlier attempt if one may have run, else that of the link.
            `NO_INCARNATION` when the entry does not know it.
        attempt: 1 for the first; higher marks a repeat. An attempt that was
            answered "not run" may be followed only by one with a higher number.
        fingerprint: hash of the request.
        idempotent: whether running it twice does no harm.
        deadline: in seconds of the keeper's clock.
        asker: names the request of the entry, so that a withdrawal takes back
            no wish of another one; the same over a new link.
    """

    call_id: str
    incarnation: int
    attempt: int
    fingerprint: int
    idempotent: bool
    deadline: float
    asker: str


# Memory of one header, roughly.
HEADER_BYTES: Final = 128


@attrs.frozen
class KeptAnswer:
    """An answer as it is sent to the first asker and to repeats.

    The headers are kept as they came; only their number counts here.
    """

    outcome: model.Outcome
    code: str
    status: int
    headers: tuple[Any, ...] = ()
    body: bytes = b""

    def count_bytes(self) -> int:
        """Returns the memory that the answer takes, roughly."""
        return len(self.body) + HEADER_BYTES * len(self.headers)


@attrs.frozen
class Begun:
    """The id is new; the call may go on to admission."""

    call_id: str


@attrs.frozen
class Repeat:
    """The id is known; the call does not run again.

    Attributes:
        call_id: the id of both calls.
        state: QUEUED or RUNNING: send the coming answer to this asker too;
            FINISHED: see `answer`.
        outcome: outcome of a finished call, else None.
        answer: the kept answer; None when not finished or not kept.
    """

    call_id: str
    state: CallState
    outcome: model.Outcome | None = None
    answer: KeptAnswer | None = None


@attrs.frozen
class Refused:
    """The call does not run here.

    Attributes:
        call_id: the id.
        code: why.
        outcome: NOT_RUN, or UNKNOWN when an earlier attempt may have run.
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
    """The call was sent to the target; its answer will follow."""

    call_id: str


@attrs.frozen
class Finished:
    """The call finished before; `answer` is None when it was not kept."""

    call_id: str
    outcome: model.Outcome
    answer: KeptAnswer | None


@attrs.frozen
class NotHeld:
    """The id is not held: it never arrived, or it was forgotten."""

    call_id: str


@attrs.frozen
class Inquiry:
    """A question about a call whose link was lost.

    Attributes:
        call_id: the id.
        attempt: the attempt that the asker sent.
        fingerprint: hash of the request.
        incarnation: the keeper incarnation that it was sent to.
        age_s: seconds since it was sent, by the asker's clock; infinite when
            not known. The absence of an old id proves nothing, because the
            keeper may have forgotten it.
        asker: names the request of the entry, as in its call.
    """

    call_id: str
    attempt: int
    fingerprint: int
    incarnation: int
    age_s: float
    asker: str


@attrs.frozen
class Settlement:
    """What the keeper knows of an id.

    Attributes:
        call_id: the id.
        state: ABSENT means that the attempt has not run and never will;
            UNKNOWN that this keeper can't tell.
        code: why it is absent; `codes.ABSENT` when it was never held, which
            says nothing about earlier attempts.
        outcome: outcome of a finished call, else None.
        answer: the kept answer of a finished call.
    """

    call_id: str
    state: CallState
    code: str = ""
    outcome: model.Outcome | None = None
    answer: KeptAnswer | None = None
