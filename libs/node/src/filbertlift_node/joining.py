"""First contact of a starting node with its cluster."""

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

# Name of the roster that lists nodes of every region.
COMMON_ROSTER = "all"
# Seeds asked at a time; the others follow when none of them answers.
SEEDS = 4
# A node without a linked peer tries again after this time, in seconds.
RETRY_S = 1.0
# Gateways write the rosters this often, in seconds.
WRITE_S = 30.0
# A lone node reads the rosters each time until this many reads, and then
# every tenth time, so that a herd that can't be joined spares the store.
EAGER_READS = 5


@attrs.define
class Joiner:
    """Opens links to peers until the node has one."""

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
        """Asks the first peers after the delay."""
        self._call = self._reactor.callLater(delay_s, self._try)

    def close(self) -> None:
        """Stops asking."""
        if self._call is not None and self._call.active():
            self._call.cancel()

    def _try(self) -> None:
        delay = RETRY_S * self._rng.uniform(0.5, 1.5)
        self._call = self._reactor.callLater(delay, self._try)
        if self._is_linked():
            self._tries = 0
            return
        self._tries += 1
        # Peers in the settings are those of the own region.
        home = self._own.place.region
        self._ask([roster.Contact(item, home) for item in self._peers])
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
            # The peers of the settings are asked first.
            return False
        return self._tries <= EAGER_READS or self._tries % 10 == 0

    async def _read_rosters(self, store: interface.Store) -> None:
        for name in (self._own.place.data_centre, COMMON_ROSTER):
            found = await roster.read_roster(store, self._cluster, name)
            if self._ask(found):
                return

    def _ask(self, contacts: Iterable[roster.Contact]) -> bool:
        """Opens links to some of the contacts; returns whether any is left."""
        own = self._own.address
        others = [item for item in contacts if item.address != own]
        for contact in self._rng.sample(others, min(SEEDS, len(others))):
            # The region tells whether the way leads through a proxy.
            self._links.open(contact.address, contact.region)
        return bool(others)


@attrs.define
class RosterMaintainer:
    """Writes the rosters while this node is a gateway."""

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
        """Writes now and from then on at intervals."""
        if self._loop is not None:
            return
        self._loop = task.LoopingCall(self._write)
        self._loop.clock = self._reactor
        self._loop.start(WRITE_S, now=True)

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
        # Parts that lost one another, and regions that never met, find each
        # other here.
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
