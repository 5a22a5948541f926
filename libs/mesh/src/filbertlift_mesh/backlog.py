"""Admission and queueing of calls in front of one target.

Only this node sends calls to the target, so it knows exactly which calls run
and which wait, and a call refused here has certainly not run. When demand
exceeds the slots, calls with a higher priority go first. Within a priority,
calls that should still meet their objective go first, the one with the least
slack before the others. Then follow the rest, the latest objective first: it
may still be met, and in order of arrival all of them would miss theirs when the
target is slow. Calls whose objective had passed before they came, since their
callers were refused earlier, go behind all of these, the oldest first.

A call that is not expected to finish before its deadline is refused at once,
and so is one that is expected to be late while the work that goes before it
takes nearly all slots. The refusal carries the expected wait.

Organisations share the slots fairly among calls that are alike in this; see
`fairness`.

Unlike `filbertlift_calls.admission`, it reserves no slots for a class of work.
"""

import enum
import itertools
from typing import Final

import attrs

from filbertlift_calls import means as averages
from filbertlift_mesh import exceptions
from filbertlift_mesh import fairness
from filbertlift_mesh import rates
from filbertlift_mesh import reasons

# Weight of the newest service time after the first ten samples.
MEAN_GAIN: Final = 0.1
# Expected service time while there is no sample, in seconds.
DEFAULT_SERVICE_S: Final = 0.1
# Maximum number of waiting calls; all are scanned when a slot becomes free.
MAX_WAITING: Final = 500
# The same for one organisation.
MAX_ORGANISATION_WAITING: Final = 100
# Mean service times that a call needs before its objective. With less, the tail
# of the service times makes it miss the objective too often.
START_MARGIN: Final = 2.0
# Time before its deadline at which a waiting call is refused at the latest, in
# seconds, so that its entry can tell the caller that it has not run.
ANSWER_MARGIN_S: Final = 0.03
# Lowest share of the slots that the work ahead has to leave for a call that is
# expected to be late; with less, it would only wait to be refused.
MIN_SPARE_SHARE: Final = 0.1
# Lowest share of the slots that is assumed for the last calls in the queue; it
# bounds their expected wait.
MIN_SLOT_SHARE: Final = 0.05
# Longest wait that a refused caller is told, in seconds; beyond it the caller
# may as well retry at any time.
MAX_RETRY_AFTER_S: Final = 5.0


# Calls that go before or after all others together: whether their objective had
# passed before they came, their priority, and whether they are likely to miss
# their objective.
Group = tuple[bool, int, bool]
# Sort key of a call: its group and its order in that.
Rank = tuple[Group, float]


def make_mean() -> averages.Mean:
    """Returns an average of service times."""
    return averages.Mean(gain=MEAN_GAIN)


@attrs.define(eq=False)
class Ticket:
    """One call that needs a slot.

    Attributes:
        request_id: id of the request, for logs.
        work_class: calls of one class are expected to take similar times.
        priority: rank; 0 goes first.
        objective_at: time after which an answer has less value, in seconds.
        deadline: time after which an answer is useless, in seconds.
        offered_at: when the call arrived at this node, in seconds.
        is_return: whether its objective had passed by then.
        organisation: name of the caller's organisation, empty if unknown.
        started_at: when the call got its slot; None while it waits.
    """

    request_id: str
    work_class: str
    priority: int
    objective_at: float
    deadline: float
    offered_at: float = 0.0
    is_return: bool = False
    started_at: float | None = None
    organisation: str = ""


class Refusal(enum.Enum):
    """Why a call was refused without having run."""

    FULL = reasons.QUEUE_FULL
    LATE = reasons.TOO_LATE
    SLOW = reasons.WAIT_TOO_LONG


@attrs.frozen
class Refused:
    """The call was refused.

    Attributes:
        reason: why the call was refused.
        retry_after_s: expected time until a slot is free, in seconds.
    """

    reason: Refusal
    retry_after_s: float


@attrs.frozen
class Started:
    """The call has a slot and can be sent to the target."""


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
        work_rates: rate of accepted work by group, in slot seconds per second.
            Refused calls do not count: most of them only search for a free slot
            and are offered to several targets.
        shares: shares of the organisations, by priority.
    """

    slots: int = 0
    running: set[Ticket] = attrs.field(factory=set)
    waiting: list[Ticket] = attrs.field(factory=list)
    mean: averages.Mean = attrs.field(factory=make_mean)
    means: dict[str, averages.Mean] = attrs.field(factory=dict)
    work_rates: dict[Group, rates.DecayingRate] = attrs.field(factory=dict)
    shares: dict[int, fairness.FairShares] = attrs.field(factory=dict)

    @property
    def busy(self) -> int:
        """Number of calls that run or wait."""
        return len(self.running) + len(self.waiting)

    def offer(
        self, ticket: Ticket, max_wait_s: float, now: float
    ) -> Started | Waiting | Refused:
        """Starts, queues or refuses an arriving call.

        Args:
            ticket: the call.
            max_wait_s: longest wait that the sender accepts, in seconds.
            now: current time, in seconds.
        """
        ticket.offered_at = now
        ticket.is_return = ticket.objective_at <= now
        service_s = self.get_service_time(ticket.work_class)
        if len(self.running) < self.slots and not self.waiting:
            if ticket.deadline <= now:
                return Refused(Refusal.LATE, 0.0)
            self._count_work(ticket, service_s, now)
            return self._start(ticket, now)
        wait_s = self.estimate_wait(ticket, now)
        if self._is_full_for(ticket.organisation):
            return self._refuse(Refusal.FULL, wait_s)
        if now + wait_s + service_s > ticket.deadline:
            return self._refuse(Refusal.LATE, wait_s)
        if wait_s > max_wait_s:
            return self._refuse(Refusal.SLOW, wait_s)
        rank = self._adjust_rank(ticket, wait_s, now)
        adjusted_s = wait_s
        if rank != self._rank(ticket, now):
            adjusted_s = self._estimate_rank_wait(ticket, rank, now)
        if now + adjusted_s + service_s > ticket.deadline:
            return self._refuse(Refusal.LATE, adjusted_s)
        if rank[0][2] and self._get_spare(rank, now) <= MIN_SPARE_SHARE:
            return self._refuse(Refusal.LATE, adjusted_s)
        self._count_work(ticket, service_s, now)
        self.waiting.append(ticket)
        return WAITING

    def release(self, ticket: Ticket, is_sample: bool, now: float) -> None:
        """Releases the slot of a call.

        Args:
            ticket: a started call.
            is_sample: whether the run counts as a sample of the service time.
            now: current time, in seconds.

        Raises:
            BacklogError: if the call holds no slot.
        """
        if ticket not in self.running or ticket.started_at is None:
            raise exceptions.BacklogError(
                f"request {ticket.request_id} holds no slot"
            )
        self.running.remove(ticket)
        if not is_sample:
            return
        spent = now - ticket.started_at
        self.mean.add(spent)
        self.means.setdefault(ticket.work_class, make_mean()).add(spent)

    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a call from the queue; returns whether it was waiting."""
        if ticket not in self.waiting:
            return False
        self.waiting.remove(ticket)
        return True

    def drop_late(self, now: float) -> list[Ticket]:
        """Removes the waiting calls that are not expected to end in time.

        A call whose objective can no longer be met goes behind those that can
        still meet theirs. Under load it would wait until its deadline only to
        be refused then, so it is removed as soon as that is expected.

        Returns:
            The removed calls.
        """
        late: list[Ticket] = []
        ahead_s = self._estimate_first_free() * self.slots
        for ticket in self._list_in_order(self.waiting, now):
            service_s = self.get_service_time(ticket.work_class)
            wait_s = self._estimate_work_time(
                self._rank(ticket, now), ahead_s, now
            )
            if self._is_too_late(ticket, now + wait_s):
                late.append(ticket)
            else:
                ahead_s += service_s
        for ticket in late:
            self.waiting.remove(ticket)
        return late

    def clear(self) -> list[Ticket]:
        """Empties the queue and returns the calls that waited."""
        waiting, self.waiting = self.waiting, []
        return waiting

    def start_next(self, now: float) -> Ticket | None:
        """Starts the first waiting call in order if a slot is free.

        A call that will hardly end in time is left to `drop_late`, since its
        run would be wasted.
        """
        if not self.waiting or len(self.running) >= self.slots:
            return None
        listed = [t for t in self.waiting if not self._is_too_late(t, now)]
        if not listed:
            return None
        ticket = min(listed, key=lambda item: self._rank(item, now))
        if _has_organisations(listed):
            ticket = self._list_in_order(listed, now)[0]
        self.waiting.remove(ticket)
        self._start(ticket, now)
        return ticket

    def get_service_time(self, work_class: str) -> float:
        """Returns the expected service time of a class, in seconds."""
        mean = self.means.get(work_class)
        if mean is not None:
            return mean.value
        return self.mean.value if self.mean.count else DEFAULT_SERVICE_S

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Returns the expected wait of a call that is not in the queue yet.

        The estimate ignores that the call may fall back in the order when it
        can no longer meet its objective.
        """
        if not self.slots:
            return MAX_RETRY_AFTER_S
        return self._estimate_rank_wait(ticket, self._rank(ticket, now), now)

    def _is_full_for(self, organisation: str) -> bool:
        if len(self.waiting) >= MAX_WAITING:
            return True
        if not organisation:
            return False
        held = sum(t.organisation == organisation for t in self.waiting)
        return held >= MAX_ORGANISATION_WAITING

    def _list_in_order(self, listed: list[Ticket], now: float) -> list[Ticket]:
        """Returns waiting calls in the order in which they would start."""
        ordered = sorted(listed, key=lambda item: self._rank(item, now))
        if not _has_organisations(listed):
            return ordered
        merged: list[Ticket] = []
        for group, members in itertools.groupby(
            ordered, key=lambda item: self._rank(item, now)[0]
        ):
            merged += fairness.interleave(
                members,
                self._get_shares(group[1]),
                lambda ticket: ticket.organisation,
                lambda ticket: self.get_service_time(ticket.work_class),
            )
        return merged

    def _get_shares(self, priority: int) -> fairness.FairShares:
        return self.shares.setdefault(priority, fairness.FairShares())

    def _is_too_late(self, ticket: Ticket, start_at: float) -> bool:
        """Returns whether a call that starts then will hardly end in time.

        Half of the mean service time is required, since about half of the calls
        take less than the mean, many far less.
        """
        service_s = self.get_service_time(ticket.work_class)
        needed_s = max(service_s / 2, ANSWER_MARGIN_S)
        return start_at + needed_s >= ticket.deadline

    def _count_work(self, ticket: Ticket, service_s: float, now: float) -> None:
        group = self._rank(ticket, now)[0]
        self.work_rates.setdefault(group, rates.DecayingRate()).add(
            service_s, now
        )

    def _adjust_rank(self, ticket: Ticket, wait_s: float, now: float) -> Rank:
        """Returns the rank of a call after a possible loss of rank.

        A call that would start after `wait_s` too late for its objective goes
        behind the calls that can still meet theirs.
        """
        rank = self._rank(ticket, now)
        (is_return, priority, is_late), latest = rank
        if is_late or now + wait_s <= latest:
            return rank
        return (is_return, priority, True), -latest

    def _estimate_rank_wait(
        self, ticket: Ticket, rank: Rank, now: float
    ) -> float:
        ahead_s = own_s = 0.0
        others_s: dict[str, float] = {}
        for other in self.waiting:
            other_rank = self._rank(other, now)
            is_equal = other_rank[0] == rank[0]
            is_other = other.organisation != ticket.organisation
            if other_rank > rank and not (is_equal and is_other):
                continue
            service_s = self.get_service_time(other.work_class)
            if not is_equal:
                ahead_s += service_s
            elif is_other:
                name = other.organisation
                others_s[name] = others_s.get(name, 0.0) + service_s
            else:
                own_s += service_s
        ahead_s += fairness.estimate_ahead(
            self.get_service_time(ticket.work_class), own_s, others_s.values()
        )
        free = self.slots - len(self.running)
        if free > 0 and not ahead_s:
            return 0.0
        ahead_s += self._estimate_first_free() * self.slots
        return self._estimate_work_time(rank, ahead_s, now)

    def _rank(self, ticket: Ticket, now: float) -> Rank:
        """Returns the sort key of a call."""
        if ticket.is_return:
            return (True, ticket.priority, True), ticket.objective_at
        service_s = self.get_service_time(ticket.work_class)
        latest = ticket.objective_at - START_MARGIN * service_s
        is_late = latest < now
        group = (False, ticket.priority, is_late)
        return group, -latest if is_late else latest

    def _estimate_work_time(
        self, rank: Rank, ahead_s: float, now: float
    ) -> float:
        """Returns how long the work ahead of a call takes, in seconds.

        Calls that arrive later but go before it occupy part of the slots.
        """
        spare = max(self._get_spare(rank, now), MIN_SLOT_SHARE)
        return ahead_s / (max(1, self.slots) * spare)

    def _get_spare(self, rank: Rank, now: float) -> float:
        """Returns the share of the slots that the work ahead leaves.

        Among late calls that are no returns, those that arrive later go first.
        """
        group = rank[0]
        is_return, _priority, is_late = group
        taken = sum(
            rate.read(now)
            for other, rate in self.work_rates.items()
            if other < group or (other == group and is_late and not is_return)
        )
        return 1.0 - taken / max(1, self.slots)

    def _estimate_first_free(self) -> float:
        """Returns the expected time until a slot is free, in seconds.

        The running calls are assumed to end evenly spread over their mean
        service time.
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
        self._get_shares(ticket.priority).note_start(
            ticket.organisation, self.get_service_time(ticket.work_class)
        )
        return STARTED

    def _refuse(self, reason: Refusal, wait_s: float) -> Refused:
        return Refused(reason, min(wait_s, MAX_RETRY_AFTER_S))


def _has_organisations(listed: list[Ticket]) -> bool:
    """Returns whether calls belong to more than one organisation."""
    first = listed[0].organisation if listed else ""
    return any(ticket.organisation != first for ticket in listed)
