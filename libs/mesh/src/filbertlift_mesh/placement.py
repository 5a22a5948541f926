"""Choice of the target of a call, by the time it is expected to take there.

What this node sent and what each answer reports of the target's load is
fresher than any periodic report. Distance costs the time on the way; another
region also costs bytes on the paid link, counted as time, so that work leaves
the region only when that saves more.
"""

from collections.abc import Collection
from collections.abc import Iterable
import enum
import random
from typing import Final

import attrs

from filbertlift_calls import means
from filbertlift_core import model
from filbertlift_mesh import backlog
from filbertlift_mesh import configuration
from filbertlift_mesh import directory


class Distance(enum.IntEnum):
    """How far a target is from this host."""

    HOST = 0
    DATA_CENTRE = 1
    REGION = 2
    ELSEWHERE = 3


# Time on the way there and back, in seconds.
WAY_S: Final = {
    Distance.HOST: 0.0,
    Distance.DATA_CENTRE: 0.003,
    Distance.REGION: 0.004,
    Distance.ELSEWHERE: 0.045,
}
# The way of earlier calls, measured, counts for this long, in seconds; then the
# host gets another chance.
WAY_AGE_S: Final = 3.0
# What the bytes of a call count for on the way there, in seconds of waiting.
# Links between data centres are paid by volume, and far more those between
# regions; an answer to a download is some fifty times larger than others.
BYTES_S: Final = {
    Distance.HOST: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.01,
    Distance.ELSEWHERE: 0.1,
}
DOWNLOAD_BYTES_S: Final = {
    Distance.HOST: 0.0,
    Distance.DATA_CENTRE: 0.0,
    Distance.REGION: 0.3,
    Distance.ELSEWHERE: 5.0,
}
# What a certain failure counts for, in seconds of waiting.
FAILURE_COST_S: Final = 2.0
FAILURE_GAIN: Final = 0.1
# Failures say less the older they are: half as much after this, in seconds.
FAILURE_HALF_S: Final = 2.0
# A reported load says nothing any more after this time, in seconds.
REPORT_AGE_S: Final = 1.0
# Time that a host is left out after it could not be reached, in seconds.
FIRST_AVOID_S: Final = 0.5
MAX_AVOID_S: Final = 4.0
# Spreads the choices of nodes that see the same loads.
JITTER: Final = 0.1
# Targets looked at for one call; more would not find a better one.
MAX_CANDIDATES: Final = 8
_NEVER: Final = float("-inf")


@attrs.define(eq=False)
class TargetView:
    """One target as this node sees it.

    Attributes:
        address: address of the node beside it.
        target: what it says of itself.
        distance: how far it is from here.
        in_flight: calls sent from here that have not ended.
        reported_busy: calls that ran or waited there by the last answer.
        reported_at: when that answer came, in seconds.
        sent_since: calls sent from here since then.
        service: service time over all classes, as reported, in seconds.
        services: the target's mean service time by class, in seconds.
        turns: by class, until when a call would wait there, as it was told
            when it refused one, in seconds.
        ways: time of earlier calls besides waiting and running, for small and
            for large answers; it shows slow hosts and narrow links.
        way_at: when the last one was measured, in seconds.
        failure: share of recent calls that failed, 0 to 1.
        failed_at: when that was last brought up to date, in seconds.
    """

    address: model.Address
    target: directory.TargetRecord
    distance: Distance
    in_flight: int = 0
    reported_busy: int = 0
    reported_at: float = _NEVER
    sent_since: int = 0
    service: means.Mean = attrs.field(factory=backlog.make_mean)
    services: dict[str, float] = attrs.field(factory=dict)
    turns: dict[str, float] = attrs.field(factory=dict)
    ways: dict[bool, means.Mean] = attrs.field(factory=dict)
    way_at: dict[bool, float] = attrs.field(factory=dict)
    failure: float = 0.0
    failed_at: float = _NEVER

    def note_sent(self) -> None:
        """Records that a call goes there."""
        self.in_flight += 1
        self.sent_since += 1

    def note_end(self) -> None:
        """Records that a call ended, however it did."""
        self.in_flight -= 1
        self.sent_since = min(self.sent_since, self.in_flight)

    def note_load(self, busy: int, now: float) -> None:
        """Records the load that an answer reports."""
        self.reported_busy = busy
        self.reported_at = now
        self.sent_since = 0

    def note_service(self, work_class: str, mean_s: float) -> None:
        """Records the target's mean service time, as the node there told it.

        One call of many entries tells little of a target by its own time.
        """
        self.service.add(mean_s)
        self.services[work_class] = mean_s

    def note_turn(self, work_class: str, wait_s: float, now: float) -> None:
        """Records how long a call of a class would wait there, in seconds."""
        if wait_s > 0:
            self.turns[work_class] = now + wait_s
        else:
            self.turns.pop(work_class, None)

    def note_way(self, is_download: bool, way_s: float, now: float) -> None:
        """Records the time of a call besides waiting and running."""
        if now - self.way_at.get(is_download, _NEVER) > WAY_AGE_S:
            self.ways.pop(is_download, None)
        self.ways.setdefault(is_download, backlog.make_mean()).add(way_s)
        self.way_at[is_download] = now

    def get_way(self, is_download: bool, now: float) -> float:
        """Returns the expected time besides waiting and running."""
        if now - self.way_at.get(is_download, _NEVER) > WAY_AGE_S:
            return WAY_S[self.distance]
        return max(WAY_S[self.distance], self.ways[is_download].value)

    def note_result(self, is_failure: bool, now: float) -> None:
        """Records whether a call that the target ran failed."""
        self.failure = self.get_failure(now)
        self.failure += FAILURE_GAIN * (float(is_failure) - self.failure)
        self.failed_at = now

    def get_failure(self, now: float) -> float:
        """Returns the share of failures, less with time."""
        if not self.failure:
            return 0.0
        return self.failure * 0.5 ** ((now - self.failed_at) / FAILURE_HALF_S)

    def estimate_busy(self, now: float) -> float:
        """Returns the calls that run or wait there, as far as known here."""
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
            self.service.value
            if self.service.count
            else backlog.DEFAULT_SERVICE_S
        )
        return over * mean_s / slots


@attrs.define(eq=False)
class Avoidance:
    """A host that could not be reached, and until when it is left out."""

    until: float
    pause_s: float


@attrs.frozen
class Wish:
    """What a choice has to respect.

    Attributes:
        service: service of the call.
        work_class: class of the call.
        is_download: whether its answer is large.
        excluded: hosts that were tried before.
        full: hosts that had no free slot for the call.
        only_full: whether no further host is asked for a free slot.
    """

    service: str
    work_class: str
    is_download: bool
    excluded: Collection[model.Address] = ()
    full: Collection[model.Address] = ()
    only_full: bool = False


@attrs.define(eq=False)
class Placement:
    """The targets of all services, and the choice among them.

    Attributes:
        place: where this host stands.
        address: address of this host.
        rng: spreads the choices.
        views: by service and by address.
        avoided: hosts that could not be reached.
    """

    place: model.Place
    address: model.Address
    rng: random.Random
    views: dict[str, dict[model.Address, TargetView]] = attrs.field(
        factory=dict
    )
    avoided: dict[model.Address, Avoidance] = attrs.field(factory=dict)

    def update(self, records: Iterable[directory.HostRecord]) -> None:
        """Takes over the records of live hosts, this one included."""
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

    def choose(self, wish: Wish, now: float) -> TargetView | None:
        """Returns the target with the lowest cost, None when there is none."""
        best: TargetView | None = None
        best_cost = float("inf")
        for view in self._list_candidates(wish, now):
            cost = self.estimate_cost(view, wish, now)
            cost *= 1.0 + JITTER * self.rng.random()
            if cost < best_cost:
                best, best_cost = view, cost
        return best

    def estimate_cost(self, view: TargetView, wish: Wish, now: float) -> float:
        """Returns the expected time of a call there, in seconds."""
        turn_s = view.turns.get(wish.work_class, now) - now
        cost = view.get_way(wish.is_download, now)
        cost += max(view.estimate_wait(now), turn_s)
        cost += self._get_service_time(view, wish)
        cost += FAILURE_COST_S * view.get_failure(now)
        paid = DOWNLOAD_BYTES_S if wish.is_download else BYTES_S
        return cost + paid[view.distance]

    def estimate_retry(self, service: str, now: float) -> float:
        """Returns when a target of a service should have room, in seconds."""
        waits = [
            view.estimate_wait(now)
            for view in self.views.get(service, {}).values()
        ]
        return min(waits, default=backlog.MAX_RETRY_AFTER_S)

    def avoid(self, address: model.Address, now: float) -> None:
        """Leaves a host out that could not be reached, longer each time."""
        held = self.avoided.get(address)
        pause_s = FIRST_AVOID_S
        if held is not None:
            if now < held.until:
                return
            pause_s = min(MAX_AVOID_S, 2.0 * held.pause_s)
        self.avoided[address] = Avoidance(now + pause_s, pause_s)

    def note_reached(self, address: model.Address) -> None:
        """Takes a host in again that answered."""
        self.avoided.pop(address, None)

    def _list_candidates(self, wish: Wish, now: float) -> list[TargetView]:
        listed = [
            view
            for view in self.views.get(wish.service, {}).values()
            if view.address not in wish.excluded
        ]
        reachable = [
            view for view in listed if not self._is_avoided(view.address, now)
        ]
        # When no host is known to be reachable, trying one is all there is.
        listed = reachable or listed
        full = [view for view in listed if view.address in wish.full]
        if wish.only_full and full:
            return full
        if len(listed) <= MAX_CANDIDATES:
            return listed
        listed = [view for view in listed if view.address not in wish.full]
        return full + self._sample(listed)

    def _sample(self, listed: list[TargetView]) -> list[TargetView]:
        if len(listed) <= MAX_CANDIDATES:
            return listed
        near = [v for v in listed if v.distance is not Distance.ELSEWHERE]
        if len(near) >= MAX_CANDIDATES:
            return self.rng.sample(near, MAX_CANDIDATES)
        return self.rng.sample(listed, MAX_CANDIDATES)

    def _is_avoided(self, address: model.Address, now: float) -> bool:
        held = self.avoided.get(address)
        return held is not None and now < held.until

    def _get_service_time(self, view: TargetView, wish: Wish) -> float:
        own = view.services.get(wish.work_class)
        if own is not None:
            return own
        # A target that has not been measured counts as the fastest one, so
        # that it gets its first calls.
        known = [
            other.services[wish.work_class]
            for other in self.views.get(wish.service, {}).values()
            if wish.work_class in other.services
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


def make_wish(
    route: configuration.Route,
    service: str,
    excluded: Collection[model.Address] = (),
    full: Collection[model.Address] = (),
    only_full: bool = False,
) -> Wish:
    """Returns the wish of a call on a route."""
    is_download = route.kind is configuration.CallKind.DOWNLOAD
    return Wish(
        service, route.work_class, is_download, excluded, full, only_full
    )


def _is_usable(record: directory.HostRecord) -> bool:
    target = record.target
    assert target is not None
    return target.state is directory.TargetState.READY and not record.is_leaving


def _is_same(
    one: directory.TargetRecord, other: directory.TargetRecord
) -> bool:
    return (one.target_id, one.born_ms) == (other.target_id, other.born_ms)
