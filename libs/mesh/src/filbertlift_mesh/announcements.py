"""State of the target on this host, from its heartbeats and departure notices.

The messages may arrive late or out of order.
"""

from collections import OrderedDict
from collections.abc import Container
from typing import Final

import attrs

from filbertlift_mesh import directory

# A target gets no new calls once its last heartbeat is older than this many
# heartbeat intervals.
MAX_MISSED_BEATS: Final = 4.0
# Targets that are remembered as leaving; later ones replace the oldest.
MAX_LEAVING: Final = 16
# Result of a heartbeat that names another address than that of the target.
OTHER_ADDRESS: Final = "other-address"
# Result of a heartbeat that is not enough to use its target.
WAITING: Final = "waiting"
# Least time between the first heartbeat that a node receives of an incarnation
# and the one that confirms it, in seconds. Late heartbeats that were held up
# together arrive within milliseconds of each other.
MIN_CONFIRMATION_S: Final = 0.1


@attrs.frozen
class Heartbeat:
    """What one heartbeat of a target reports.

    Attributes:
        target: the target as the heartbeat describes it.
        address: where the target says it can be reached, as text.
        sequence: number that grows with each heartbeat of an incarnation.
        cold_s: remaining time for which the target is slow after its start, in
            seconds.
    """

    target: directory.TargetRecord
    address: str
    sequence: int
    cold_s: float = 0.0


@attrs.frozen
class Departure:
    """Notice of a target that it leaves.

    Attributes:
        target_id: id of the target.
        born_ms: Unix milliseconds of its start; None if the notice has none.
    """

    target_id: str
    born_ms: int | None


@attrs.define(eq=False)
class LocalTarget:
    """The target on this host.

    Attributes:
        address: address of the target, from the settings.
        beat_interval_s: interval of heartbeats, in seconds.
        services: names of the services that the target may belong to; None
            before the first configuration.
        current: record of the current incarnation.
        heard_at: when the last accepted heartbeat arrived, in seconds.
        is_recovered: whether the departures of earlier nodes on this host have
            been asked for. Until then the latest heartbeat waits.
        is_confirmed: whether the target has reported again after its first
            heartbeat here. An acknowledged departure may be lost with all that
            held it, and a single heartbeat may be a late one from before it.
            Until then the latest heartbeat waits as well.
        has_releases: whether the release of the target is announced.
        cold_until: when the target is no longer slow after its start, in
            seconds.
    """

    address: str
    beat_interval_s: float
    services: Container[str] | None = None
    current: directory.TargetRecord | None = None
    heard_at: float = float("-inf")
    is_recovered: bool = True
    is_confirmed: bool = attrs.field(
        default=attrs.Factory(lambda self: self.is_recovered, takes_self=True)
    )
    has_releases: bool = False
    cold_until: float = float("-inf")
    _waiting: tuple[Heartbeat, float] | None = None
    # The first heartbeat of the incarnation that is to be confirmed.
    _first: tuple[Heartbeat, float] | None = None
    _sequence: int = -1
    # The latest incarnation of each target that leaves, by the target's id,
    # whether or not it is current: its departure may arrive before any of its
    # heartbeats. Earlier incarnations of the target ended when it started.
    _leaving: OrderedDict[str, directory.TargetRecord] = attrs.field(
        factory=OrderedDict
    )

    @property
    def is_leaving(self) -> bool:
        """Whether the current incarnation is draining or has left."""
        held = self.current
        return (
            held is not None and held.state is not directory.TargetState.READY
        )

    def list_departures(self) -> list[directory.TargetRecord]:
        """Returns the incarnations that leave, the last heard of at the end.

        Service and slots are left out.
        """
        departed = dict(self._leaving)
        held = self.current
        if held is not None and self.is_leaving:
            departed[held.target_id] = max(
                _strip(held),
                departed.pop(held.target_id, _strip(held)),
                key=_get_rank,
            )
        return list(departed.values())

    def note_beat(self, beat: Heartbeat, now: float) -> str:
        """Processes a heartbeat.

        The drain that a heartbeat reports is remembered also if the heartbeat
        is ignored otherwise, since it is acknowledged to its sender.

        Returns:
            `news` if the record changed, `known` if it did not, `WAITING`
            before the recovery or the confirmation, or the reason why it was
            ignored; `OTHER_ADDRESS` if it is not from the target on this host.
        """
        if beat.address != self.address:
            return OTHER_ADDRESS
        has_changed = self._note_leaving(beat.target)
        if not self.is_confirmed:
            self.is_confirmed = self._confirms(beat, now)
        if not self.is_recovered or not self.is_confirmed:
            self._wait(beat, now)
            return WAITING
        result = self._merge_beat(beat, now)
        return "news" if has_changed else result

    def finish_recovery(self) -> bool:
        """Applies the heartbeat that waits for nothing else.

        Returns:
            Whether there was one.
        """
        self.is_recovered = True
        if not self.is_confirmed or self._waiting is None:
            return False
        self._merge_beat(*self._waiting)
        self._waiting = None
        return True

    def _wait(self, beat: Heartbeat, now: float) -> None:
        if self._waiting is None or _get_order(beat) > _get_order(
            self._waiting[0]
        ):
            self._waiting = beat, now

    def _confirms(self, beat: Heartbeat, now: float) -> bool:
        """Returns whether a heartbeat shows that its target still reports.

        The answer to its first heartbeat asked the target to repeat it, so one
        with a higher number is no copy and was sent after the start of this
        node, unless two late ones arrive independently of each other.
        """
        if self._first is None or _is_later(beat, self._first[0]):
            self._first = beat, now
            return False
        first, first_at = self._first
        return (
            _get_key(beat.target) == _get_key(first.target)
            and beat.sequence > first.sequence
            and now - first_at >= MIN_CONFIRMATION_S
        )

    def _merge_beat(self, beat: Heartbeat, now: float) -> str:
        target = beat.target
        if not self.has_releases:
            target = attrs.evolve(target, release="")
        if self.services is not None and target.service not in self.services:
            return "unknown-service"
        held = self.current
        if held is not None and target.born_ms < held.born_ms:
            return "earlier-incarnation"
        is_same = held is not None and _get_key(held) == _get_key(target)
        if is_same:
            if beat.sequence <= self._sequence:
                return "out-of-order"
            assert held is not None
            # Draining is final within an incarnation.
            target = attrs.evolve(target, state=max(held.state, target.state))
        target = self._apply_departures(target)
        self._sequence = beat.sequence
        self.heard_at = now
        self.cold_until = now + beat.cold_s
        if target == held:
            return "known"
        self.current = target
        return "news"

    def note_departure(self, departure: Departure, unix_ms: int) -> str:
        """Processes a departure notice.

        Args:
            departure: the notice.
            unix_ms: current time, in Unix milliseconds.

        Returns:
            `news` if the record changed, `known` if the target had left
            before, `remembered` if no heartbeat of the incarnation has
            arrived, or `earlier-incarnation` if a later one is current.
        """
        held = self.current
        if held is None or held.target_id != departure.target_id:
            born_ms = departure.born_ms
            self._note_left(
                departure.target_id, unix_ms if born_ms is None else born_ms
            )
            return "remembered"
        if departure.born_ms is None:
            # Whichever incarnation sent the notice has started by now.
            born_ms = max(unix_ms, held.born_ms)
        else:
            born_ms = departure.born_ms
        if self._note_left(departure.target_id, born_ms):
            return "news"
        if born_ms < held.born_ms:
            return "earlier-incarnation"
        return "known" if departure.born_ms == held.born_ms else "remembered"

    def restore(self, departed: directory.TargetRecord) -> bool:
        """Restores a departure that an earlier node on this host acknowledged.

        Returns:
            Whether the record of the current incarnation changed.
        """
        return self._note_leaving(departed)

    def _note_left(self, target_id: str, born_ms: int) -> bool:
        left = directory.TargetState.LEFT
        record = directory.TargetRecord(target_id, born_ms, "", 0, left)
        return self._note_leaving(record)

    def _note_leaving(self, target: directory.TargetRecord) -> bool:
        """Remembers the state of an incarnation that leaves.

        Returns:
            Whether the record of the current incarnation changed.
        """
        if target.state is directory.TargetState.READY:
            return False
        departed = _strip(target)
        known = self._leaving.pop(target.target_id, departed)
        self._leaving[target.target_id] = max(known, departed, key=_get_rank)
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        held = self.current
        if held is None:
            return False
        self.current = self._apply_departures(held)
        return self.current != held

    def _apply_departures(
        self, target: directory.TargetRecord
    ) -> directory.TargetRecord:
        """Returns a record with the state that departures leave it in."""
        departed = self._leaving.get(target.target_id)
        if departed is None or departed.born_ms < target.born_ms:
            return target
        state = departed.state
        if departed.born_ms > target.born_ms:
            state = directory.TargetState.LEFT
        return attrs.evolve(target, state=max(state, target.state))

    def get_usable(self, now: float) -> directory.TargetRecord | None:
        """Returns the target's record if new calls may be sent to it."""
        held = self.current
        if held is None or held.state is not directory.TargetState.READY:
            return None
        if now - self.heard_at > MAX_MISSED_BEATS * self.beat_interval_s:
            return None
        return held


def _get_key(target: directory.TargetRecord) -> tuple[str, int]:
    return target.target_id, target.born_ms


def _is_later(beat: Heartbeat, other: Heartbeat) -> bool:
    """Returns whether a heartbeat is of another, later incarnation."""
    return (
        _get_key(beat.target) != _get_key(other.target)
        and beat.target.born_ms >= other.target.born_ms
    )


def _get_order(beat: Heartbeat) -> tuple[int, int]:
    return beat.target.born_ms, beat.sequence


def _strip(target: directory.TargetRecord) -> directory.TargetRecord:
    return attrs.evolve(target, service="", slots=0, release="")


def _get_rank(target: directory.TargetRecord) -> tuple[int, int]:
    return target.born_ms, target.state
