"""Distribution state of one node, driven by its messages and by time."""

from collections.abc import Iterable
import random

import attrs

from filbertlift_core import model
from filbertlift_distribution import floors
from filbertlift_distribution import freshness
from filbertlift_distribution import spread
from filbertlift_distribution import versions
from filbertlift_distribution import witnesses

# A starting node asks its neighbours first. It reads the store if their answers
# have not determined its floor within this time.
FIRST_READ_DELAY_S = 1.0
READ_INTERVAL_S = 5.0
# A starting node answers requests for floors once its own floor is known, or
# after this time. Without the limit, nodes that all restart at once would wait
# for one another forever.
ANSWER_DELAY_S = 3.0

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
    """Answer a starting node with the floor recorded for its host."""

    to: Address
    version: int


@attrs.frozen
class ReadHead:
    """Read the store and call `receive_snapshot` or `receive_head`."""


@attrs.frozen
class PutInForce:
    """Use a snapshot for all calls from now on."""

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
    """Version in force, dissemination, floors and freshness of one node.

    The node calls `tick` every 100 ms and the other methods on events, and
    executes the actions that they return.

    Attributes:
        state: snapshot in force and the candidate.
        tracker: age of the version in force.
        floor_table: versions that other hosts reported to this node.
        floor_search: determines the floor of this node at its start.
    """

    state: versions.VersionState
    tracker: freshness.Freshness
    floor_table: floors.FloorTable
    floor_search: floors.FloorSearch
    _disseminator: spread.Disseminator
    _rng: random.Random
    _started_at: float
    _next_read_at: float
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
            floor_search=floors.FloorSearch(),
            disseminator=spread.Disseminator.create(state),
            started_at=now,
            next_read_at=now + rng.uniform(0.8, 1.2) * FIRST_READ_DELAY_S,
            rng=rng,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the floor is known and a version is in force."""
        return self.state.is_floor_known and self.state.in_force is not None

    def set_neighbours(
        self,
        neighbours: Iterable[Address],
        now: float,
        *,
        is_complete: bool = True,
    ) -> list[Action]:
        """Sets the neighbours that this node chose and that are not DEAD.

        Args:
            neighbours: nodes chosen by rank.
            now: seconds on the clock of this node.
            is_complete: whether they were chosen from all members.
        """
        chosen = frozenset(neighbours)
        self._witnesses.set_chosen(chosen)
        self.floor_search.set_neighbours(chosen, is_complete=is_complete)
        return self.tick(now)

    def open_link(self, peer: Address, now: float) -> list[Action]:
        """Handles a new link to a node."""
        self._links.add(peer)
        self._disseminator.open_link(peer)
        self._witnesses.open_link(peer)
        return self.tick(now)

    def close_link(self, peer: Address, now: float) -> list[Action]:
        """Handles the loss of a link."""
        self._links.discard(peer)
        self._disseminator.close_link(peer)
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
        """Handles a heartbeat: the version in force of a node and its age.

        Args:
            sender: node at the other end of the link.
            version: version in force there, 0 for none.
            age: seconds since the store confirmed it.
            now: seconds on the clock of this node.
            transit: result of `freshness.LinkDelay.receive`; None leaves the
                freshness unchanged.
        """
        if transit is not None:
            self.tracker.confirm(version, age, now, transit)
        return self.receive_notice(sender, version, "", age, now)

    def receive_notice(
        self, sender: Address, version: int, root: str, age: float, now: float
    ) -> list[Action]:
        """Handles the notice of the version that a node holds."""
        del age
        self.floor_table.report(sender, version)
        self._disseminator.receive_notice(sender, version, root)
        self._witnesses.record(sender, version)
        return self.tick(now)

    def receive_fetch(
        self, sender: Address, base_version: int, now: float
    ) -> list[Action]:
        """Answers the fetch of a node."""
        del now
        return list(self._disseminator.receive_fetch(sender, base_version))

    def receive_update(
        self, sender: Address, snapshot: Versioned, now: float
    ) -> list[Action]:
        """Handles a complete, verified snapshot from a node.

        Raises:
            VersionConflict: if the version is known with another root.
        """
        self._disseminator.receive_update(sender, snapshot.version)
        self.floor_table.report(sender, snapshot.version)
        self.state.offer(snapshot)
        self._witnesses.record(sender, snapshot.version)
        return self.tick(now)

    def fail_update(self, sender: Address, now: float) -> list[Action]:
        """Handles an update from a node that could not be applied."""
        self._disseminator.fail_fetch(sender)
        return self.tick(now)

    def receive_snapshot(
        self, snapshot: Versioned, age: float, now: float
    ) -> list[Action]:
        """Handles a snapshot that was read from the store `age` seconds ago.

        Raises:
            VersionConflict: if the version is known with another root.
        """
        self._confirm_head(snapshot.version, age, now)
        self.floor_search.receive_head(snapshot.version)
        self.state.offer(snapshot)
        return self.tick(now)

    def receive_head(
        self, version: int, age: float, now: float
    ) -> list[Action]:
        """Handles the version that the head had `age` seconds ago."""
        self._confirm_head(version, age, now)
        self.floor_search.receive_head(version)
        return self.tick(now)

    def _confirm_head(self, version: int, age: float, now: float) -> None:
        # A head below the version in force means that the store lost data, so
        # it does not confirm the version in force.
        if version >= self.state.version:
            self.tracker.confirm(version, age, now, 0.0)

    def receive_report(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Records the version that a host reports and acknowledges it."""
        del now
        self.floor_table.report(sender, version)
        self.state.observe(version)
        return [SendReported(sender, version)]

    def receive_reported(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Handles the acknowledgement of a report."""
        self._witnesses.record(sender, version)
        return self.tick(now)

    def receive_ask_floor(self, sender: Address, now: float) -> list[Action]:
        """Answers a starting node; without an answer, it asks again."""
        if (
            not self.state.is_floor_known
            and now - self._started_at < ANSWER_DELAY_S
        ):
            return []
        # A node that knows of the version held here counts this node as a
        # witness for it.
        floor = max(
            self.floor_table.floor_of(sender),
            self.state.held_version,
            self.state.floor,
        )
        return [SendFloor(sender, floor)]

    def receive_floor(
        self, sender: Address, version: int, now: float
    ) -> list[Action]:
        """Handles the floor that a neighbour recorded for this host."""
        self.floor_search.receive_floor(sender, version)
        return self.tick(now)

    def tick(self, now: float) -> list[Action]:
        """Returns the actions that are due."""
        actions: list[Action] = []
        if not self.state.is_floor_known:
            actions += self._search_floor(now)
        actions += self._accept_candidate()
        actions += self._report_candidate(now)
        actions += self._disseminator.tick(now)
        return actions

    def _search_floor(self, now: float) -> list[Action]:
        floor = self.floor_search.result()
        if floor is not None:
            # A neighbour that answered after its own restart may have
            # learned of a newer version since then.
            self.state.set_floor(max(floor, self.state.newest_seen))
            return []
        actions: list[Action] = list(self.floor_search.tick(self._links, now))
        if now >= self._next_read_at:
            self._next_read_at = (
                now + self._rng.uniform(0.8, 1.2) * READ_INTERVAL_S
            )
            actions.append(ReadHead())
        return actions

    def _accept_candidate(self) -> list[Action]:
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

    def _report_candidate(self, now: float) -> list[Action]:
        candidate = self.state.candidate
        if candidate is None or not self.state.is_floor_known:
            return []
        return list(self._witnesses.tick(candidate.version, now))
