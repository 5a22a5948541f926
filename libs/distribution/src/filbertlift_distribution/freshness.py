"""Age of the version in force, measured without synchronised clocks."""

import attrs

# Added to the age at each hop whose delay was not measured.
HOP_ALLOWANCE_S = 0.05
MAX_STAMPS = 16


@attrs.frozen
class Stamp:
    """Fields of a heartbeat from which the receiver bounds its delay.

    Attributes:
        number: sequence number of the heartbeat on the link, from 1.
        echo: number of the last heartbeat that the sender received, 0 for
            none.
        held_s: seconds from the arrival of the echoed heartbeat to the sending
            of this one.
    """

    number: int
    echo: int
    held_s: float


@attrs.define
class LinkDelay:
    """Upper bound of the delay of each heartbeat on one link.

    A heartbeat is sent after the one that it echoes. Its delay is therefore at
    most the time since that one was sent, less the time that the peer held it.
    """

    _number: int = 0
    _sent_at: dict[int, float] = attrs.field(factory=dict)
    _last_received: int = 0
    _last_received_at: float = 0.0

    def stamp(self, now: float) -> Stamp:
        """Returns the stamp for a heartbeat that is sent now."""
        self._number += 1
        self._sent_at[self._number] = now
        if len(self._sent_at) > MAX_STAMPS:
            del self._sent_at[next(iter(self._sent_at))]
        held = now - self._last_received_at if self._last_received else 0.0
        return Stamp(self._number, self._last_received, held)

    def receive(self, stamp: Stamp, now: float) -> float | None:
        """Returns the upper bound of the delay in seconds, None if unknown."""
        if stamp.number > self._last_received:
            self._last_received = stamp.number
            self._last_received_at = now
        sent_at = self._sent_at.get(stamp.echo)
        if sent_at is None:
            return None
        return max(now - sent_at - max(stamp.held_s, 0.0), 0.0)


@attrs.define
class Freshness:
    """Time at which the store last confirmed that no newer version existed.

    Attributes:
        version: version in force.
    """

    version: int = 0
    _confirmed_at: float = float("-inf")
    _next_version: int = 0
    _next_confirmed_at: float = float("-inf")

    def confirm(
        self,
        version: int,
        age: float,
        now: float,
        transit: float = HOP_ALLOWANCE_S,
    ) -> None:
        """Applies the age that a message carried; never raises the own age.

        A confirmation of a version newer than the one in force does not confirm
        the latter. It is kept until the newer version is in force.

        Args:
            version: version in force at the sender.
            age: seconds since the store confirmed it, when it was sent.
            now: seconds on the clock of this node.
            transit: upper bound in seconds of the delay of the message.
        """
        at = now - max(age, 0.0) - max(transit, 0.0)
        if version <= self.version:
            self._confirmed_at = max(self._confirmed_at, at)
            return
        if version > self._next_version:
            self._next_version = version
            self._next_confirmed_at = at
            return
        if version == self._next_version:
            self._next_confirmed_at = max(self._next_confirmed_at, at)

    def put_in_force(self, version: int) -> None:
        """Sets the version in force; lower versions are ignored."""
        self.version = max(self.version, version)
        if 0 < self._next_version <= self.version:
            self._confirmed_at = max(
                self._confirmed_at, self._next_confirmed_at
            )
            self._next_version = 0

    def age(self, now: float) -> float:
        """Returns the upper bound of the age in seconds.

        It is infinity before the first confirmation.
        """
        return now - self._confirmed_at

    def is_stale(self, max_age: float, now: float) -> bool:
        """Returns whether the age may exceed `max_age` seconds."""
        return self.age(now) > max_age
