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
    """Highest version that each host may have in force.

    A version is noted for a host that reported it and for a host to which this
    node passed it on. The host that was heard of least recently is dropped.
    """

    _versions: dict[Address, int] = attrs.field(factory=dict)
    _limit: int = MAX_HOSTS

    def report(self, address: Address, version: int) -> None:
        """Notes that a host holds a version; a lower one changes nothing."""
        known = self._versions.pop(address, 0)
        self._versions[address] = max(known, version)
        if len(self._versions) > self._limit:
            del self._versions[next(iter(self._versions))]

    def floor_of(self, address: Address) -> int:
        """Returns the highest version noted for a host, or 0."""
        return self._versions.get(address, 0)


@attrs.frozen
class SendAskFloor:
    """Ask a neighbour for the floor of this host."""

    to: Address


@attrs.define
class FloorGather:
    """Finds the version below which a starting node must not begin.

    Attributes:
        neighbours: nodes that have to respond.
        responses: version that each node stated.
    """

    neighbours: frozenset[Address] = frozenset()
    responses: dict[Address, int] = attrs.field(factory=dict)
    _is_complete: bool = False
    _head: int | None = None
    _asked_at: dict[Address, float] = attrs.field(factory=dict)

    def set_neighbours(
        self, neighbours: Iterable[Address], *, is_complete: bool
    ) -> None:
        """States the neighbours that are not DEAD.

        Args:
            neighbours: nodes that this node chose.
            is_complete: whether they were chosen from all members; a node
                that has only begun to learn the members may not know the
                neighbours that its predecessor reported to.
        """
        self.neighbours = frozenset(neighbours)
        self._is_complete = is_complete

    def receive_floor(self, sender: Address, version: int) -> None:
        """Takes the response of a neighbour."""
        self.responses[sender] = max(version, self.responses.get(sender, 0))

    def receive_head(self, version: int) -> None:
        """Takes the version that the head at the store has."""
        self._head = max(version, self._head or 0)

    def tick(self, linked: Iterable[Address], now: float) -> list[SendAskFloor]:
        """Asks the linked neighbours that have not responded."""
        missing = self.neighbours.intersection(linked) - self.responses.keys()
        due = [
            address
            for address in sorted(missing)
            if now - self._asked_at.get(address, float("-inf")) >= ASK_S
        ]
        self._asked_at.update(dict.fromkeys(due, now))
        return [SendAskFloor(address) for address in due]

    def result(self) -> int | None:
        """Returns the floor, or None while it is not known."""
        highest = max(self.responses.values(), default=0)
        if self._head is not None:
            return max(highest, self._head)
        if not self._is_complete or len(self.responses) < MIN_RESPONSES:
            return None
        if self.neighbours - self.responses.keys():
            return None
        return highest
