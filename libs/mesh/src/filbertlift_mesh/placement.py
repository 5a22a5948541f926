"""Choice of the target of a call, by the expected time of the call there.

The load of a target is estimated from the calls that this node sent and from
the load that each answer reports, which is more recent than any periodic
report. Distance adds network time. Another region also adds the cost of bytes
on the paid link, converted to seconds, so a call leaves the region only if that
saves more.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import random
from typing import Final

import attrs

from filbertlift_calls import means
from filbertlift_core import model
from filbertlift_mesh import backlog
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_mesh import expectation


class Distance(enum.IntEnum):
    """How far a target is from this host.

    HOST: on this host.
    DATA_CENTRE: on another host of this data centre.
    REGION: in another data centre of this region.
    ELSEWHERE: in another region.
    """

    HOST = 0
    DATA_CENTRE = 1
    REGION = 2
    ELSEWHERE = 3


# Network round trip by distance, in seconds.
ROUND_TRIP_S: Final = {
    Distance.HOST: 0.0,
    Distance.DATA_CENTRE: 0.003,
    Distance.REGION: 0.004,
    Distance.ELSEWHERE: 0.045,
}
# Time after which the overhead of earlier calls no longer counts, in seconds,
# so that a slow host gets calls again.
OVERHEAD_AGE_S: Final = 3.0
# Cost of a kilobyte of a call, converted to seconds of waiting. Links between
# data centres are paid by volume, and those between regions cost far more.
TRANSFER_COST_S_PER_KB: Final = {
    Distance.HOST: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.0035,
    Distance.ELSEWHERE: 0.035,
}
# Kilobytes of a call besides the body of its answer.
CALL_OVERHEAD_KB: Final = 0.8
# Expected kilobytes of an answer while none is known, by whether the call is a
# download.
DEFAULT_ANSWER_KB: Final = {False: 1.5, True: 90.0}
# Cost of a target whose calls all fail, converted to seconds of waiting.
FAILURE_COST_S: Final = 2.0
# Weight of the newest result in the share of failures.
FAILURE_GAIN: Final = 0.1
# Half-life of the share of failures, in seconds.
FAILURE_HALF_LIFE_S: Final = 2.0
# Time after which a reported load no longer counts, in seconds.
REPORT_AGE_S: Final = 1.0
# First and longest time for which an unreachable host is avoided, in seconds.
FIRST_AVOID_S: Final = 0.5
MAX_AVOID_S: Final = 4.0
# Random part of a cost, so that nodes that see the same loads choose different
# targets.
JITTER: Final = 0.1
# Targets compared for one call; more would not find a better one.
MAX_CANDIDATES: Final = 8
BYTES_PER_KB: Final = 1_000
_NEVER: Final = float("-inf")


@attrs.define(eq=False)
class TargetView:
    """One target as this node sees it.

    Attributes:
        address: address of the node on the target's host.
        target: record of the target.
        distance: distance from this host.
        in_flight: calls sent from this node that have not ended.
        reported_busy: calls that ran or waited there, from the last answer.
        reported_at: when that answer arrived, in seconds.
        sent_since: calls sent from this node since then.
        service_time: reported service time over all classes, in seconds.
        service_times: reported mean service time by class, in seconds.
        service_at: when it was reported, in seconds.
        wait_ends: by class, when the wait ends that the target's node reported
            with its last refusal, in seconds.
        overheads: time of earlier calls besides waiting and running, by whether
            they were downloads; it shows slow hosts and narrow links.
        overhead_at: when the last overhead was recorded, in seconds, by
            whether it was a download.
        failure: share of recent calls that failed, 0 to 1.
        failure_at: when the share was last updated, in seconds.
        seen_at: when the target was first considered for a call, in seconds;
            kept only where targets are restricted by release.
    """

    address: model.Address
    target: directory.TargetRecord
    distance: Distance
    in_flight: int = 0
    reported_busy: int = 0
    reported_at: float = _NEVER
    sent_since: int = 0
    service_time: means.Mean = attrs.field(factory=backlog.make_mean)
    service_times: dict[str, float] = attrs.field(factory=dict)
    service_at: dict[str, float] = attrs.field(factory=dict)
    wait_ends: dict[str, float] = attrs.field(factory=dict)
    overheads: dict[bool, means.Mean] = attrs.field(factory=dict)
    overhead_at: dict[bool, float] = attrs.field(factory=dict)
    failure: float = 0.0
    failure_at: float = _NEVER
    seen_at: float = float("inf")

    def note_sent(self) -> None:
        """Records that a call is sent to the target."""
        self.in_flight += 1
        self.sent_since += 1

    def note_end(self) -> None:
        """Records that a call ended, in whatever way."""
        self.in_flight -= 1
        self.sent_since = min(self.sent_since, self.in_flight)

    def note_load(self, busy: int, now: float) -> None:
        """Records the number of calls there that an answer reports."""
        self.reported_busy = busy
        self.reported_at = now
        self.sent_since = 0

    def note_service(
        self, work_class: str, mean_s: float, now: float = 0.0
    ) -> None:
        """Records the target's mean service time, as its node reports it.

        With many entries, each one sends too few calls to a target to measure
        the mean itself.
        """
        self.service_time.add(mean_s)
        self.service_times[work_class] = mean_s
        self.service_at[work_class] = now

    def note_wait(self, work_class: str, wait_s: float, now: float) -> None:
        """Records the wait that the target's node reports for a class."""
        if wait_s > 0:
            self.wait_ends[work_class] = now + wait_s
        else:
            self.wait_ends.pop(work_class, None)

    def note_overhead(
        self, is_download: bool, overhead_s: float, now: float
    ) -> None:
        """Records the time of a call besides waiting and running."""
        if now - self.overhead_at.get(is_download, _NEVER) > OVERHEAD_AGE_S:
            self.overheads.pop(is_download, None)
        self.overheads.setdefault(is_download, backlog.make_mean()).add(
            overhead_s
        )
        self.overhead_at[is_download] = now

    def get_overhead(self, is_download: bool, now: float) -> float:
        """Returns the expected time besides waiting and running."""
        if now - self.overhead_at.get(is_download, _NEVER) > OVERHEAD_AGE_S:
            return ROUND_TRIP_S[self.distance]
        return max(
            ROUND_TRIP_S[self.distance], self.overheads[is_download].value
        )

    def get_delay(self, now: float) -> float:
        """Returns how much busy nodes and links delay a small call, in seconds.

        That is the overhead beyond the usual round trip.
        """
        return self.get_overhead(False, now) - ROUND_TRIP_S[self.distance]

    def note_result(self, is_failure: bool, now: float) -> None:
        """Records whether a call that the target ran failed."""
        self.failure = self.get_failure(now)
        self.failure += FAILURE_GAIN * (float(is_failure) - self.failure)
        self.failure_at = now

    def get_failure(self, now: float) -> float:
        """Returns the share of failures, which decays with time."""
        if not self.failure:
            return 0.0
        return self.failure * 0.5 ** (
            (now - self.failure_at) / FAILURE_HALF_LIFE_S
        )

    def estimate_busy(self, now: float) -> float:
        """Returns the estimated number of calls that run or wait there."""
        age = now - self.reported_at
        if age >= REPORT_AGE_S:
            return self.in_flight
        reported = self.reported_busy * (1.0 - age / REPORT_AGE_S)
        return max(reported + self.sent_since, self.in_flight)

    def estimate_wait(self, now: float) -> float:
        """Returns the expected wait for a slot, in seconds."""
        slots = max(1, self.target.slots)
        over = self.estimate_busy(now) + 1.0 - slots
        if over <= 0:
            return 0.0
        mean_s = (
            self.service_time.value
            if self.service_time.count
            else backlog.DEFAULT_SERVICE_S
        )
        return over * mean_s / slots


@attrs.define(eq=False)
class Avoidance:
    """Avoidance of a host that could not be reached.

    Attributes:
        until: when the host may be chosen again, in seconds.
        pause_s: length of this avoidance, in seconds.
    """

    until: float
    pause_s: float


@attrs.frozen
class Criteria:
    """Criteria for the choice of a target.

    Attributes:
        service: service of the call.
        work_class: class of the call.
        is_download: whether its answer is large.
        excluded: hosts that may not be chosen.
        full: hosts that had no free slot for the call.
        only_full: whether only hosts in `full` are considered, if there are
            any.
        is_first: whether this is the first choice for the call.
    """

    service: str
    work_class: str
    is_download: bool
    excluded: Collection[model.Address] = ()
    full: Collection[model.Address] = ()
    only_full: bool = False
    is_first: bool = False


ListFunction = Callable[
    [Criteria, Mapping[model.Address, TargetView], float],
    Collection[TargetView],
]

PeekFunction = Callable[
    [str, Mapping[model.Address, TargetView], float],
    Collection[TargetView],
]


@attrs.define(eq=False)
class Placement:
    """The targets of all services, and the choice among them.

    Attributes:
        place: region and data centre of this host.
        address: address of this host.
        rng: source of the random part of costs and of samples.
        views: targets by service, then by address.
        avoided: hosts that could not be reached.
        answer_sizes: mean size of answers by class of calls, in kilobytes.
        list_targets: returns those of a service's targets that a call may be
            sent to; all of them unless roll-outs restrict them.
        peek_targets: returns the same for all calls of a service, and counts
            none.
        learned: choice by learned speeds and room; None if the nodes do not
            learn them.
    """

    place: model.Place
    address: model.Address
    rng: random.Random
    views: dict[str, dict[model.Address, TargetView]] = attrs.field(
        factory=dict
    )
    avoided: dict[model.Address, Avoidance] = attrs.field(factory=dict)
    answer_sizes: dict[str, means.Mean] = attrs.field(factory=dict)
    list_targets: ListFunction = lambda _criteria, views, _now: views.values()
    peek_targets: PeekFunction = lambda _service, views, _now: views.values()
    learned: expectation.Expectation | None = None

    def update(self, records: Iterable[directory.HostRecord]) -> None:
        """Updates the targets from the records of this and all live hosts."""
        present: dict[str, dict[model.Address, TargetView]] = {}
        for record in records:
            target = record.target
            if target is None or not _is_usable(record):
                continue
            held = self.views.get(target.service, {}).get(record.address)
            if held is not None and _is_same(held.target, target):
                held.target = target
            else:
                held = TargetView(
                    record.address, target, self._get_distance(record)
                )
            present.setdefault(target.service, {})[record.address] = held
        self.views = present
        if self.learned is not None:
            self.learned.update(self)

    def choose(self, criteria: Criteria, now: float) -> TargetView | None:
        """Returns the target with the lowest cost; None if there is none."""
        if self.learned is not None:
            return self.learned.choose(self, criteria, now)
        best: TargetView | None = None
        best_cost = float("inf")
        for view in self._list_candidates(criteria, now):
            cost = self.estimate_cost(view, criteria, now)
            cost *= 1.0 + JITTER * self.rng.random()
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def estimate_cost(
        self, view: TargetView, criteria: Criteria, now: float
    ) -> float:
        """Returns the expected time and other costs of a call, in seconds."""
        wait_s, service_s = self.estimate_parts(view, criteria, now)
        cost = view.get_overhead(criteria.is_download, now)
        cost += wait_s
        cost += service_s
        cost += FAILURE_COST_S * view.get_failure(now)
        return cost + self._estimate_transfer_cost(view, criteria)

    def estimate_parts(
        self, view: TargetView, criteria: Criteria, now: float
    ) -> tuple[float, float]:
        """Returns the expected wait and service time, in seconds."""
        if self.learned is not None:
            wait_s, service_s = self.learned.estimate_parts(
                self, view, criteria, now
            )
        else:
            wait_s = view.estimate_wait(now)
            service_s = self._get_service_time(view, criteria)
        reported_s = view.wait_ends.get(criteria.work_class, now) - now
        return max(wait_s, reported_s), service_s

    def estimate_room(
        self, view: TargetView, criteria: Criteria, now: float
    ) -> float:
        """Returns the expected number of free slots; below 0 if calls wait."""
        if self.learned is not None:
            busy = self.learned.estimate_busy(self, view, criteria, now)
        else:
            busy = view.estimate_busy(now)
        return view.target.slots - busy

    def get_margin(self, view: TargetView, criteria: Criteria) -> float:
        """Returns the share that a choice adds to the cost of a target."""
        if self.learned is None:
            return 0.0
        return expectation.get_margin(view, criteria)

    def get_avoided_s(self, address: model.Address, now: float) -> float:
        """Returns for how long a host is avoided, in seconds."""
        held = self.avoided.get(address)
        return max(0.0, held.until - now) if held is not None else 0.0

    def note_answer(self, work_class: str, size_bytes: int) -> None:
        """Records the size of an answer."""
        size = self.answer_sizes.setdefault(work_class, means.Mean())
        size.add(size_bytes / BYTES_PER_KB)

    def _estimate_transfer_cost(
        self, view: TargetView, criteria: Criteria
    ) -> float:
        """Returns the cost of the bytes of a call, in seconds of waiting."""
        size = self.answer_sizes.get(criteria.work_class)
        size_kb = (
            size.value
            if size is not None
            else DEFAULT_ANSWER_KB[criteria.is_download]
        )
        cost_per_kb = TRANSFER_COST_S_PER_KB[view.distance]
        return cost_per_kb * (CALL_OVERHEAD_KB + size_kb)

    def estimate_retry(self, service: str, now: float) -> float:
        """Returns the expected time until a slot is free, in seconds."""
        waits = [
            view.estimate_wait(now)
            for view in self.views.get(service, {}).values()
        ]
        return min(waits, default=backlog.MAX_RETRY_AFTER_S)

    def avoid(self, address: model.Address, now: float) -> None:
        """Avoids an unreachable host, for a longer time after each failure."""
        held = self.avoided.get(address)
        pause_s = FIRST_AVOID_S
        if held is not None:
            if now < held.until:
                return
            pause_s = min(MAX_AVOID_S, 2.0 * held.pause_s)
        self.avoided[address] = Avoidance(now + pause_s, pause_s)

    def note_reached(self, address: model.Address) -> None:
        """Ends the avoidance of a host that answered."""
        self.avoided.pop(address, None)

    def may_choose(
        self, view: TargetView, criteria: Criteria, now: float
    ) -> bool:
        """Returns whether a target may get a call that it was not asked for."""
        # An empty set would cost a hash of the address in each comparison.
        if not (criteria.excluded or criteria.full or self.avoided):
            return True
        address = view.address
        return (
            address not in criteria.excluded
            and address not in criteria.full
            and not self.is_avoided(address, now)
        )

    def list_allowed(
        self, criteria: Criteria, now: float
    ) -> Collection[TargetView] | None:
        """Returns the targets that roll-outs leave; None for all of them.

        Call it once for each choice, since it distributes the calls.
        """
        known = self.views.get(criteria.service, {})
        allowed = self.list_targets(criteria, known, now)
        return None if len(allowed) == len(known) else allowed

    def list_full(
        self,
        criteria: Criteria,
        allowed: Collection[TargetView] | None,
        now: float,
    ) -> list[TargetView]:
        """Returns the targets that had no free slot for the call."""
        if not criteria.full:
            return []
        return [
            view
            for view in self._get_allowed(criteria, allowed)
            if view.address in criteria.full
            and view.address not in criteria.excluded
            and not self.is_avoided(view.address, now)
        ]

    def list_all(
        self,
        criteria: Criteria,
        allowed: Collection[TargetView] | None,
        now: float,
    ) -> list[TargetView]:
        """Returns all targets that are left, or those on avoided hosts."""
        listed = [
            view
            for view in self._get_allowed(criteria, allowed)
            if view.address not in criteria.excluded
        ]
        reachable = [
            view for view in listed if not self.is_avoided(view.address, now)
        ]
        # If all hosts are avoided, one of them is tried anyway.
        return reachable or listed

    def _get_allowed(
        self, criteria: Criteria, allowed: Collection[TargetView] | None
    ) -> Collection[TargetView]:
        if allowed is not None:
            return allowed
        return self.views.get(criteria.service, {}).values()

    def _list_candidates(
        self, criteria: Criteria, now: float
    ) -> list[TargetView]:
        allowed = self.list_allowed(criteria, now)
        listed = self.list_all(criteria, allowed, now)
        full = [view for view in listed if view.address in criteria.full]
        if criteria.only_full and full:
            return full
        if len(listed) <= MAX_CANDIDATES:
            return listed
        listed = [view for view in listed if view.address not in criteria.full]
        return full + self._sample(listed)

    def _sample(self, listed: list[TargetView]) -> list[TargetView]:
        if len(listed) <= MAX_CANDIDATES:
            return listed
        near = [v for v in listed if v.distance is not Distance.ELSEWHERE]
        if len(near) >= MAX_CANDIDATES:
            return self.rng.sample(near, MAX_CANDIDATES)
        return self.rng.sample(listed, MAX_CANDIDATES)

    def is_avoided(self, address: model.Address, now: float) -> bool:
        """Returns whether a host is avoided, since it was not reached."""
        held = self.avoided.get(address)
        return held is not None and now < held.until

    def _get_service_time(self, view: TargetView, criteria: Criteria) -> float:
        own = view.service_times.get(criteria.work_class)
        if own is not None:
            return own
        # A target without a reported service time counts as the fastest one,
        # so that it gets its first calls.
        known = [
            other.service_times[criteria.work_class]
            for other in self.views.get(criteria.service, {}).values()
            if criteria.work_class in other.service_times
        ]
        return min(known, default=0.0)

    def _get_distance(self, record: directory.HostRecord) -> Distance:
        if record.address == self.address:
            return Distance.HOST
        if record.place.region != self.place.region:
            return Distance.ELSEWHERE
        if record.place.data_centre != self.place.data_centre:
            return Distance.REGION
        return Distance.DATA_CENTRE


def make_criteria(
    route: configuration.Route,
    service: str,
    excluded: Collection[model.Address] = (),
    full: Collection[model.Address] = (),
    only_full: bool = False,
    is_first: bool = False,
) -> Criteria:
    """Returns the criteria of a call on a route."""
    is_download = route.kind is configuration.CallKind.DOWNLOAD
    return Criteria(
        service,
        route.work_class,
        is_download,
        excluded,
        full,
        only_full,
        is_first,
    )


def _is_usable(record: directory.HostRecord) -> bool:
    target = record.target
    assert target is not None
    return target.state is directory.TargetState.READY and not record.is_leaving


def _is_same(
    one: directory.TargetRecord, other: directory.TargetRecord
) -> bool:
    return (one.target_id, one.born_ms) == (other.target_id, other.born_ms)
