"""Choice of neighbours and gateways by rendezvous hashing.

Every node computes the same order without coordination.
"""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import heapq

import attrs

from filbertlift_core import model
from filbertlift_membership import indexes
from filbertlift_membership import members as membership
from filbertlift_membership import selections

LOCAL_NEIGHBOURS = 3
REMOTE_NEIGHBOURS = 1
GATEWAYS = 2
_SCORE_RANGE = 1 << 64
NEIGHBOUR_SALT = "neighbour"
GATEWAY_SALT = "gateway"

Address = model.Address
Member = model.Member


def make_scorer(key: str, salt: str) -> Callable[[Member], int]:
    """Returns a function that scores members for a key; the lowest ranks first.

    The score depends only on the key, the salt and the address of a member, so
    that all nodes agree on it.
    """
    prefix = hashlib.blake2b(f"{salt}\0{key}\0".encode(), digest_size=8)

    def score(member: Member) -> int:
        digest = prefix.copy()
        address = member.address
        digest.update(f"{address.host}:{address.port}".encode())
        return int.from_bytes(digest.digest(), "big")

    return score


def rank(key: str, members: Iterable[Member], salt: str = "") -> list[Member]:
    """Returns the members sorted by rank for a key."""
    return sorted(members, key=make_scorer(key, salt))


def make_peer_scorer(key: str, salt: str) -> Callable[[Member], int]:
    """Returns a scorer that ranks LEAVING members last.

    They are still chosen when no other member is left, so that the last nodes
    of a region that shuts down stay connected.
    """
    score = make_scorer(key, salt)

    def score_peer(member: Member) -> int:
        is_leaving = member.state == model.MemberState.LEAVING
        return score(member) + (_SCORE_RANGE if is_leaving else 0)

    return score_peer


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Returns the neighbours of a node.

    These are 3 members of its data centre and 1 of another data centre of its
    region.
    """
    local = []
    remote = []
    for member in members:
        if member.address == own.address or not indexes.is_live(member):
            continue
        if member.place.region != own.place.region:
            continue
        if member.place.data_centre == own.place.data_centre:
            local.append(member)
        else:
            remote.append(member)
    score = make_peer_scorer(str(own.address), NEIGHBOUR_SALT)
    near = heapq.nsmallest(LOCAL_NEIGHBOURS, local, key=score)
    return near + heapq.nsmallest(REMOTE_NEIGHBOURS, remote, key=score)


def choose_gateways(region: str, members: Iterable[Member]) -> list[Member]:
    """Returns the gateways of a region, the first one first."""
    candidates = (
        member
        for member in members
        if member.place.region == region and indexes.is_live(member)
    )
    score = make_peer_scorer(region, GATEWAY_SALT)
    return heapq.nsmallest(GATEWAYS, candidates, key=score)


@attrs.define
class Topology:
    """Neighbours and gateways of a node."""

    _table: membership.MemberTable
    _near: selections.Selection
    _far: selections.Selection
    _gateways: dict[str, selections.Selection] = attrs.field(factory=dict)
    _revision: int = -1
    _unreachable: set[Address] = attrs.field(factory=set)

    @classmethod
    def create(cls, table: membership.MemberTable) -> "Topology":
        """Returns a topology that follows the changes of a table."""
        own = table.own
        score = make_peer_scorer(str(own.address), NEIGHBOUR_SALT)

        def is_peer(member: Member) -> bool:
            return (
                member.address != own.address
                and member.place.region == own.place.region
                and indexes.is_live(member)
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
        """Returns the members that this node chooses as neighbours."""
        self._refresh()
        chosen = self._near.list_chosen() + self._far.list_chosen()
        return tuple(self._table.members[address] for address in chosen)

    def gateways(self, region: str) -> tuple[Member, ...]:
        """Returns the gateways of a region, the first one first."""
        self._refresh()
        selection = self._gateways.get(region)
        if selection is None:
            return ()
        return tuple(
            self._table.members[address] for address in selection.list_chosen()
        )

    def is_gateway(self) -> bool:
        """Returns whether this node is a gateway of its region."""
        own = self._table.own
        return own.address in {
            gateway.address for gateway in self.gateways(own.place.region)
        }

    def gateway_links(self) -> tuple[Member, ...]:
        """Returns the gateways of other regions that this node links to.

        Only a gateway has such links, one to each other region.
        """
        if not self.is_gateway():
            return ()
        own_region = self._table.own.place.region
        links = (
            self._find_gateway(region)
            for region in self._table.regions()
            if region != own_region
        )
        return tuple(member for member in links if member is not None)

    def mark_unreachable(self, address: Address) -> None:
        """Records that a gateway of another region cannot be reached.

        Members of other regions are not probed. If two regions each list a
        first gateway that no longer exists, they would never reconnect, so the
        gateway next in rank is tried until the record of the first one changes.
        """
        self._unreachable.add(address)

    def _find_gateway(self, region: str) -> Member | None:
        kept = self._gateways[region].list_kept()
        if not kept:
            return None
        reachable = [a for a in kept if a not in self._unreachable]
        if not reachable:
            self._unreachable.difference_update(kept)
            reachable = kept
        return self._table.members[reachable[0]]

    def _refresh(self) -> None:
        if self._revision == self._table.revision:
            return
        changed = self._table.changed_since(max(self._revision, 0))
        is_first = self._revision < 0 or changed is None
        self._revision = self._table.revision
        self._unreachable.difference_update(changed or ())
        for region in self._table.regions():
            if region not in self._gateways:
                self._gateways[region] = _make_gateway_selection(region)
                self._select(self._gateways[region], region)
        own_region = self._table.own.place.region
        chosen = [(own_region, self._near), (own_region, self._far)]
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


def _make_gateway_selection(region: str) -> selections.Selection:
    def is_wanted(member: Member) -> bool:
        return member.place.region == region and indexes.is_live(member)

    score = make_peer_scorer(region, GATEWAY_SALT)
    return selections.Selection(GATEWAYS, score, is_wanted)
