"""Version floors, which neighbours keep for a host across its restart."""

from collections.abc import Iterable

import attrs

from filbertlift_core import model

MAX_HOSTS = 4_096
MIN_RESPONSES = 2
ASK_INTERVAL_S = 0.5

Address = model.Address


@attrs.define
class FloorTable:
    """Highest version that each host may have in force.

    A version is recorded for the host from which a report, a notice, a
    heartbeat or an update with it arrives. When the table is full, the host
    from which none has arrived for the longest time is dropped.
    """

    _versions: dict[Address, int] = attrs.field(factory=dict)
    _limit: int = MAX_HOSTS

    def report(self, address: Address, version: int) -> None:
        """Records that a host holds a version; lower versions are ignored."""
        known = self._versions.pop(address, 0)
        self._versions[address] = max(known, version)
        if len(self._versions) > self._limit:
            del self._versions[next(iter(self._versions))]

    def floor_of(self, address: Address) -> int:
        """Returns the highest version recorded for a host, or 0."""
        return self._versions.get(address, 0)


@attrs.frozen
class SendAskFloor:
    """Ask a neighbour for the floor that it recorded for this host."""

    to: Address


@attrs.define
class FloorSearch:
    """Determines the floor of a starting node.

    The floor is the version below which the node must not put any in force.

    Attributes:
        neighbours: nodes that must respond.
        responses: floor in the response of each node.
    """

    neighbours: frozenset[Address] = frozenset()
    responses: dict[Address, int] = attrs.field(factory=dict)
    _is_complete: bool = False
    _head: int | None = None
    _asked_at: dict[Address, float] = attrs.field(factory=dict)

    def set_neighbours(
        self, neighbours: Iterable[Address], *, is_complete: bool
    ) -> None:
        """Sets the neighbours that are not DEAD.

        Args:
            neighbours: nodes that this node chose.
            is_complete: whether they were chosen from all members. A node
                that does not know all members yet may miss neighbours that
                its previous process reported to.
        """
        self.neighbours = frozenset(neighbours)
        self._is_complete = is_complete

    def receive_floor(self, sender: Address, version: int) -> None:
        """Records the response of a neighbour."""
        self.responses[sender] = max(version, self.responses.get(sender, 0))

    def receive_head(self, version: int) -> None:
        """Records the version of the head at the store."""
        self._head = max(version, self._head or 0)

    def tick(self, linked: Iterable[Address], now: float) -> list[SendAskFloor]:
        """Asks the linked neighbours that have not responded."""
        missing = self.neighbours.intersection(linked) - self.responses.keys()
        due = [
            address
            for address in sorted(missing)
            if now - self._asked_at.get(address, float("-inf"))
            >= ASK_INTERVAL_S
        ]
        self._asked_at.update(dict.fromkeys(due, now))
        return [SendAskFloor(address) for address in due]

    def result(self) -> int | None:
        """Returns the floor, or None while it is unknown."""
        highest = max(self.responses.values(), default=0)
        if self._head is not None:
            return max(highest, self._head)
        if not self._is_complete or len(self.responses) < MIN_RESPONSES:
            return None
        if self.neighbours - self.responses.keys():
            return None
        return highest
