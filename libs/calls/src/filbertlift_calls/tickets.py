"""Tickets for a slot of a target, and what admission decides on them."""

import attrs

from filbertlift_core import model


@attrs.define(eq=False)
class Ticket:
    """One call that wants a slot.

    Attributes:
        call_id: id of the call.
        caller: name of the caller, for turns.
        work_class: class of the operation.
        deadline: seconds, by the clock of this node.
    """

    call_id: str
    caller: str
    work_class: model.WorkClass
    deadline: float


@attrs.frozen
class Start:
    """The ticket has a slot; send its call to the target."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The ticket waits for a slot."""

    ticket: Ticket


@attrs.frozen
class Shed:
    """The ticket was refused at once.

    Attributes:
        ticket: the ticket.
        code: why.
        retry_after_s: when the work now ahead of it should be done, by the
            measured service times.
    """

    ticket: Ticket
    code: str
    retry_after_s: float


@attrs.frozen
class Drop:
    """The ticket waited and lost its place without a slot."""

    ticket: Ticket
    code: str


@attrs.frozen
class Load:
    """Load of the target, for heartbeats and the dump."""

    slots: int
    running: tuple[int, ...]
    queued: tuple[int, ...]
    mean_s: tuple[float, ...]
