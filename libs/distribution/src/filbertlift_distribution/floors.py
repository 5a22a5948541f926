"""Version floors: neighbours remember what a host had in force."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model

MAX_HOSTS = 4_096
MIN_RESPONSES = 2
ASK_S = 0.5

Address = model.Address


@attrs.define
class FloorTable:
    """Highest version that each host reported; the oldest are dropped."""

    _versions: dict[Address, int] = attrs.field(factory=dict)
    _limit: int = MAX_HOSTS

    def report(self, address: Address, version: int) -> None:
        """Notes that a host holds a version."""
        known = self._versions.pop(address, 0)
        self._versions[address] = max(known, version)
        if len(self._versions) > self._limit:
            del self._versions[next(iter(self._versions))]

    def floor_of(self, address: Address) -> int:
        """Returns the highest version that a host reported, or 0."""
        return self._versions.get(address, 0)


@attrs.frozen
class SendAskFloor:
    """Ask a neighbour for the floor of this host."""

    to: Address


@attrs.define
class FloorGather:
    """Finds the version below which a starting node must not begin.

    Attributes:
        neighbours: nodes that are to respond.
        responses: version that each of them stated.
    """

    neighbours: set[Address] = attrs.field(factory=set)
    responses: dict[Address, int] = attrs.field(factory=dict)
    _head: int | None = None
    _asked_at: dict[Address, float] = attrs.field(factory=dict)

    def set_neighbours(self, neighbours: Iterable[Address]) -> None:
        """States the neighbours that are not DEAD."""
        self.neighbours = set(neighbours)

    def receive_floor(self, sender: Address, version: int) -> None:
        """Takes the response of a neighbour."""
        self.responses[sender] = max(version, self.responses.get(sender, 0))

    def receive_head(self, version: int) -> None:
        """Takes the version that the head at the store has."""
        self._head = version

    def tick(self, now: float) -> list[SendAskFloor]:
        """Asks the neighbours that have not responded."""
        due = [
            address
            for address in sorted(self.neighbours - self.responses.keys())
            if now - self._asked_at.get(address, float("-inf")) >= ASK_S
        ]
        self._asked_at.update(dict.fromkeys(due, now))
        return [SendAskFloor(address) for address in due]

    def result(self) -> int | None:
        """Returns the floor, or None while it is not known."""
        highest = max(self.responses.values(), default=0)
        if self._head is not None:
            return max(highest, self._head)
        if len(self.responses) < MIN_RESPONSES:
            return None
        if self.neighbours - self.responses.keys():
            return None
        return highest
