"""Queues of waiting tickets: by class and caller, or first in first out."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import attrs

from filbertlift_calls import tickets
from filbertlift_core import model

# Iterating over the enumeration is slower than the queue operations.
_CLASSES: Final = tuple(model.WorkClass)
_SHORT: Final = (model.WorkClass.CHECK, model.WorkClass.COUNTER)
_Waiting = OrderedDict[str, tickets.Ticket]


@attrs.frozen
class Order:
    """A queue of waiting tickets; every function takes constant time.

    Attributes:
        counts: number of waiting tickets in each class; read only.
        push: adds a ticket.
        pop: removes and returns the next ticket, or returns None if there is
            none; skips LONG if its argument is False.
        remove: removes a ticket that is waiting.
    """

    counts: list[int]
    push: Callable[[tickets.Ticket], None]
    pop: Callable[[bool], tickets.Ticket | None]
    remove: Callable[[tickets.Ticket], None]


def make_priority_order() -> Order:
    """Returns a queue with strict class priority, round robin by caller."""
    counts = [0] * len(model.WorkClass)
    class_queues: list[OrderedDict[str, _Waiting]] = [
        OrderedDict() for _ in counts
    ]

    def push(ticket: tickets.Ticket) -> None:
        class_queue = class_queues[ticket.work_class]
        waiting = class_queue.get(ticket.caller)
        if waiting is None:
            waiting = class_queue[ticket.caller] = OrderedDict()
        waiting[ticket.call_id] = ticket
        counts[ticket.work_class] += 1

    def pop(include_long: bool) -> tickets.Ticket | None:
        for work in _CLASSES if include_long else _SHORT:
            if counts[work]:
                counts[work] -= 1
                return _pop_round_robin(class_queues[work])
        return None

    def remove(ticket: tickets.Ticket) -> None:
        class_queue = class_queues[ticket.work_class]
        waiting = class_queue[ticket.caller]
        del waiting[ticket.call_id]
        counts[ticket.work_class] -= 1
        if not waiting:
            del class_queue[ticket.caller]

    return Order(counts, push, pop, remove)


def _pop_round_robin(class_queue: OrderedDict[str, _Waiting]) -> tickets.Ticket:
    """Removes the next caller's oldest ticket and moves the caller back."""
    caller, waiting = next(iter(class_queue.items()))
    _, ticket = waiting.popitem(last=False)
    if waiting:
        class_queue.move_to_end(caller)
    else:
        del class_queue[caller]
    return ticket


def make_fifo_order() -> Order:
    """Returns a first-in-first-out queue that ignores classes."""
    counts = [0] * len(model.WorkClass)
    waiting: _Waiting = OrderedDict()

    def push(ticket: tickets.Ticket) -> None:
        waiting[ticket.call_id] = ticket
        counts[ticket.work_class] += 1

    def pop(include_long: bool) -> tickets.Ticket | None:  # noqa: ARG001
        if not waiting:
            return None
        _, ticket = waiting.popitem(last=False)
        counts[ticket.work_class] -= 1
        return ticket

    def remove(ticket: tickets.Ticket) -> None:
        del waiting[ticket.call_id]
        counts[ticket.work_class] -= 1

    return Order(counts, push, pop, remove)
