"""Order in which a node probes other members."""

from collections.abc import Iterable
import random

import attrs

from filbertlift_core import model
from filbertlift_membership import members as membership

# One probe in four goes to another data centre of the region. When a whole data
# centre is lost, no node within it is left to detect that.
REMOTE_EVERY = 4
# Members drawn for one round. A new member can be drawn after this many seconds
# instead of after a round over a data centre of 1,200 members.
MAX_ROUND_MEMBERS = 32

Address = model.Address
Member = model.Member


def is_probed(member: Member) -> bool:
    """Returns whether a failed probe would change the member's state."""
    return member.state in (
        model.MemberState.ALIVE,
        model.MemberState.LEAVING,
    )


@attrs.define
class Rounds:
    """Random probe orders, renewed after each round.

    There is one for the own data centre and one for the rest of the region.
    """

    _table: membership.MemberTable
    _rng: random.Random
    _count: int = 0
    _near: list[Address] = attrs.field(factory=list)
    _far: list[Address] = attrs.field(factory=list)

    def next_member(self) -> Address | None:
        """Returns the member to probe next, or None if there is none."""
        self._count += 1
        if self._count % REMOTE_EVERY == 0:
            return self._next_far() or self._next_near()
        return self._next_near() or self._next_far()

    def pick_any(self) -> Address:
        """Returns a random live member of the cluster."""
        return self._rng.choice(self._table.live()).address

    def pick_lost(self) -> Address | None:
        """Returns a random DEAD member, or None if there is none."""
        lost = self._table.lost()
        return self._rng.choice(lost).address if lost else None

    def pick_helpers(self, target: Address, count: int) -> list[Address]:
        """Returns random members of the own data centre to ping the target."""
        own_data_centre = self._table.own.place.data_centre
        candidates = [
            member.address
            for member in self._table.live_of(own_data_centre)
            if self._is_candidate(member) and member.address != target
        ]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def _next_near(self) -> Address | None:
        if not self._near:
            own_data_centre = self._table.own.place.data_centre
            self._near = self._draw(self._table.live_of(own_data_centre))
        return self._pop_probed(self._near)

    def _next_far(self) -> Address | None:
        if not self._far:
            own_place = self._table.own.place
            self._far = self._draw(
                member
                for member in self._table.live_of_region(own_place.region)
                if member.place.data_centre != own_place.data_centre
            )
        return self._pop_probed(self._far)

    def _draw(self, members: Iterable[Member]) -> list[Address]:
        addresses = [
            member.address for member in members if self._is_candidate(member)
        ]
        return self._rng.sample(
            addresses, min(MAX_ROUND_MEMBERS, len(addresses))
        )

    def _pop_probed(self, order: list[Address]) -> Address | None:
        while order:
            address = order.pop()
            member = self._table.members.get(address)
            if member is not None and is_probed(member):
                return address
        return None

    def _is_candidate(self, member: Member) -> bool:
        return is_probed(member) and member.address != self._table.own.address
