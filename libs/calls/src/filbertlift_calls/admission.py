"""Slots and queue beside one target: what starts, waits, or is shed.

CHECK goes before COUNTER before LONG; inside a class callers take turns.

LONG holds at most half of the slots. It is lent more only while
mean long time / long running <= mean short time: then a slot comes back within
one short service time, so a short call waits no longer than behind a short
one. With long work 20 times as long as short work this needs 20 long calls
running, so on small targets the other half stays free while short work comes.
When none was offered for `SHORT_MEMORY_S` there is nothing to protect and LONG
may take all slots but one; the first short calls after that share that one
until long calls end.
"""

from collections.abc import Callable
import heapq
from typing import Final

import attrs

from filbertlift_calls import codes
from filbertlift_calls import exceptions
from filbertlift_calls import means as averages
from filbertlift_calls import queues
from filbertlift_calls import tickets
from filbertlift_core import model

CHECK: Final = model.WorkClass.CHECK
LONG: Final = model.WorkClass.LONG
CLASSES: Final = tuple(model.WorkClass)
# Short work counts as gone after this time without an offer, in seconds.
SHORT_MEMORY_S: Final = 5.0
# Waiting calls of one class at most; each class has its own bound, so that a
# full queue of long work never sheds a check.
QUEUE_LIMIT: Final = 1_000
# Withdrawn tickets may stay in the heap of deadlines up to this number.
STALE_HEAP: Final = 64


@attrs.frozen
class Policy:
    """What differs between the priority queue and the baseline.

    Attributes:
        order: the waiting tickets.
        get_long_limit: slots that LONG may hold now.
        sheds_early: whether work that can't meet its deadline is refused.
    """

    order: queues.Order
    get_long_limit: Callable[["Admission", float], int]
    sheds_early: bool


@attrs.define(eq=False)
class Admission:
    """Slots and queue of one target.

    Attributes:
        policy: the order and the rules that vary.
        slots: calls that the target runs at once.
        queue_limit: waiting calls of one class at most.
        paused: code that new offers are shed with, or None while open.
        running: running calls of each class.
        means: service time of each class.
        short_mean: service time of CHECK and COUNTER together.
        short_seen: when short work was last offered, in seconds.
    """

    policy: Policy
    slots: int
    queue_limit: int
    paused: str | None = None
    running: list[int] = attrs.field(factory=lambda: [0] * len(CLASSES))
    means: list[averages.Mean] = attrs.field(
        factory=lambda: [averages.Mean() for _ in CLASSES]
    )
    short_mean: averages.Mean = attrs.field(factory=averages.Mean)
    short_seen: float = float("-inf")
    _total: int = 0
    _started: set[str] = attrs.field(factory=set)
    _waiting: dict[str, tickets.Ticket] = attrs.field(factory=dict)
    _deadlines: list[tuple[float, str]] = attrs.field(factory=list)

    def offer(
        self, ticket: tickets.Ticket, now: float
    ) -> tickets.Start | tickets.Queued | tickets.Shed:
        """Decides on a call that arrived."""
        work = ticket.work_class
        if work is not LONG:
            self.short_seen = now
        if self.paused is not None:
            return tickets.Shed(ticket, self.paused, 0.0)
        if ticket.deadline <= now:
            return tickets.Shed(ticket, codes.EXPIRED, 0.0)
        if not self._waiting and self._has_slot(work, now):
            return self._start(ticket)
        if work is not LONG and self._may_pass(work, now):
            return self._start(ticket)
        return self._enqueue(ticket, now)

    def release(
        self, ticket: tickets.Ticket, service_s: float, now: float
    ) -> list[tickets.Start | tickets.Drop]:
        """Gives a slot back and returns what happens to waiting tickets.

        Args:
            ticket: a started ticket.
            service_s: how long the target took; negative when that says
                nothing about service times, as after a lost target.
            now: seconds.

        Raises:
            AdmissionError: if the ticket holds no slot.
        """
        if ticket.call_id not in self._started:
            raise exceptions.AdmissionError(f"{ticket.call_id} holds no slot")
        self._started.remove(ticket.call_id)
        work = ticket.work_class
        self.running[work] -= 1
        self._total -= 1
        if service_s >= 0:
            self.means[work].add(service_s)
            if work is not LONG:
                self.short_mean.add(service_s)
        if not self._waiting:
            return []
        return self._fill(now)

    def withdraw(self, call_id: str) -> bool:
        """Removes a waiting call; returns False when it doesn't wait."""
        ticket = self._waiting.pop(call_id, None)
        if ticket is None:
            return False
        self.policy.order.remove(ticket)
        self._compact()
        return True

    def poll(self, now: float) -> list[tickets.Start | tickets.Drop]:
        """Drops waiting work past its deadline and fills free slots."""
        results: list[tickets.Start | tickets.Drop] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, call_id = heapq.heappop(self._deadlines)
            ticket = self._waiting.get(call_id)
            if ticket is None or ticket.deadline > now:
                continue
            del self._waiting[call_id]
            self.policy.order.remove(ticket)
            results.append(tickets.Drop(ticket, codes.EXPIRED))
        if self._waiting:
            results += self._fill(now)
        return results

    def set_slots(
        self, slots: int, now: float
    ) -> list[tickets.Start | tickets.Drop]:
        """Changes the slots; running work above the new number goes on.

        Raises:
            AdmissionError: if the number is not positive.
        """
        if slots <= 0:
            raise exceptions.AdmissionError(f"{slots} slots")
        self.slots = slots
        return self._fill(now)

    def pause(self, code: str) -> None:
        """Starts nothing more and sheds new offers with this code."""
        self.paused = code

    def resume(self, now: float) -> list[tickets.Start | tickets.Drop]:
        """Ends a pause."""
        self.paused = None
        return self._fill(now)

    def clear(self, code: str) -> list[tickets.Drop]:
        """Drops all waiting work, so that it may run elsewhere."""
        dropped = [
            tickets.Drop(ticket, code) for ticket in self._waiting.values()
        ]
        for drop in dropped:
            self.policy.order.remove(drop.ticket)
        self._waiting.clear()
        self._deadlines.clear()
        return dropped

    def get_load(self) -> tickets.Load:
        """Returns the load now."""
        return tickets.Load(
            self.slots,
            tuple(self.running),
            tuple(self.policy.order.counts),
            tuple(mean.value for mean in self.means),
        )

    def estimate_wait(self, work: model.WorkClass) -> float:
        """Returns the expected wait of a new call of this class, in seconds.

        Waiting work that is served first, and one mean time for the running
        work, is spread over the slots that serve it. Slots that LONG holds
        don't count for short work, which may be over before they are free.
        """
        counts = self.policy.order.counts
        ahead = self.means[work].value
        for other in CLASSES[: work + 1]:
            ahead += counts[other] * self.means[other].value
        if work is LONG:
            return ahead / max(1, self.slots // 2)
        return ahead / max(1, self.slots - self.running[LONG])

    def _has_slot(self, work: model.WorkClass, now: float) -> bool:
        if self._total >= self.slots:
            return False
        if work is not LONG:
            return True
        return self.running[LONG] < self.policy.get_long_limit(self, now)

    def _may_pass(self, work: model.WorkClass, now: float) -> bool:
        """Returns whether short work may start before waiting long work.

        Free slots with waiting work exist only while LONG is at its limit.
        """
        counts = self.policy.order.counts
        if any(counts[other] for other in CLASSES[: work + 1]):
            return False
        return self.policy.sheds_early and self._has_slot(work, now)

    def _start(self, ticket: tickets.Ticket) -> tickets.Start:
        self.running[ticket.work_class] += 1
        self._total += 1
        self._started.add(ticket.call_id)
        return tickets.Start(ticket)

    def _enqueue(
        self, ticket: tickets.Ticket, now: float
    ) -> tickets.Queued | tickets.Shed:
        work = ticket.work_class
        wait = self.estimate_wait(work)
        if self.policy.order.counts[work] >= self.queue_limit:
            return tickets.Shed(ticket, codes.QUEUE_FULL, wait)
        late = wait + self.means[work].value - (ticket.deadline - now)
        if self.policy.sheds_early and late > 0:
            return tickets.Shed(ticket, codes.WAIT, late)
        self._waiting[ticket.call_id] = ticket
        self.policy.order.push(ticket)
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.call_id))
        return tickets.Queued(ticket)

    def _fill(self, now: float) -> list[tickets.Start | tickets.Drop]:
        results: list[tickets.Start | tickets.Drop] = []
        if self.paused is not None:
            return results
        while self._waiting and self._total < self.slots:
            takes_long = self._has_slot(LONG, now)
            ticket = self.policy.order.pop(takes_long)
            if ticket is None:
                break
            del self._waiting[ticket.call_id]
            if ticket.deadline <= now:
                results.append(tickets.Drop(ticket, codes.EXPIRED))
                continue
            results.append(self._start(ticket))
        self._compact()
        return results

    def _compact(self) -> None:
        """Bounds the heap, where started and withdrawn tickets remain."""
        if len(self._deadlines) <= 2 * len(self._waiting) + STALE_HEAP:
            return
        self._deadlines = [
            (ticket.deadline, call_id)
            for call_id, ticket in self._waiting.items()
        ]
        heapq.heapify(self._deadlines)


def get_long_limit(admission: Admission, now: float) -> int:
    """Returns how many slots LONG may hold now; see the module's rule."""
    slots = admission.slots
    half = max(1, slots // 2)
    running = admission.running[LONG]
    if running < half or slots == 1:
        return half
    if now - admission.short_seen > SHORT_MEMORY_S:
        return slots - 1
    short = admission.short_mean
    long = admission.means[LONG]
    if not short.count or not long.count:
        return half
    if long.value / running > short.value:
        return half
    return min(slots - 1, running + 1)


def make_priority_admission(
    slots: int, queue_limit: int = QUEUE_LIMIT
) -> Admission:
    """Returns the admission that the product uses."""
    policy = Policy(queues.make_priority_order(), get_long_limit, True)
    return _make_admission(policy, slots, queue_limit)


def make_fifo_admission(
    slots: int, queue_limit: int = QUEUE_LIMIT
) -> Admission:
    """Returns the baseline: one queue in order of arrival, no early shed."""
    policy = Policy(queues.make_fifo_order(), lambda a, _now: a.slots, False)
    return _make_admission(policy, slots, queue_limit)


def _make_admission(policy: Policy, slots: int, queue_limit: int) -> Admission:
    if slots <= 0 or queue_limit <= 0:
        raise exceptions.AdmissionError("slots and queue limit must be > 0")
    return Admission(policy, slots, queue_limit)
