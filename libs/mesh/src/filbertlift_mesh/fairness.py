"""Fair shares of organisations in the slots of one target.

Start-time fair queueing: each organisation has a virtual time, which advances
by the service time of its calls. The organisation that is furthest behind goes
next, so that each one that has calls gets the same share of the slots, however
many calls it sends. One without calls saves no share for later.
"""

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
import heapq
from typing import TypeVar

import attrs

Call = TypeVar("Call")


@attrs.define(eq=False)
class FairShares:
    """Virtual times of the organisations within one priority.

    Attributes:
        virtual_s: start of the call that was started last, in virtual seconds.
        finishes: virtual time at which the last call of an organisation
            finishes, if that is later.
    """

    virtual_s: float = 0.0
    finishes: dict[str, float] = attrs.field(factory=dict)

    def get_start(self, organisation: str) -> float:
        """Returns the virtual start of an organisation's next call."""
        return max(self.virtual_s, self.finishes.get(organisation, 0.0))

    def note_start(self, organisation: str, service_s: float) -> None:
        """Records the start of a call with its expected service time."""
        start_s = self.get_start(organisation)
        self.virtual_s = start_s
        self.finishes = {
            name: finish_s
            for name, finish_s in self.finishes.items()
            if finish_s > start_s
        }
        self.finishes[organisation] = start_s + service_s


def estimate_ahead(
    service_s: float, own_ahead_s: float, others_s: Iterable[float]
) -> float:
    """Returns the work of equals that starts before a call, in slot seconds.

    Args:
        service_s: expected service time of the call.
        own_ahead_s: work of its organisation that goes before it.
        others_s: waiting work of each other organisation.
    """
    limit_s = own_ahead_s + service_s
    return own_ahead_s + sum(min(work_s, limit_s) for work_s in others_s)


def interleave(
    calls: Iterable[Call],
    shares: FairShares,
    find_organisation: Callable[[Call], str],
    find_service_time: Callable[[Call], float],
) -> list[Call]:
    """Returns calls in the order in which the shares let them start.

    Args:
        calls: calls in the order that applies within an organisation.
        shares: shares so far; they stay as they are.
        find_organisation: returns the organisation of a call.
        find_service_time: returns the expected service time of a call.
    """
    queues: dict[str, deque[Call]] = {}
    for call in calls:
        queues.setdefault(find_organisation(call), deque()).append(call)
    heap = [
        (shares.get_start(name), number, name)
        for number, name in enumerate(queues)
    ]
    heapq.heapify(heap)
    ordered: list[Call] = []
    while heap:
        start_s, number, name = heap[0]
        call = queues[name].popleft()
        ordered.append(call)
        if queues[name]:
            finish_s = start_s + find_service_time(call)
            heapq.heapreplace(heap, (finish_s, number, name))
        else:
            heapq.heappop(heap)
    return ordered
