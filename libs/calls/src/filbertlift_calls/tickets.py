"""Tickets for a slot of a target, and the results of admission."""

import attrs

from filbertlift_core import model


@attrs.define(eq=False)
class Ticket:
    """One call that requests a slot.

    Attributes:
        call_id: id of the call.
        caller: name of the caller, for round robin.
        work_class: class of the operation.
        deadline: deadline by the clock of this node, in seconds.
    """

    call_id: str
    caller: str
    work_class: model.WorkClass
    deadline: float


@attrs.frozen
class Start:
    """The ticket has a slot; its call is to be sent to the target."""

    ticket: Ticket


@attrs.frozen
class Queued:
    """The ticket waits for a slot."""

    ticket: Ticket


@attrs.frozen
class Shed:
    """The ticket was refused on arrival.

    Attributes:
        ticket: the ticket.
        code: why it was shed.
        retry_after_s: time after which a retry is expected to succeed, by the
            measured service times.
    """

    ticket: Ticket
    code: str
    retry_after_s: float


@attrs.frozen
class Drop:
    """The ticket was removed from the queue without getting a slot."""

    ticket: Ticket
    code: str


@attrs.frozen
class Load:
    """Load of the target, for heartbeats and the dump.

    Tuples have one value for each class.
    """

    slots: int
    running: tuple[int, ...]
    queued: tuple[int, ...]
    mean_s: tuple[float, ...]
