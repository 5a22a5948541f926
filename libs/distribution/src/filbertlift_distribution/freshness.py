"""Age of the version in force, without synchronised clocks."""

import attrs

# Added for each hop whose delay was not measured.
HOP_ALLOWANCE_S = 0.05


@attrs.define
class Freshness:
    """When the store last confirmed that no newer version existed.

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
        """Takes the age that a message carried; it only lowers the age.

        Args:
            version: version in force at the sender.
            age: seconds since the store confirmed it, when it was sent.
            now: seconds on the clock of this node.
            transit: upper bound in seconds of the way of the message.
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
        """States the version in force; a lower one is ignored."""
        self.version = max(self.version, version)
        if 0 < self._next_version <= self.version:
            self._confirmed_at = max(
                self._confirmed_at, self._next_confirmed_at
            )
            self._next_version = 0

    def age(self, now: float) -> float:
        """Returns the upper bound of the age in seconds, or infinity."""
        return now - self._confirmed_at

    def is_stale(self, max_age: float, now: float) -> bool:
        """Returns whether the age may exceed `max_age` seconds."""
        return self.age(now) > max_age
