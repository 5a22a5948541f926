"""Distribution state of one node: everything that its messages drive."""

from collections.abc import Iterable
import random

import attrs

from filbertlift_core import model
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import spread
from filbertlift_distribution import versions
from filbertlift_distribution import witnesses

# A starting node asks its peers first, and reads the store when they have not
# settled its floor within this time.
FIRST_READ_S = 1.0
READ_S = 5.0
# A starting node answers others after it learned the versions of its own
# neighbours, or after this time, so that a mass restart does not wait forever.
ANSWER_S = 3.0

Address = model.Address
Versioned = versions.Versioned
SendReport = witnesses.SendReport


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
    """Read the store, then call `receive_snapshot` or `receive_head`."""


@attrs.frozen
class PutInForce:
    """Let a snapshot govern calls from now on."""

    snapshot: Versioned


Action = (
    spread.SendNotice
    | spread.SendFetch
    | spread.SendUpdate
    | floors.SendAskFloor
    | witnesses.SendReport
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
    _started_at: float
    _read_at: float
    _witnesses: witnesses.Witnesses = attrs.field(factory=witnesses.Witnesses)
    _links: set[Address] = attrs.field(factory=set)

    @classmethod
    def create(cls, rng: random.Random, now: float) -> "Replica":
        """Returns the state of a node that has just started."""
        state = versions.VersionState()
        return cls(
            state=state,
            tracker=freshness.Freshness(),
            floor_table=floors.FloorTable(),
            gather=floors.FloorGather(),
            spreader=spread.Spreader.create(state),
            started_at=now,
            read_at=now + rng.uniform(0.8, 1.2) * FIRST_READ_S,
            rng=rng,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the floor is known and a version is in force."""
        return self.state.is_settled and self.state.in_force is not None

    def set_neighbours(
        self,
        neighbours: Iterable[Address],
        now: float,
        *,
        is_complete: bool = True,
    ) -> list[Action]:
        """States the neighbours that this node chose and that are not DEAD.

        Args:
            neighbours: nodes chosen by rank.
            now: seconds on the clock of this node.
            is_complete: whether they were chosen from all members.
        """
        chosen = frozenset(neighbours)
        self._witnesses.set_chosen(chosen)
        self.gather.set_neighbours(chosen, is_complete=is_complete)
        return self.tick(now)

    def open_link(self, peer: Address, now: float) -> list[Action]:
        """States that messages can be exchanged with a node."""
        self._links.add(peer)
        self._spreader.open_link(peer)
        self._witnesses.open_link(peer)
        return self.tick(now)

    def close_link(self, peer: Address, now: float) -> list[Action]:
        """States that a link is lost."""
        self._links.discard(peer)
        self._spreader.close_link(peer)
        self._witnesses.close_link(peer)
        return self.tick(now)

    def receive_heartbeat(
        self,
        sender: Address,
        version: int,
        age: float,
        now: float,
        transit: float | None = freshness.HOP_ALLOWANCE_S,
    ) -> list[Action]:
        """Takes the version in force of a node and its age in seconds.

        Args:
            sender: node at the other end of the link.
            version: version in force there, 0 for none.
            age: seconds since the store confirmed it.
            now: seconds on the clock of this node.
            transit: result of `freshness.LinkDelay.receive`; None leaves the
                freshness as it is.
        """
        if transit is not None:
            self.tracker.confirm(version, age, now, transit)
        return self.receive_notice(sender, version, "", age, now)

    def receive_notice(
        self, sender: Address, version: int, root: str, age: float, now: float
    ) -> list[Action]:
        """Takes the version that a node holds."""
        del age
        self.floor_table.report(sender, version)
        self._spreader.receive_notice(sender, version, root)
        self._witnesses.note(sender, version)
        return self.tick(now)

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
        self.state.offer(snapshot)
        self._witnesses.note(sender, snapshot.version)
        return self.tick(now)

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
        self._confirm_head(snapshot.version, age, now)
        self.gather.receive_head(snapshot.version)
        self.state.offer(snapshot)
        return self.tick(now)

    def receive_head(
        self, version: int, age: float, now: float
    ) -> list[Action]:
        """Takes the version of the head at the store `age` seconds ago."""
        self._confirm_head(version, age, now)
        self.gather.receive_head(version)
        return self.tick(now)

    def _confirm_head(self, version: int, age: float, now: float) -> None:
        # A head below the version in force means that the store lost data;
        # it proves nothing about that version.
        if version >= self.state.version:
            self.tracker.confirm(version, age, now, 0.0)

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
        self._witnesses.note(sender, version)
        return self.tick(now)

    def receive_ask_floor(self, sender: Address, now: float) -> list[Action]:
        """Answers a starting node, which asks again without an answer."""
        if not self.state.is_settled and now - self._started_at < ANSWER_S:
            return []
        # Whoever heard of a held version counts this node as its witness.
        floor = max(
            self.floor_table.floor_of(sender),
            self.state.held_version,
            self.state.floor,
        )
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
            actions += self._gather(now)
        actions += self._accept()
        actions += self._report(now)
        actions += self._spreader.tick(now)
        return actions

    def _gather(self, now: float) -> list[Action]:
        floor = self.gather.result()
        if floor is not None:
            # A neighbour that answered after its own restart may have learned
            # of a version since then.
            self.state.settle(max(floor, self.state.newest_seen))
            return []
        actions: list[Action] = list(self.gather.tick(self._links, now))
        if now >= self._read_at:
            self._read_at = now + self._rng.uniform(0.8, 1.2) * READ_S
            actions.append(ReadHead())
        return actions

    def _accept(self) -> list[Action]:
        candidate = self.state.candidate
        if candidate is None:
            return []
        known = self._witnesses.highest()
        if self._witnesses.is_alone:
            known = candidate.version
        if self.state.accept(known) is not versions.Decision.APPLY:
            return []
        self.tracker.put_in_force(candidate.version)
        return [PutInForce(candidate)]

    def _report(self, now: float) -> list[Action]:
        candidate = self.state.candidate
        if candidate is None or not self.state.is_settled:
            return []
        return list(self._witnesses.tick(candidate.version, now))
