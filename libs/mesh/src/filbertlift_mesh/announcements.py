"""What the target beside this host says of itself, in whatever order."""

from collections.abc import Container
from typing import Final

import attrs

from filbertlift_mesh import directory

# A target that has said nothing for this many heartbeat intervals is not used.
MISSED_BEATS: Final = 4.0


@attrs.frozen
class Announcement:
    """One heartbeat of a target.

    Attributes:
        target: the target as it describes itself.
        address: where it says it can be reached, as text.
        sequence: grows with each heartbeat of an incarnation.
    """

    target: directory.TargetRecord
    address: str
    sequence: int


@attrs.frozen
class Departure:
    """A target's last word.

    Attributes:
        target_id: id of the target.
        born_ms: Unix milliseconds of its start; None when it did not say.
    """

    target_id: str
    born_ms: int | None


@attrs.define(eq=False)
class LocalTarget:
    """The target beside this host.

    Attributes:
        address: where it is reached, from the settings.
        services: names of the services that it may claim; None before the
            first configuration.
        beat_interval_s: interval of heartbeats, in seconds.
        current: what is known of the present incarnation.
        heard_at: when its last heartbeat came, in seconds.
    """

    address: str
    beat_interval_s: float
    services: Container[str] | None = None
    current: directory.TargetRecord | None = None
    heard_at: float = float("-inf")
    _sequence: int = -1
    _departed: directory.TargetRecord | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the present incarnation said that it drains or leaves."""
        held = self.current
        return (
            held is not None and held.state is not directory.TargetState.READY
        )

    def note_beat(self, beat: Announcement, now: float) -> str:
        """Takes a heartbeat; returns `news`, `known` or why it was left out."""
        target = beat.target
        if beat.address != self.address:
            return "other-address"
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
            # A drain is never taken back within an incarnation.
            target = attrs.evolve(target, state=max(held.state, target.state))
        left = self._departed
        if left is not None and _get_key(left) == _get_key(target):
            target = attrs.evolve(target, state=directory.TargetState.LEFT)
        self._sequence = beat.sequence
        self.heard_at = now
        if target == held:
            return "known"
        self.current = target
        return "news"

    def note_departure(self, departure: Departure) -> str:
        """Takes a target's last word; returns `news` or why not."""
        held = self.current
        if held is None or held.target_id != departure.target_id:
            return "other-target"
        if departure.born_ms is not None and departure.born_ms < held.born_ms:
            return "earlier-incarnation"
        if held.state is directory.TargetState.LEFT:
            return "known"
        self.current = attrs.evolve(held, state=directory.TargetState.LEFT)
        return "news"

    def restore(self, departed: directory.TargetRecord) -> bool:
        """Takes over a departure that an earlier node here acknowledged.

        Returns:
            Whether what is known of the present target changed.
        """
        self._departed = departed
        held = self.current
        if held is None or _get_key(held) != _get_key(departed):
            return False
        self.current = attrs.evolve(held, state=max(held.state, departed.state))
        return self.current != held

    def get_usable(self, now: float) -> directory.TargetRecord | None:
        """Returns the target if new calls may be sent to it."""
        held = self.current
        if held is None or held.state is not directory.TargetState.READY:
            return None
        if now - self.heard_at > MISSED_BEATS * self.beat_interval_s:
            return None
        return held


def _get_key(target: directory.TargetRecord) -> tuple[str, int]:
    return target.target_id, target.born_ms
