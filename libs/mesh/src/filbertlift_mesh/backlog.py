"""Slots and waiting calls beside one target.

This node alone reaches the target, so what runs and what waits is known
exactly, and a call refused here has certainly not run. It answers a swing of
demand above the slots: more urgent calls go first, then those whose objective
can still be met, the one with the least slack first. A call that cannot be
answered in the time it has is refused at once, with the wait as forecast.
"""

import enum
import math
from typing import Final

import attrs

from filbertlift_calls import means as averages
from filbertlift_mesh import exceptions
from filbertlift_mesh import reasons

# Weight of the newest service time once ten were measured.
MEAN_GAIN: Final = 0.1
# Service time of a class before any was measured, in seconds.
FIRST_SERVICE_S: Final = 0.1
# Waiting calls at most; each is scanned when a slot becomes free.
MAX_WAITING: Final = 500
# A call that starts with less than this many mean service times left misses
# its objective too often: service times have a tail.
START_MARGIN: Final = 2.0
# Work that arrives is averaged over this time, in seconds.
RATE_WINDOW_S: Final = 1.0
# Part of the slots that is left for calls at the end of the order, at least;
# it bounds their forecast.
LEAST_SHARE: Final = 0.05
# A caller that is told to come back any later may as well ask another time.
MAX_RETRY_AFTER_S: Final = 5.0


def make_mean() -> averages.Mean:
    """Returns an average of service times."""
    return averages.Mean(gain=MEAN_GAIN)


@attrs.define(eq=False)
class WorkRate:
    """Work that arrived lately, in seconds of a slot each second."""

    value: float = 0.0
    updated: float = 0.0

    def add(self, work_s: float, now: float) -> None:
        """Adds the service time of a call that arrived."""
        self.value = self.read(now) + work_s / RATE_WINDOW_S
        self.updated = now

    def read(self, now: float) -> float:
        """Returns the rate now."""
        age = max(0.0, now - self.updated)
        return self.value * math.exp(-age / RATE_WINDOW_S)


@attrs.define(eq=False)
class Ticket:
    """One call that wants a slot.

    Attributes:
        request_id: id of the request, for logs.
        work_class: calls of one class are expected to take similar times.
        priority: rank; 0 goes first.
        objective_at: when the answer loses value, in seconds.
        deadline: when the answer is of no use, in seconds.
        offered_at: when it arrived here, in seconds.
        started_at: when it was sent to the target; None while it waits.
    """

    request_id: str
    work_class: str
    priority: int
    objective_at: float
    deadline: float
    offered_at: float = 0.0
    started_at: float | None = None


class Refusal(enum.Enum):
    """Why a call was turned away without having run."""

    FULL = reasons.QUEUE_FULL
    LATE = reasons.TOO_LATE
    SLOW = reasons.WAIT_TOO_LONG


@attrs.frozen
class Refused:
    """The call was turned away.

    Attributes:
        reason: why.
        retry_after_s: when there should be room.
    """

    reason: Refusal
    retry_after_s: float


@attrs.frozen
class Started:
    """The call has a slot; it is to be sent to the target."""


@attrs.frozen
class Waiting:
    """The call waits for a slot."""


STARTED: Final = Started()
WAITING: Final = Waiting()


@attrs.define(eq=False)
class Backlog:
    """Slots and waiting calls of one target.

    Attributes:
        slots: calls that the target runs at once.
        running: calls that hold a slot.
        waiting: calls without one, in order of arrival.
        mean: service time over all classes.
        means: service time by class.
        rates: work that was taken, by priority. Calls that were refused do not
            count: most of them are only looking for a free slot, and are
            offered at several targets.
    """

    slots: int = 0
    running: set[Ticket] = attrs.field(factory=set)
    waiting: list[Ticket] = attrs.field(factory=list)
    mean: averages.Mean = attrs.field(factory=make_mean)
    means: dict[str, averages.Mean] = attrs.field(factory=dict)
    rates: dict[int, WorkRate] = attrs.field(factory=dict)

    @property
    def busy(self) -> int:
        """Calls that run or wait."""
        return len(self.running) + len(self.waiting)

    def offer(
        self, ticket: Ticket, max_wait_s: float, now: float
    ) -> Started | Waiting | Refused:
        """Decides on a call that arrived.

        Args:
            ticket: the call.
            max_wait_s: the sender has something better than a longer wait.
            now: seconds.
        """
        ticket.offered_at = now
        service_s = self.get_service_time(ticket.work_class)
        if len(self.running) < self.slots and not self.waiting:
            if ticket.deadline <= now:
                return Refused(Refusal.LATE, 0.0)
            self._count(ticket, service_s, now)
            return self._start(ticket, now)
        wait_s = self.estimate_wait(ticket, now)
        if len(self.waiting) >= MAX_WAITING:
            return self._refuse(Refusal.FULL, wait_s)
        if now + wait_s + service_s > ticket.deadline:
            return self._refuse(Refusal.LATE, wait_s)
        if wait_s > max_wait_s:
            return self._refuse(Refusal.SLOW, wait_s)
        forecast_s = self._forecast(ticket, wait_s, now)
        if now + forecast_s + service_s > ticket.deadline:
            return self._refuse(Refusal.LATE, wait_s)
        self._count(ticket, service_s, now)
        self.waiting.append(ticket)
        return WAITING

    def release(self, ticket: Ticket, measures: bool, now: float) -> None:
        """Gives a slot back.

        Args:
            ticket: a started call.
            measures: whether the time it took tells of the target's speed.
            now: seconds.

        Raises:
            BacklogError: if the call holds no slot.
        """
        if ticket not in self.running or ticket.started_at is None:
            raise exceptions.BacklogError(
                f"request {ticket.request_id} holds no slot"
            )
        self.running.remove(ticket)
        if not measures:
            return
        spent = now - ticket.started_at
        self.mean.add(spent)
        self.means.setdefault(ticket.work_class, make_mean()).add(spent)

    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a waiting call out; returns whether it was waiting."""
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def drop_late(self, now: float) -> list[Ticket]:
        """Takes out the waiting calls that are not expected to end in time.

        A call whose objective has passed goes behind those that can still
        meet theirs. Under load it would be held until its deadline and then
        refused all the same, so it is refused as soon as that is foreseen.
        """
        late: list[Ticket] = []
        ahead_s = self._estimate_first() * self.slots
        for ticket in sorted(self.waiting, key=lambda t: self._rank(t, now)):
            service_s = self.get_service_time(ticket.work_class)
            wait_s = self._spread(self._rank(ticket, now), ahead_s, now)
            # Half of the calls take less than the mean, or well below.
            if now + wait_s + service_s / 2 >= ticket.deadline:
                late.append(ticket)
            else:
                ahead_s += service_s
        for ticket in late:
            self.waiting.remove(ticket)
        return late

    def clear(self) -> list[Ticket]:
        """Takes out all waiting calls."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def start_next(self, now: float) -> Ticket | None:
        """Gives a free slot to the waiting call that goes first."""
        if not self.waiting or len(self.running) >= self.slots:
            return None
        ticket = min(self.waiting, key=lambda item: self._rank(item, now))
        self.waiting.remove(ticket)
        self._start(ticket, now)
        return ticket

    def get_service_time(self, work_class: str) -> float:
        """Returns how long a call of a class is expected to run, in seconds."""
        mean = self.means.get(work_class)
        if mean is not None:
            return mean.value
        return self.mean.value if self.mean.count else FIRST_SERVICE_S

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Returns the expected wait of a call that is not yet waiting.

        It leaves out that the objective may pass meanwhile.
        """
        if not self.slots:
            return MAX_RETRY_AFTER_S
        return self._estimate_turn(self._rank(ticket, now), now)

    def _count(self, ticket: Ticket, service_s: float, now: float) -> None:
        self.rates.setdefault(ticket.priority, WorkRate()).add(service_s, now)

    def _forecast(self, ticket: Ticket, wait_s: float, now: float) -> float:
        """Returns the wait of a call whose turn would come after `wait_s`.

        If that is too late for its objective, it has to wait behind those
        whose turn is not.
        """
        priority, is_late, latest = self._rank(ticket, now)
        if is_late or now + wait_s <= latest:
            return wait_s
        return self._estimate_turn((priority, True, latest), now)

    def _estimate_turn(
        self, rank: tuple[int, bool, float], now: float
    ) -> float:
        ahead_s = sum(
            self.get_service_time(other.work_class)
            for other in self.waiting
            if self._rank(other, now) <= rank
        )
        free = self.slots - len(self.running)
        if free > 0 and not ahead_s:
            return 0.0
        ahead_s += self._estimate_first() * self.slots
        return self._spread(rank, ahead_s, now)

    def _rank(self, ticket: Ticket, now: float) -> tuple[int, bool, float]:
        service_s = self.get_service_time(ticket.work_class)
        latest = ticket.objective_at - START_MARGIN * service_s
        return ticket.priority, latest < now, latest

    def _spread(
        self, rank: tuple[int, bool, float], ahead_s: float, now: float
    ) -> float:
        """Returns how long the work ahead of a call takes, in seconds.

        The calls that go before it and are still to come take part of the
        slots meanwhile.
        """
        priority, is_late, _latest = rank
        taken = sum(
            rate.read(now)
            for other, rate in self.rates.items()
            if other < priority or (is_late and other == priority)
        )
        slots = max(1, self.slots)
        return ahead_s / max(slots - taken, slots * LEAST_SHARE)

    def _estimate_first(self) -> float:
        """Returns the time until the first slot becomes free, in seconds.

        Runs that started at different times end evenly spread over a mean.
        """
        if not self.slots or len(self.running) < self.slots:
            return 0.0
        running_s = sum(
            self.get_service_time(ticket.work_class) for ticket in self.running
        )
        return running_s / len(self.running) / self.slots

    def _start(self, ticket: Ticket, now: float) -> Started:
        ticket.started_at = now
        self.running.add(ticket)
        return STARTED

    def _refuse(self, reason: Refusal, wait_s: float) -> Refused:
        return Refused(reason, min(wait_s, MAX_RETRY_AFTER_S))
