"""Copies of a host's departures at other hosts, and their return to it.

A departure is acknowledged once other hosts hold it, or the store alone if they
do not answer. The node that starts next on the host asks them before it uses
its target.
"""

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import hashlib
import itertools
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_mesh import directory

# Hosts that have to hold a departure; with two, it survives the loss of its own
# host and one more.
REQUIRED_REPLICAS: Final = 2
# Hosts that a starting node asks. It may order them differently than the node
# before it, which knew other hosts.
ASKED_HOSTS: Final = 8
# Time for which departures of a host are held, in seconds. Heartbeats may come
# late, but not for as long.
HOLD_TIMEOUT_S: Final = 600.0
# Departures that are held for one host; a later one replaces the oldest.
MAX_HELD: Final = 16
# Hosts whose departures are held; a later one replaces the oldest.
MAX_HOSTS: Final = 1_000
# Least and longest time from the first contact of a starting node until it uses
# its target, in seconds. The first host that it meets tells it of the others.
MIN_RECOVERY_S: Final = 0.2
MAX_RECOVERY_S: Final = 1.0


def order_holders(
    own: directory.HostRecord, records: Iterable[directory.HostRecord]
) -> list[directory.HostRecord]:
    """Returns hosts in the order in which they hold departures of a host.

    Data centres take turns, that of the host last. The order of known hosts is
    the same in each node that starts on the host.
    """
    places: dict[model.Place, list[directory.HostRecord]] = {}
    for record in sorted(records, key=lambda item: _rank(own, item)):
        places.setdefault(record.place, []).append(record)
    others = [group for place, group in places.items() if place != own.place]
    near = places.get(own.place, [])
    turns = itertools.zip_longest(*others, near)
    return [record for turn in turns for record in turn if record is not None]


def is_replicated(
    holders: Collection[directory.HostRecord],
    candidates: Collection[directory.HostRecord],
) -> bool:
    """Returns whether enough hosts hold a departure.

    Args:
        holders: hosts that hold it.
        candidates: hosts that could hold it. If they are in several data
            centres, the holders have to be as well.
    """
    if not holders:
        return False
    required = min(REQUIRED_REPLICAS, len(candidates))
    places = {record.place for record in candidates}
    required_places = min(REQUIRED_REPLICAS, len(places))
    held_places = {record.place for record in holders}
    return len(holders) >= required and len(held_places) >= required_places


def covers(
    held: Iterable[directory.TargetRecord],
    departures: Iterable[directory.TargetRecord],
) -> bool:
    """Returns whether departures, or later ones of their targets, are held."""
    ranks = {target.target_id: _get_rank(target) for target in held}
    return all(
        ranks.get(target.target_id, (-1, 0)) >= _get_rank(target)
        for target in departures
    )


@attrs.define(eq=False)
class Replicas:
    """Departures that this host holds for others."""

    _hosts: OrderedDict[model.Address, "_Held"] = attrs.field(
        factory=OrderedDict
    )

    def hold(
        self,
        address: model.Address,
        departures: Iterable[directory.TargetRecord],
        now: float,
    ) -> None:
        """Holds departures of a host beside those that it sent before."""
        held = _Held(self._list_by_id(address, now), now)
        for target in departures:
            known = held.targets.pop(target.target_id, target)
            held.targets[target.target_id] = max(known, target, key=_get_rank)
        while len(held.targets) > MAX_HELD:
            held.targets.popitem(last=False)
        self._hosts[address] = held
        self._hosts.move_to_end(address)
        while len(self._hosts) > MAX_HOSTS:
            self._hosts.popitem(last=False)

    def list_departures(
        self, address: model.Address, now: float
    ) -> list[directory.TargetRecord]:
        """Returns the departures that are held for a host."""
        return list(self._list_by_id(address, now).values())

    def contradict(self, record: directory.HostRecord, now: float) -> bool:
        """Returns whether a host offers a target that is known to leave."""
        target = record.target
        if target is None or target.state is not directory.TargetState.READY:
            return False
        held = self._list_by_id(record.address, now).get(target.target_id)
        return held is not None and held.born_ms >= target.born_ms

    def _list_by_id(
        self, address: model.Address, now: float
    ) -> OrderedDict[str, directory.TargetRecord]:
        held = self._hosts.get(address)
        if held is None or now - held.noted_at > HOLD_TIMEOUT_S:
            return OrderedDict()
        return held.targets


@attrs.define
class _Held:
    targets: OrderedDict[str, directory.TargetRecord]
    noted_at: float


@attrs.define(eq=False)
class Recovery:
    """What a starting node has asked for departures of its target.

    Attributes:
        has_list: whether the list of hosts was read from the store.
        has_others: whether that list named other hosts.
        answered: hosts that have told the departures that they hold.
        contacted_at: when the store or the first host answered, in seconds;
            None before that.
    """

    has_list: bool = False
    has_others: bool = False
    answered: set[model.Address] = attrs.field(factory=set)
    contacted_at: float | None = None

    def note_list(self, has_others: bool, now: float) -> None:
        """Records that the list of hosts was read."""
        self.has_list = True
        self.has_others = self.has_others or has_others
        self._note_contact(now)

    def note_answer(self, address: model.Address, now: float) -> None:
        """Records the answer of a host."""
        self.answered.add(address)
        self._note_contact(now)

    def is_complete(
        self, asked: Sequence[directory.HostRecord], now: float
    ) -> bool:
        """Returns whether the node may use its target.

        Without the list of hosts, hosts may be missing among those asked. Lost
        hosts stay in the list for a while, so answers are not awaited for long.
        """
        if self.contacted_at is None:
            return False
        if self.has_list and not self.has_others and not asked:
            return True
        waited_s = now - self.contacted_at
        if waited_s >= MAX_RECOVERY_S:
            return True
        has_answers = bool(asked) and all(
            record.address in self.answered for record in asked
        )
        return self.has_list and has_answers and waited_s >= MIN_RECOVERY_S

    def _note_contact(self, now: float) -> None:
        if self.contacted_at is None:
            self.contacted_at = now


def _rank(own: directory.HostRecord, record: directory.HostRecord) -> bytes:
    pair = f"{own.address}/{record.address}"
    return hashlib.blake2b(pair.encode(), digest_size=8).digest()


def _get_rank(target: directory.TargetRecord) -> tuple[int, int]:
    return target.born_ms, target.state
