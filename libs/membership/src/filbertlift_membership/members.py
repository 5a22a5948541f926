"""Table of the members that a node knows."""

from collections import deque
import itertools

import attrs

from filbertlift_core import model
from filbertlift_membership import digests
from filbertlift_membership import exceptions
from filbertlift_membership import indexes

# A suspicion and its refutation need about 2 s: up to five hops each way, with
# a batch every 200 ms.
SUSPECT_TIMEOUT_S = 3.0
# DEAD members stay in the table for as long as a keyed call may be repeated, so
# that the repeat still finds the target of the first attempt.
DEAD_RETENTION_S = 600.0
# Limit of the forgotten records; enough for about 10 days of replaced hosts.
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
    """Members by address, with cached lists.

    Attributes:
        own: record of this node.
        members: every known record, including those of DEAD members.
        revision: incremented at each change of a record.
        was_declared_dead: whether other nodes declared this node DEAD, or may
            have done so while it was paused. The node must confirm its version
            before it accepts calls, and then call `confirm_alive`.
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
        factory=lambda: indexes.Index(indexes.accept_all)
    )
    _by_region: indexes.Index = attrs.field(
        factory=lambda: indexes.Index(indexes.is_live)
    )

    @classmethod
    def create(cls, own: Member) -> "MemberTable":
        """Returns a table that holds only the record of this node.

        Raises:
            MembershipError: if the own record is SUSPECT or DEAD.
        """
        if own.state not in (MemberState.ALIVE, MemberState.LEAVING):
            raise exceptions.MembershipError(
                f"own record of {own.address} has state {own.state.name}"
            )
        table = cls(own=own, members={})
        table._put_record(own)
        return table

    def apply(self, update: Member, now: float) -> Member | None:
        """Applies a record that was received or created by this node.

        Returns:
            The record to broadcast: the update if it changed the table, the
            own record with a higher incarnation if the update contradicts
            it, or None.
        """
        if update.address == self.own.address:
            return self._refute(update)
        known = self._find_latest(update.address)
        if known is not None and not is_newer(update, known):
            self._start_leaving_timeout(update, known, now)
            return None
        self._put_record(update)
        self._set_timers(update, now)
        return update

    def find_newer(self, update: Member) -> Member | None:
        """Returns the known record if it supersedes an update, else None."""
        known = self._find_latest(update.address)
        if known is None or not is_newer(known, update):
            return None
        return known

    def set_own_state(self, state: MemberState) -> Member:
        """Changes the state of this node; returns the record to broadcast."""
        return self._raise_incarnation(attrs.evolve(self.own, state=state))

    def confirm_alive(self) -> None:
        """Clears `was_declared_dead` after the node confirmed its version."""
        self.was_declared_dead = False

    def tick(self, now: float) -> list[Member]:
        """Declares members DEAD that did not refute a suspicion in time.

        Every node that received the SUSPECT record does this by itself. The
        suspicion of a LEAVING member is not broadcast, so the DEAD records of
        such members are returned to be broadcast.
        """
        self._detect_pause(now)
        to_broadcast = []
        for address in self._find_unrefuted(now):
            known = self.members[address]
            dead = attrs.evolve(known, state=MemberState.DEAD)
            self._put_record(dead)
            self._set_timers(dead, now)
            if known.state == MemberState.LEAVING:
                to_broadcast.append(dead)
        return to_broadcast

    def expire(self, now: float) -> list[Address]:
        """Forgets members that have been DEAD for 10 minutes.

        Their last records are kept separately, so that older records are
        still rejected.
        """
        expired = [
            address
            for address, since in self._dead_at.items()
            if now - since >= DEAD_RETENTION_S
        ]
        for address in expired:
            self._forget(address)
        return expired

    @property
    def suspected(self) -> int:
        """Number of members that are suspected and not yet declared DEAD."""
        return len(self._suspected_at)

    def live(self) -> tuple[Member, ...]:
        """Returns every member that is not DEAD, this node included."""
        return tuple(filter(indexes.is_live, self.members.values()))

    def changed_since(self, revision: int) -> set[Address] | None:
        """Returns the addresses changed since a revision.

        None is returned when the log of changes does not reach back that far.
        """
        count = self.revision - revision
        if count > len(self._changes):
            return None
        return set(itertools.islice(reversed(self._changes), count))

    def targets_of(self, service: str) -> tuple[Member, ...]:
        """Returns the ALIVE members whose targets belong to a service."""
        return self._by_service.list(service)

    def members_of(self, data_centre: str) -> tuple[Member, ...]:
        """Returns all records of a data centre, including DEAD ones."""
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
        """Returns the members of a service declared DEAD in the last 10 min."""
        return tuple(
            self.members[address]
            for address, since in self._dead_at.items()
            if now - since < DEAD_RETENTION_S
            and self.members[address].service == service
        )

    def lost(self) -> tuple[Member, ...]:
        """Returns the DEAD members, including those already forgotten."""
        dead = (self.members[address] for address in self._dead_at)
        return (*dead, *self._forgotten.values())

    def digest_by_data_centre(self) -> dict[str, str]:
        """Returns a digest of the members of each data centre.

        DEAD members are left out because nodes forget them at different
        times. SUSPECT counts as ALIVE because it is resolved within 3 s.
        """
        return self._digests.list()

    def _refute(self, update: Member) -> Member | None:
        if update.incarnation < self.own.incarnation:
            return None
        if update == self.own:
            return None
        if update.state == MemberState.DEAD:
            self.was_declared_dead = True
        return self._raise_incarnation(
            attrs.evolve(self.own, incarnation=update.incarnation)
        )

    def _raise_incarnation(self, own: Member) -> Member:
        self.own = attrs.evolve(own, incarnation=own.incarnation + 1)
        self._put_record(self.own)
        return self.own

    def _detect_pause(self, now: float) -> None:
        last = self._last_tick
        self._last_tick = now
        if last is None or now - last < SUSPECT_TIMEOUT_S:
            return
        self.was_declared_dead = True
        # Refutations that arrived during the pause have not been read yet, so
        # the timeouts start again.
        for address in self._suspected_at:
            self._suspected_at[address] = now

    def _find_unrefuted(self, now: float) -> list[Address]:
        return [
            address
            for address, since in self._suspected_at.items()
            if now - since >= SUSPECT_TIMEOUT_S
        ]

    def _find_latest(self, address: Address) -> Member | None:
        return self.members.get(address) or self._forgotten.get(address)

    def _start_leaving_timeout(
        self, update: Member, known: Member, now: float
    ) -> None:
        """Starts the timeout of a LEAVING member that is suspected.

        LEAVING supersedes SUSPECT, so the suspicion does not change the record.
        """
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

    def _put_record(self, record: Member) -> None:
        old = self.members.get(record.address)
        if old is not None:
            self._remove_from_indexes(old)
        self._forgotten.pop(record.address, None)
        self.members[record.address] = record
        self._by_service.add(record.service, record)
        self._by_data_centre.add(record.place.data_centre, record)
        self._by_region.add(record.place.region, record)
        self._digests.add(record)
        self._record_change(record.address)

    def _remove_from_indexes(self, record: Member) -> None:
        self._by_service.remove(record.service, record.address)
        self._by_data_centre.remove(record.place.data_centre, record.address)
        self._by_region.remove(record.place.region, record.address)
        self._digests.remove(record)

    def _forget(self, address: Address) -> None:
        record = self.members.pop(address)
        self._remove_from_indexes(record)
        self._dead_at.pop(address, None)
        self._suspected_at.pop(address, None)
        self._forgotten[address] = record
        if len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]
        self._record_change(address)

    def _record_change(self, address: Address) -> None:
        self.revision += 1
        self._changes.append(address)
