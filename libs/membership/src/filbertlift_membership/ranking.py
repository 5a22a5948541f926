"""Rendezvous ranking: every node computes the same order by itself."""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import heapq

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership
from filbertlift_membership import selections

LOCAL_NEIGHBOURS = 3
REMOTE_NEIGHBOURS = 1
GATEWAYS = 2
NEIGHBOUR_SALT = "neighbour"
GATEWAY_SALT = "gateway"

Address = model.Address
Member = model.Member


def make_scorer(key: str, salt: str) -> Callable[[Member], int]:
    """Returns a function that scores members for a key; the lowest is first.

    The score is that of the address, so that all nodes agree on it.
    """
    prefix = hashlib.blake2b(f"{salt}\0{key}\0".encode(), digest_size=8)

    def score(member: Member) -> int:
        digest = prefix.copy()
        address = member.address
        digest.update(f"{address.host}:{address.port}".encode())
        return int.from_bytes(digest.digest(), "big")

    return score


def rank(key: str, members: Iterable[Member], salt: str = "") -> list[Member]:
    """Returns the members in their order for a key."""
    return sorted(members, key=make_scorer(key, salt))


def select(
    key: str, members: Iterable[Member], count: int, salt: str = ""
) -> list[Member]:
    """Returns the first members of the order for a key."""
    return heapq.nsmallest(count, members, key=make_scorer(key, salt))


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Returns 3 members of the own data centre and 1 of the own region."""
    local = []
    remote = []
    for member in members:
        if member.address == own.address or not is_staying(member):
            continue
        if member.place.region != own.place.region:
            continue
        if member.place.data_centre == own.place.data_centre:
            local.append(member)
        else:
            remote.append(member)
    key = str(own.address)
    near = select(key, local, LOCAL_NEIGHBOURS, NEIGHBOUR_SALT)
    return near + select(key, remote, REMOTE_NEIGHBOURS, NEIGHBOUR_SALT)


def choose_gateways(region: str, members: Iterable[Member]) -> list[Member]:
    """Returns the gateways of a region, the first one first."""
    staying = (
        member
        for member in members
        if member.place.region == region and is_staying(member)
    )
    return select(region, staying, GATEWAYS, GATEWAY_SALT)


def is_staying(member: Member) -> bool:
    """Returns whether the member may be a neighbour or a gateway."""
    return member.state < model.MemberState.LEAVING


@attrs.define
class Topology:
    """Neighbours and gateways of a node."""

    _table: membership.MemberTable
    _near: selections.Selection
    _far: selections.Selection
    _gateways: dict[str, selections.Selection] = attrs.field(factory=dict)
    _revision: int = -1

    @classmethod
    def create(cls, table: membership.MemberTable) -> "Topology":
        """Returns the topology of a table."""
        own = table.own
        score = make_scorer(str(own.address), NEIGHBOUR_SALT)

        def is_peer(member: Member) -> bool:
            return (
                member.address != own.address
                and member.place.region == own.place.region
                and is_staying(member)
            )

        def is_near(member: Member) -> bool:
            return member.place == own.place and is_peer(member)

        def is_far(member: Member) -> bool:
            return member.place != own.place and is_peer(member)

        return cls(
            table=table,
            near=selections.Selection(LOCAL_NEIGHBOURS, score, is_near),
            far=selections.Selection(REMOTE_NEIGHBOURS, score, is_far),
        )

    def neighbours(self) -> tuple[Member, ...]:
        """Returns the neighbours that this node chooses."""
        self._refresh()
        chosen = self._near.list() + self._far.list()
        return tuple(self._table.members[address] for address in chosen)

    def gateways(self, region: str) -> tuple[Member, ...]:
        """Returns the gateways of a region, the first one first."""
        self._refresh()
        selection = self._gateways.get(region)
        if selection is None:
            return ()
        return tuple(
            self._table.members[address] for address in selection.list()
        )

    def is_gateway(self) -> bool:
        """Returns whether this node is a gateway of its region."""
        own = self._table.own
        return own.address in {
            gateway.address for gateway in self.gateways(own.place.region)
        }

    def gateway_links(self) -> tuple[Member, ...]:
        """Returns the far gateways that this node keeps a link to."""
        if not self.is_gateway():
            return ()
        home = self._table.own.place.region
        return tuple(
            self.gateways(region)[0]
            for region in self._table.regions()
            if region != home and self.gateways(region)
        )

    def _refresh(self) -> None:
        if self._revision == self._table.revision:
            return
        changed = self._table.changed_since(max(self._revision, 0))
        is_first = self._revision < 0 or changed is None
        self._revision = self._table.revision
        for region in self._table.regions():
            if region not in self._gateways:
                self._gateways[region] = _make_gateways(region)
                self._select(self._gateways[region], region)
        home = self._table.own.place.region
        chosen = [(home, self._near), (home, self._far)]
        for region, selection in chosen + list(self._gateways.items()):
            if not is_first and changed is not None:
                self._update(selection, changed)
            if is_first or selection.is_exhausted:
                self._select(selection, region)

    def _update(
        self, selection: selections.Selection, changed: set[Address]
    ) -> None:
        for address in changed:
            selection.update(address, self._table.members.get(address))

    def _select(self, selection: selections.Selection, region: str) -> None:
        selection.select(self._table.live_of_region(region))


def _make_gateways(region: str) -> selections.Selection:
    def is_wanted(member: Member) -> bool:
        return member.place.region == region and is_staying(member)

    score = make_scorer(region, GATEWAY_SALT)
    return selections.Selection(GATEWAYS, score, is_wanted)
