"""Distribution state of one node: everything that its messages drive."""

from collections.abc import Iterable
import random

import attrs

from filbertlift_core import model
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import spread
from filbertlift_distribution import versions

REPORT_S = 0.5
READ_HEAD_S = 1.0

Address = model.Address
Versioned = versions.Versioned


@attrs.frozen
class SendReport:
    """Ask a chosen neighbour to remember the version of this host."""

    to: Address
    version: int


@attrs.frozen
class SendReported:
    """Acknowledge a report."""

    to: Address
    version: int


@attrs.frozen
class SendFloor:
    """Answer a starting node with the floor of its host."""

    to: Address
    version: int


@attrs.frozen
class ReadHead:
    """Read the head at the store, then call `receive_head`."""


@attrs.frozen
class PutInForce:
    """Let a snapshot govern calls from now on."""

    snapshot: Versioned


Action = (
    spread.SendNotice
    | spread.SendFetch
    | spread.SendUpdate
    | floors.SendAskFloor
    | SendReport
    | SendReported
    | SendFloor
    | ReadHead
    | PutInForce
)


@attrs.define
class Replica:
    """Version in force, spread, floors and freshness of one node.

    The node calls `tick` every 100 ms and the other methods when something
    happened, and carries out the actions that they return.

    Attributes:
        state: snapshot in force and the candidate.
        tracker: age of the version in force.
        floor_table: versions that other hosts reported to this node.
        gather: search for the own floor at start.
    """

    state: versions.VersionState
    tracker: freshness.Freshness
    floor_table: floors.FloorTable
    gather: floors.FloorGather
    _spreader: spread.Spreader
    _rng: random.Random
    _neighbours: frozenset[Address] = frozenset()
    _links: set[Address] = attrs.field(factory=set)
    _witnessed: int = 0
    _reported_at: dict[Address, float] = attrs.field(factory=dict)

    @classmethod
    def create(cls, rng: random.Random, now: float) -> "Replica":
        """Returns the state of a node that has just started."""
        del now
        state = versions.VersionState()
        return cls(
            state=state,
            tracker=freshness.Freshness(),
            floor_table=floors.FloorTable(),
            gather=floors.FloorGather(),
            spreader=spread.Spreader.create(state),
            rng=rng,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the floor is known and a version is in force."""
        return self.state.is_settled and self.state.in_force is not None

    def set_neighbours(
        self, neighbours: Iterable[Address], now: float
    ) -> list[Action]:
        """States the neighbours that this node chose and that are not DEAD."""
        self._neighbours = frozenset(neighbours)
        self.gather.set_neighbours(self._neighbours)
        return self.tick(now)

    def open_link(self, peer: Address, now: float) -> list[Action]:
        """States that messages can be exchanged with a node."""
        self._links.add(peer)
        self._spreader.open_link(peer)
        return self.tick(now)

    def close_link(self, peer: Address, now: float) -> list[Action]:
        """States that a link is lost."""
        self._links.discard(peer)
        self._spreader.close_link(peer)
        return self.tick(now)

    def receive_heartbeat(
        self,
        sender: Address,
        version: int,
        age: float,
        now: float,
        transit: float = freshness.HOP_ALLOWANCE_S,
    ) -> list[Action]:
        """Takes the version in force of a node and its age in seconds."""
        self.tracker.confirm(version, age, now, transit)
        return self.receive_notice(sender, version, "", age, now)

    def receive_notice(
        self, sender: Address, version: int, root: str, age: float, now: float
    ) -> list[Action]:
        """Takes the version that a node holds."""
        del age
        self.floor_table.report(sender, version)
        self._spreader.receive_notice(sender, version, root)
        return self._witness(sender, version) + self.tick(now)

    def receive_fetch(
        self, sender: Address, base_version: int, now: float
    ) -> list[Action]:
        """Answers the fetch of a node."""
        del now
        return list(self._spreader.receive_fetch(sender, base_version))

    def receive_update(
        self, sender: Address, snapshot: Versioned, now: float
    ) -> list[Action]:
        """Takes a whole, verified snapshot from a node.

        Raises:
            VersionConflict: if the version is known with another root.
        """
        self._spreader.receive_update(sender, snapshot.version)
        self.floor_table.report(sender, snapshot.version)
        actions = self._offer(snapshot)
        return (
            actions + self._witness(sender, snapshot.version) + self.tick(now)
        )

    def fail_update(self, sender: Address, now: float) -> list[Action]:
        """States that the update of a node could not be applied."""
        self._spreader.fail_fetch(sender)
        return self.tick(now)

    def receive_snapshot(
        self, snapshot: Versioned, age: float, now: float
    ) -> list[Action]:
        """Takes a snapshot read from the store `age` seconds ago.

        Raises:
            VersionConflict: if the version is known with another root.
        """
        self.tracker.confirm(snapshot.version, age, now, 0.0)
        self.gather.receive_head(snapshot.version)
        actions = self._offer(snapshot)
        return actions + self.tick(now)

    def receive_head(
        self, version: int, age: float, now: float
    ) -> list[Action]:
        """Takes the version of the head at the store `age` seconds ago."""
        self.tracker.confirm(version, age, now, 0.0)
        self.gather.receive_head(version)
        return self.tick(now)

    def receive_report(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Remembers the version of a host and acknowledges it."""
        del now
        self.floor_table.report(sender, version)
        self.state.see(version)
        return [SendReported(sender, version)]

    def receive_reported(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Takes the acknowledgement of a report."""
        return self._witness(sender, version) + self.tick(now)

    def receive_ask_floor(self, sender: Address, now: float) -> list[Action]:
        """Answers a starting node."""
        del now
        floor = max(self.floor_table.floor_of(sender), self.state.newest_seen)
        return [SendFloor(sender, floor)]

    def receive_floor(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Takes the floor that a neighbour remembers for this host."""
        self.gather.receive_floor(sender, version)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Returns what is due."""
        actions: list[Action] = []
        if not self.state.is_settled:
            actions += self._settle(now)
        actions += self._report(now)
        actions += self._spreader.tick(now)
        return actions

    def _settle(self, now: float) -> list[Action]:
        floor = self.gather.result()
        if floor is None:
            return list(self.gather.tick(now))
        self.state.settle(floor)
        return self._accept()

    def _offer(self, snapshot: Versioned) -> list[Action]:
        if self.state.offer(snapshot) is versions.Decision.KEEP:
            return []
        return self._accept()

    def _witness(self, sender: Address, version: int) -> list[Action]:
        if sender not in self._neighbours:
            return []
        self._witnessed = max(self._witnessed, version)
        return self._accept()

    def _accept(self) -> list[Action]:
        if self.state.accept(self._witnessed) is versions.Decision.APPLY:
            return self._put_in_force()
        return []

    def _put_in_force(self) -> list[Action]:
        snapshot = self.state.in_force
        assert snapshot is not None
        self.tracker.put_in_force(snapshot.version)
        return [PutInForce(snapshot)]

    def _report(self, now: float) -> list[Action]:
        candidate = self.state.candidate
        if candidate is None or not self.state.is_settled:
            return []
        if not self._neighbours & self._links:
            self._witnessed = max(self._witnessed, candidate.version)
            return self._accept()
        due = [
            peer
            for peer in sorted(self._neighbours & self._links)
            if now - self._reported_at.get(peer, float("-inf")) >= REPORT_S
        ]
        self._reported_at.update(dict.fromkeys(due, now))
        return [SendReport(peer, candidate.version) for peer in due]
