"""Joining a cluster: the first links of a node, and the rosters."""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_node import links as link_tables
from filbertlift_store import interface
from filbertlift_store import roster

# Name of the roster that lists the gateways of all regions.
COMMON_ROSTER = "all"
# Number of contacts tried at a time; a later try draws others at random.
CONTACTS_PER_TRY = 4
# Mean interval between tries while no peer is linked, in seconds.
RETRY_INTERVAL_S = 1.0
# Interval at which gateways write the rosters, in seconds.
WRITE_INTERVAL_S = 30.0
# Number of tries that each read the rosters. After that only every tenth try
# does, which limits the load of many unconnected nodes on the store.
EAGER_READS = 5


@attrs.define
class Joiner:
    """Opens links to peers while the node has none."""

    _reactor: Any
    _links: link_tables.LinkTable
    _own: model.Member
    _peers: tuple[model.Address, ...]
    _store: interface.Store | None
    _cluster: str
    _rng: random.Random
    _is_linked: Callable[[], bool]
    _tries: int = 0
    _call: Any = None

    def start(self, delay_s: float) -> None:
        """Starts trying to link peers after a delay."""
        self._call = self._reactor.callLater(delay_s, self._try)

    def close(self) -> None:
        """Stops trying."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _try(self) -> None:
        delay = RETRY_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        self._call = self._reactor.callLater(delay, self._try)
        if self._is_linked():
            self._tries = 0
            return
        self._tries += 1
        # Peers in the settings are in the region of this node.
        own_region = self._own.place.region
        self._open_links(
            [roster.Contact(item, own_region) for item in self._peers]
        )
        if self._store is None or not self._may_read():
            return
        reading = defer.ensureDeferred(self._read_rosters(self._store))
        reading.addErrback(
            lambda reason: logs.log_event(
                "join.roster_failed", error=reason.getErrorMessage()
            )
        )

    def _may_read(self) -> bool:
        if self._peers and self._tries == 1:
            # The first try uses only the peers in the settings.
            return False
        return self._tries <= EAGER_READS or self._tries % 10 == 0

    async def _read_rosters(self, store: interface.Store) -> None:
        for name in (self._own.place.data_centre, COMMON_ROSTER):
            found = await roster.read_roster(store, self._cluster, name)
            if self._open_links(found):
                return

    def _open_links(self, contacts: Iterable[roster.Contact]) -> bool:
        """Opens links to some contacts; returns False if there are none."""
        own = self._own.address
        others = [item for item in contacts if item.address != own]
        for contact in self._rng.sample(
            others, min(CONTACTS_PER_TRY, len(others))
        ):
            # The region determines whether the link uses a proxy.
            self._links.open(contact.address, contact.region)
        return bool(others)


@attrs.define
class RosterMaintainer:
    """Writes the rosters at intervals while this node is a gateway."""

    _reactor: Any
    _store: interface.Store
    _cluster: str
    _own: model.Member
    _list_live: Callable[[], tuple[model.Member, ...]]
    _list_dead: Callable[[], tuple[model.Address, ...]]
    _open_contact: Callable[[roster.Contact], None]
    _writers: dict[str, roster.RosterWriter] = attrs.field(factory=dict)
    _loop: task.LoopingCall | None = None

    def start(self) -> None:
        """Writes the rosters immediately and then at intervals."""
        if self._loop is not None:
            return
        self._loop = task.LoopingCall(self._write)
        self._loop.clock = self._reactor
        self._loop.start(WRITE_INTERVAL_S, now=True)

    def close(self) -> None:
        """Stops writing."""
        if self._loop is not None:
            self._loop.stop()
            self._loop = None

    def _write(self) -> defer.Deferred[None]:
        writing = defer.ensureDeferred(self._write_all())
        writing.addErrback(
            lambda reason: logs.log_event(
                "roster.write_failed", error=reason.getErrorMessage()
            )
        )
        return writing

    async def _write_all(self) -> None:
        live = self._list_live()
        lost = self._list_dead()
        places = {member.place for member in live}
        for place in sorted(places):
            if place.region != self._own.place.region:
                continue
            near = [_make_contact(item) for item in live if item.place == place]
            await self._find_writer(place.data_centre).write(near, lost)
        common = [_make_contact(self._own)]
        await self._find_writer(COMMON_ROSTER).write(common, lost)
        # Opening links to unknown contacts reconnects the parts of a cluster
        # after a partition, and regions that were never linked.
        known = {member.address for member in live}
        for contact in await roster.read_roster(
            self._store, self._cluster, COMMON_ROSTER
        ):
            if contact.address not in known:
                self._open_contact(contact)

    def _find_writer(self, name: str) -> roster.RosterWriter:
        if name not in self._writers:
            self._writers[name] = roster.RosterWriter(
                self._store, self._cluster, name
            )
        return self._writers[name]


def _make_contact(member: model.Member) -> roster.Contact:
    return roster.Contact(member.address, member.place.region)
