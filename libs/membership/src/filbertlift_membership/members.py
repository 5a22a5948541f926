"""Table of the members that a node knows."""

from collections import deque
import itertools

import attrs

from filbertlift_core import model
from filbertlift_membership import digests
from filbertlift_membership import exceptions
from filbertlift_membership import indexes

# A refutation needs about 2 s to cross the cluster and come back: up to five
# hops each way with batches of 200 ms.
SUSPECT_S = 3.0
# Keyed calls must find a recently lost target for as long as a repeat of a
# call may arrive.
DEAD_KEPT_S = 600.0
# Records of forgotten members; about 10 days of replaced hosts.
MAX_FORGOTTEN = 20_000
MAX_CHANGES = 4_096

Address = model.Address
Member = model.Member
MemberState = model.MemberState


def is_newer(update: Member, known: Member) -> bool:
    """Returns whether an update supersedes a record of the same address."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state


@attrs.define
class MemberTable:
    """Members by address, with lists that change only with the table.

    Attributes:
        own: record of this node.
        members: every known record, those of DEAD members included.
        revision: raised at each change of a record.
        was_declared_dead: whether others declared this node DEAD, or it was
            paused for long enough that they may have; it must confirm its
            version before it takes calls, and then call `confirm_alive`.
    """

    own: Member
    members: dict[Address, Member]
    revision: int = 0
    was_declared_dead: bool = False
    _forgotten: dict[Address, Member] = attrs.field(factory=dict)
    _suspected_at: dict[Address, float] = attrs.field(factory=dict)
    _dead_at: dict[Address, float] = attrs.field(factory=dict)
    _last_tick: float | None = None
    _changes: deque[Address] = attrs.field(
        factory=lambda: deque(maxlen=MAX_CHANGES)
    )
    _digests: digests.DigestTable = attrs.field(factory=digests.DigestTable)
    _by_service: indexes.Index = attrs.field(
        factory=lambda: indexes.Index(indexes.is_alive)
    )
    _by_data_centre: indexes.Index = attrs.field(
        factory=lambda: indexes.Index(indexes.is_any)
    )
    _by_region: indexes.Index = attrs.field(
        factory=lambda: indexes.Index(indexes.is_live)
    )

    @classmethod
    def create(cls, own: Member) -> "MemberTable":
        """Returns a table that knows only this node.

        Raises:
            MembershipError: if the own record is SUSPECT or DEAD.
        """
        if own.state not in (MemberState.ALIVE, MemberState.LEAVING):
            raise exceptions.MembershipError(
                f"own record of {own.address} has state {own.state.name}"
            )
        table = cls(own=own, members={})
        table._store(own)
        return table

    def apply(self, update: Member, now: float) -> Member | None:
        """Takes a record that was received or made here.

        Returns:
            The record to spread: the update when it changed the table, the
            own record with a higher incarnation when the update contradicts
            it, or None.
        """
        if update.address == self.own.address:
            return self._refute(update)
        known = self._find_last(update.address)
        if known is not None and not is_newer(update, known):
            self._note_suspicion_of_leaving(update, known, now)
            return None
        self._store(update)
        self._set_timers(update, now)
        return update

    def correct(self, update: Member) -> Member | None:
        """Returns the record that the sender of an outdated update lacks."""
        known = self._find_last(update.address)
        if known is None or not is_newer(known, update):
            return None
        return known

    def announce(self, state: MemberState) -> Member:
        """Changes the state of this node; returns the record to spread."""
        return self._renew(attrs.evolve(self.own, state=state))

    def confirm_alive(self) -> None:
        """States that the node has confirmed its version."""
        self.was_declared_dead = False

    def tick(self, now: float) -> list[Member]:
        """Turns members DEAD that did not refute in time.

        Every node that saw the suspicion does so by itself, so only records
        whose suspicion was not spread are returned to be spread.
        """
        self._notice_pause(now)
        spread = []
        for address in self._find_overdue(now):
            known = self.members[address]
            dead = attrs.evolve(known, state=MemberState.DEAD)
            self._store(dead)
            self._set_timers(dead, now)
            if known.state == MemberState.LEAVING:
                spread.append(dead)
        return spread

    def expire(self, now: float) -> list[Address]:
        """Forgets members that have been DEAD for 10 minutes.

        Their last record is kept aside, so that an older one is refused.
        """
        expired = [
            address
            for address, since in self._dead_at.items()
            if now - since >= DEAD_KEPT_S
        ]
        for address in expired:
            self._forget(address)
        return expired

    @property
    def suspected(self) -> int:
        """Number of members with a suspicion that is not settled yet."""
        return len(self._suspected_at)

    def live(self) -> tuple[Member, ...]:
        """Returns every member that is not DEAD, this node included."""
        return tuple(filter(indexes.is_live, self.members.values()))

    def changed_since(self, revision: int) -> set[Address] | None:
        """Returns the addresses changed since a revision, None if too many."""
        count = self.revision - revision
        if count > len(self._changes):
            return None
        return set(itertools.islice(reversed(self._changes), count))

    def targets_of(self, service: str) -> tuple[Member, ...]:
        """Returns the ALIVE members whose target belongs to a service."""
        return self._by_service.list(service)

    def members_of(self, data_centre: str) -> tuple[Member, ...]:
        """Returns all records of a data centre, DEAD ones included."""
        return self._by_data_centre.list(data_centre)

    def live_of(self, data_centre: str) -> tuple[Member, ...]:
        """Returns the members of a data centre that are not DEAD."""
        return tuple(filter(indexes.is_live, self.members_of(data_centre)))

    def live_of_region(self, region: str) -> tuple[Member, ...]:
        """Returns the members of a region that are not DEAD."""
        return self._by_region.list(region)

    def regions(self) -> tuple[str, ...]:
        """Returns the regions with a known member, sorted."""
        return self._by_region.keys()

    def data_centres(self) -> tuple[str, ...]:
        """Returns the data centres with a known member, sorted."""
        return self._by_data_centre.keys()

    def recently_lost(self, service: str, now: float) -> tuple[Member, ...]:
        """Returns the members of a service lost in the last 10 minutes."""
        return tuple(
            self.members[address]
            for address, since in self._dead_at.items()
            if now - since < DEAD_KEPT_S
            and self.members[address].service == service
        )

    def lost(self) -> tuple[Member, ...]:
        """Returns the members that are DEAD, those already forgotten too."""
        dead = (self.members[address] for address in self._dead_at)
        return (*dead, *self._forgotten.values())

    def digest_by_data_centre(self) -> dict[str, str]:
        """Returns a digest of the members of each data centre.

        DEAD members are left out, since nodes forget them at different
        times, and SUSPECT counts as ALIVE, since it is settled within 3 s.
        """
        return self._digests.list()

    def _refute(self, update: Member) -> Member | None:
        if update.incarnation < self.own.incarnation:
            return None
        if update == self.own:
            return None
        if update.state == MemberState.DEAD:
            self.was_declared_dead = True
        return self._renew(
            attrs.evolve(self.own, incarnation=update.incarnation)
        )

    def _renew(self, own: Member) -> Member:
        self.own = attrs.evolve(own, incarnation=own.incarnation + 1)
        self._store(self.own)
        return self.own

    def _notice_pause(self, now: float) -> None:
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last < SUSPECT_S:
            return
        self.was_declared_dead = True
        # The refutations that arrived during the pause are still unread.
        for address in self._suspected_at:
            self._suspected_at[address] = now

    def _find_overdue(self, now: float) -> list[Address]:
        return [
            address
            for address, since in self._suspected_at.items()
            if now - since >= SUSPECT_S
        ]

    def _find_last(self, address: Address) -> Member | None:
        return self.members.get(address) or self._forgotten.get(address)

    def _note_suspicion_of_leaving(
        self, update: Member, known: Member, now: float
    ) -> None:
        """Starts the timer of a LEAVING member, whose state hides SUSPECT."""
        if update.incarnation != known.incarnation:
            return
        if update.state != MemberState.SUSPECT:
            return
        if known.state == MemberState.LEAVING:
            self._suspected_at.setdefault(update.address, now)

    def _set_timers(self, update: Member, now: float) -> None:
        self._suspected_at.pop(update.address, None)
        self._dead_at.pop(update.address, None)
        if update.state == MemberState.SUSPECT:
            self._suspected_at[update.address] = now
        if update.state == MemberState.DEAD:
            self._dead_at[update.address] = now

    def _store(self, record: Member) -> None:
        old = self.members.get(record.address)
        if old is not None:
            self._remove_from_lists(old)
        self._forgotten.pop(record.address, None)
        self.members[record.address] = record
        self._by_service.add(record.service, record)
        self._by_data_centre.add(record.place.data_centre, record)
        self._by_region.add(record.place.region, record)
        self._digests.add(record)
        self._count_change(record.address)

    def _remove_from_lists(self, record: Member) -> None:
        self._by_service.remove(record.service, record.address)
        self._by_data_centre.remove(record.place.data_centre, record.address)
        self._by_region.remove(record.place.region, record.address)
        self._digests.remove(record)

    def _forget(self, address: Address) -> None:
        record = self.members.pop(address)
        self._remove_from_lists(record)
        self._dead_at.pop(address, None)
        self._suspected_at.pop(address, None)
        self._forgotten[address] = record
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._count_change(address)

    def _count_change(self, address: Address) -> None:
        self.revision += 1
        self._changes.append(address)
