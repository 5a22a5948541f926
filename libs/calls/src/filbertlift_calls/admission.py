"""Admission control for one target: starts, queues or sheds each call.

CHECK has priority over COUNTER and COUNTER over LONG. Within a class, callers
are served round robin. CHECK and COUNTER together are called short work.

LONG may hold half of the slots. It gets more only while
mean long time / long running <= mean short time: on average one of the running
long calls then ends within one short service time, so a short call waits no
longer than it would behind another short call. If long calls take 20 times as
long as short ones, this needs 20 running long calls, so on small targets the
other half stays free while short work arrives. After `SHORT_IDLE_S` without
short work, LONG may take all slots but one; the first short calls after that
share this slot until long calls end.

Unlike `backlog` of the library `mesh`, which orders calls by the priority of
their route and by slack, it decides by the class of work and keeps slots free
for short work.
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
# LONG may use the slots reserved for short work when no short call was offered
# for this time, in seconds.
SHORT_IDLE_S: Final = 5.0
# Maximum number of waiting calls in each class. Each class has its own limit,
# so that a full queue of long work never causes a check to be shed.
QUEUE_LIMIT: Final = 1_000
# The heap of deadlines is rebuilt when it has more than twice as many entries
# as there are waiting tickets, plus this number.
MAX_STALE_DEADLINES: Final = 64


@attrs.frozen
class Policy:
    """What differs between priority admission and the FIFO baseline.

    Attributes:
        order: holds the waiting tickets and selects the next one.
        get_long_limit: returns how many slots LONG may hold now.
        sheds_early: whether a call that is not expected to meet its deadline is
            shed on arrival.
    """

    order: queues.Order
    get_long_limit: Callable[["Admission", float], int]
    sheds_early: bool


@attrs.define(eq=False)
class Admission:
    """Slots and queue of one target.

    Attributes:
        policy: queue order and rules.
        slots: maximum number of calls that run at the same time.
        queue_limit: maximum number of waiting calls in each class.
        paused: code with which new calls are shed; None when not paused.
        running: number of running calls in each class.
        means: mean service time of each class.
        short_mean: mean service time of CHECK and COUNTER together.
        short_offered_at: time of the last offer of short work, in seconds.
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
    short_offered_at: float = float("-inf")
    _total: int = 0
    _started: set[str] = attrs.field(factory=set)
    _waiting: dict[str, tickets.Ticket] = attrs.field(factory=dict)
    _deadlines: list[tuple[float, str]] = attrs.field(factory=list)

    def offer(
        self, ticket: tickets.Ticket, now: float
    ) -> tickets.Start | tickets.Queued | tickets.Shed:
        """Starts, queues or sheds a call that arrived."""
        work = ticket.work_class
        if work is not LONG:
            self.short_offered_at = now
        if self.paused is not None:
            return tickets.Shed(ticket, self.paused, 0.0)
        if ticket.deadline <= now:
            return tickets.Shed(ticket, codes.EXPIRED, 0.0)
        if not self._waiting and self._has_slot(work, now):
            return self._start(ticket)
        if work is not LONG and self._may_overtake(work, now):
            return self._start(ticket)
        return self._enqueue(ticket, now)

    def release(
        self, ticket: tickets.Ticket, service_s: float, now: float
    ) -> list[tickets.Start | tickets.Drop]:
        """Frees the slot of a ticket and fills it from the queue.

        Args:
            ticket: a started ticket.
            service_s: service time of the call, in seconds; a negative value is
                not added to the mean, as after the loss of the target.
            now: current time, in seconds.

        Returns:
            The tickets that were started or dropped as a result.

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
        """Removes a waiting call; returns False if it is not waiting."""
        ticket = self._waiting.pop(call_id, None)
        if ticket is None:
            return False
        self.policy.order.remove(ticket)
        self._compact()
        return True

    def poll(self, now: float) -> list[tickets.Start | tickets.Drop]:
        """Drops waiting calls past their deadline and fills free slots."""
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
        """Changes the number of slots; running calls are not interrupted.

        Raises:
            AdmissionError: if the number is not positive.
        """
        if slots <= 0:
            raise exceptions.AdmissionError(f"slots must be > 0, not {slots}")
        self.slots = slots
        return self._fill(now)

    def pause(self, code: str) -> None:
        """Stops starting calls and sheds new ones with this code."""
        self.paused = code

    def resume(self, now: float) -> list[tickets.Start | tickets.Drop]:
        """Ends a pause and fills free slots."""
        self.paused = None
        return self._fill(now)

    def clear(self, code: str) -> list[tickets.Drop]:
        """Drops all waiting calls, so that they can run elsewhere."""
        dropped = [
            tickets.Drop(ticket, code) for ticket in self._waiting.values()
        ]
        for drop in dropped:
            self.policy.order.remove(drop.ticket)
        self._waiting.clear()
        self._deadlines.clear()
        return dropped

    def get_load(self) -> tickets.Load:
        """Returns the current load."""
        return tickets.Load(
            self.slots,
            tuple(self.running),
            tuple(self.policy.order.counts),
            tuple(mean.value for mean in self.means),
        )

    def estimate_wait(self, work: model.WorkClass) -> float:
        """Returns the expected wait of a new call of this class, in seconds.

        The work ahead is that of the waiting calls that are served first, plus
        one mean service time for the running calls. It is divided by the number
        of slots that serve the class. For short work, slots held by LONG don't
        count: the short queue may be empty before one of them becomes free.
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

    def _may_overtake(self, work: model.WorkClass, now: float) -> bool:
        """Returns whether short work may start before waiting long work.

        A slot is free while calls are waiting only when LONG is at its limit.
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
        overrun_s = wait + self.means[work].value - (ticket.deadline - now)
        if self.policy.sheds_early and overrun_s > 0:
            return tickets.Shed(ticket, codes.WAIT, overrun_s)
        self._waiting[ticket.call_id] = ticket
        self.policy.order.push(ticket)
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.call_id))
        return tickets.Queued(ticket)

    def _fill(self, now: float) -> list[tickets.Start | tickets.Drop]:
        results: list[tickets.Start | tickets.Drop] = []
        if self.paused is not None:
            return results
        while self._waiting and self._total < self.slots:
            include_long = self._has_slot(LONG, now)
            ticket = self.policy.order.pop(include_long)
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
        """Removes entries of started and withdrawn tickets from the heap."""
        if len(self._deadlines) <= 2 * len(self._waiting) + MAX_STALE_DEADLINES:
            return
        self._deadlines = [
            (ticket.deadline, call_id)
            for call_id, ticket in self._waiting.items()
        ]
        heapq.heapify(self._deadlines)


def get_long_limit(admission: Admission, now: float) -> int:
    """Returns how many slots LONG may hold now; see the module docstring."""
    slots = admission.slots
    half = max(1, slots // 2)
    running = admission.running[LONG]
    if running < half or slots == 1:
        return half
    if now - admission.short_offered_at > SHORT_IDLE_S:
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
    """Returns priority admission with early shedding."""
    policy = Policy(queues.make_priority_order(), get_long_limit, True)
    return _make_admission(policy, slots, queue_limit)


def make_fifo_admission(
    slots: int, queue_limit: int = QUEUE_LIMIT
) -> Admission:
    """Returns the baseline: one FIFO queue and no early shedding."""
    policy = Policy(queues.make_fifo_order(), lambda a, _now: a.slots, False)
    return _make_admission(policy, slots, queue_limit)


def _make_admission(policy: Policy, slots: int, queue_limit: int) -> Admission:
    if slots <= 0 or queue_limit <= 0:
        raise exceptions.AdmissionError("slots and queue limit must be > 0")
    return Admission(policy, slots, queue_limit)
