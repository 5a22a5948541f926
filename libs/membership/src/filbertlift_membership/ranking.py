"""Rendezvous ranking: every node computes the same order by itself."""

from collections.abc import Callable
from collections.abc import Iterable
import hashlib
import heapq

import attrs
from filbertlift_core import model

from filbertlift_membership import members as membership

LOCAL_NEIGHBOURS = 3
REMOTE_NEIGHBOURS = 1
GATEWAYS = 2
_SCORE_BYTES = 8

Member = model.Member


def score(key: str, address: model.Address, salt: str) -> int:
    """Returns the weight of an address for a key; the highest is first."""
    digest = hashlib.blake2b(digest_size=_SCORE_BYTES)
    digest.update(f"{salt}\0{key}\0{address.host}:{address.port}".encode())
    return int.from_bytes(digest.digest(), "big")


def rank(key: str, members: Iterable[Member], salt: str = "") -> list[Member]:
    """Returns the members in their order for a key."""
    return sorted(members, key=_make_order(key, salt))


def select(
    key: str, members: Iterable[Member], count: int, salt: str = ""
) -> list[Member]:
    """Returns the first members of the order for a key."""
    return heapq.nsmallest(count, members, key=_make_order(key, salt))


def choose_neighbours(own: Member, members: Iterable[Member]) -> list[Member]:
    """Returns 3 members of the own data centre and 1 of the own region."""
    local = []
    remote = []
    for member in members:
        if member.address == own.address or not _is_staying(member):
            continue
        if member.place.region != own.place.region:
            continue
        if member.place.data_centre == own.place.data_centre:
            local.append(member)
        else:
            remote.append(member)
    key = str(own.address)
    near = select(key, local, LOCAL_NEIGHBOURS, "neighbour")
    return near + select(key, remote, REMOTE_NEIGHBOURS, "neighbour")


def choose_gateways(region: str, members: Iterable[Member]) -> list[Member]:
    """Returns the gateways of a region, the first one first."""
    staying = (
        member
        for member in members
        if member.place.region == region and _is_staying(member)
    )
    return select(region, staying, GATEWAYS, "gateway")


@attrs.define
class Topology:
    """Neighbours and gateways of a node, computed when its table changed."""

    _table: membership.MemberTable
    _neighbours: tuple[Member, ...] = ()
    _gateways: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)
    _revision: int = -1

    @classmethod
    def create(cls, table: membership.MemberTable) -> "Topology":
        """Returns the topology of a table."""
        return cls(table)

    def neighbours(self) -> tuple[Member, ...]:
        """Returns the neighbours that this node chooses."""
        self._refresh()
        return self._neighbours

    def gateways(self, region: str) -> tuple[Member, ...]:
        """Returns the gateways of a region, the first one first."""
        self._refresh()
        return self._gateways.get(region, ())

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
        self._revision = self._table.revision
        own = self._table.own
        home = self._table.live_of_region(own.place.region)
        self._neighbours = tuple(choose_neighbours(own, home))
        self._gateways = {
            region: tuple(
                choose_gateways(region, self._table.live_of_region(region))
            )
            for region in self._table.regions()
        }


def _make_order(key: str, salt: str) -> Callable[[Member], tuple[int, str]]:
    def order(member: Member) -> tuple[int, str]:
        # The address settles equal scores, so that all nodes agree.
        return -score(key, member.address, salt), str(member.address)

    return order


def _is_staying(member: Member) -> bool:
    return member.state < model.MemberState.LEAVING
