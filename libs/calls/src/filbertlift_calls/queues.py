"""Orders of waiting tickets: by class and caller, or by arrival."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Final

import attrs

from filbertlift_calls import tickets
from filbertlift_core import model

# Iterating the enumeration itself costs more than the queue does.
_CLASSES: Final = tuple(model.WorkClass)
_SHORT: Final = (model.WorkClass.CHECK, model.WorkClass.COUNTER)
_Waiting = OrderedDict[str, tickets.Ticket]


@attrs.frozen
class Order:
    """An order of waiting tickets; every function takes constant time.

    Attributes:
        counts: waiting tickets of each class; read only.
        push: adds a ticket.
        pop: removes the next ticket; skips LONG when its argument is False;
            returns None when there is none.
        remove: removes a ticket that is waiting.
    """

    counts: list[int]
    push: Callable[[tickets.Ticket], None]
    pop: Callable[[bool], tickets.Ticket | None]
    remove: Callable[[tickets.Ticket], None]


def make_priority_order() -> Order:
    """Returns strict priority by class and turns of callers in a class."""
    counts = [0] * len(model.WorkClass)
    lines: list[OrderedDict[str, _Waiting]] = [OrderedDict() for _ in counts]

    def push(ticket: tickets.Ticket) -> None:
        line = lines[ticket.work_class]
        waiting = line.get(ticket.caller)
        if waiting is None:
            waiting = line[ticket.caller] = OrderedDict()
        waiting[ticket.call_id] = ticket
        counts[ticket.work_class] += 1

    def pop(takes_long: bool) -> tickets.Ticket | None:
        for work in _CLASSES if takes_long else _SHORT:
            if counts[work]:
                counts[work] -= 1
                return _pop_turn(lines[work])
        return None

    def remove(ticket: tickets.Ticket) -> None:
        line = lines[ticket.work_class]
        waiting = line[ticket.caller]
        del waiting[ticket.call_id]
        counts[ticket.work_class] -= 1
        if not waiting:
            del line[ticket.caller]

    return Order(counts, push, pop, remove)


def _pop_turn(line: OrderedDict[str, _Waiting]) -> tickets.Ticket:
    """Takes the next caller's oldest ticket and ends its turn."""
    caller, waiting = next(iter(line.items()))
    _, ticket = waiting.popitem(last=False)
    if waiting:
        line.move_to_end(caller)
    else:
        del line[caller]
    return ticket


def make_fifo_order() -> Order:
    """Returns one queue in order of arrival, without regard to class."""
    counts = [0] * len(model.WorkClass)
    waiting: _Waiting = OrderedDict()

    def push(ticket: tickets.Ticket) -> None:
        waiting[ticket.call_id] = ticket
        counts[ticket.work_class] += 1

    def pop(takes_long: bool) -> tickets.Ticket | None:  # noqa: ARG001
        if not waiting:
            return None
        _, ticket = waiting.popitem(last=False)
        counts[ticket.work_class] -= 1
        return ticket

    def remove(ticket: tickets.Ticket) -> None:
        del waiting[ticket.call_id]
        counts[ticket.work_class] -= 1

    return Order(counts, push, pop, remove)
