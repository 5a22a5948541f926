"""Records of hosts and their targets, merged from gossip.

Only a host itself writes its record, with a revision that only grows. A merge
keeps the record with the higher revision, so messages may arrive repeatedly and
in any order. Each host also counts heartbeats; a host whose count does not grow
for `SILENCE_TIMEOUT_S` is treated as gone.

Unlike the members of `filbertlift_membership.members`, hosts are not suspected
or declared dead: each node decides for itself which ones are silent.
"""

from collections.abc import Iterable
import enum
from typing import Final

import attrs

from filbertlift_core import decoding
from filbertlift_core import model

# Time without a new heartbeat, record or direct message after which a host is
# silent, in seconds. Heartbeats are counted once a second and need a few rounds
# of gossip to reach all hosts.
SILENCE_TIMEOUT_S: Final = 8.0
# Time after which a silent host is removed, in seconds. Until then it still
# gets some gossip: a partition makes hosts on both sides silent, and nothing
# announces its end.
FORGET_TIMEOUT_S: Final = 600.0


class TargetState(enum.IntEnum):
    """State that a target reports; within an incarnation it only increases."""

    READY = 0
    DRAINING = 1
    LEFT = 2


@attrs.frozen
class TargetRecord:
    """One incarnation of the target on a host.

    Attributes:
        target_id: id of the target.
        born_ms: Unix milliseconds of its start.
        service: the service that it belongs to.
        slots: calls that it runs at once.
        state: the state that it reported last.
        release: version of its software; empty if unknown, or if this is not
            announced.
    """

    target_id: str
    born_ms: int
    service: str
    slots: int
    state: TargetState
    release: str = ""


@attrs.frozen
class HostRecord:
    """What a host publishes about itself.

    Attributes:
        address: where its node accepts links and datagrams.
        incarnation_ms: Unix milliseconds of the start of its node.
        revision: number that grows with each change within an incarnation.
        place: region and data centre of the host.
        is_leaving: whether its node is stopping.
        target: the target on the host; None before its first heartbeat.
        has_store: whether the store answers the host; such hosts go first when
            the watchers are chosen.
        link_kbps: capacity of its network link, in kilobits per second.
    """

    address: model.Address
    incarnation_ms: int
    revision: int
    place: model.Place
    is_leaving: bool
    target: TargetRecord | None
    has_store: bool
    link_kbps: int = 1_000_000

    @property
    def stamp(self) -> tuple[int, int]:
        """Incarnation and revision; the record with the greater stamp wins."""
        return self.incarnation_ms, self.revision


@attrs.frozen
class DigestRow:
    """Version and heartbeat count of one record, as sent in a digest."""

    address: model.Address
    incarnation_ms: int
    revision: int
    beat: int


@attrs.define(eq=False)
class _Entry:
    record: HostRecord
    beat: int
    # When a message last arrived directly or through others, and directly.
    heard_at: float
    contacted_at: float = float("-inf")


@attrs.frozen
class DigestDifference:
    """Difference between the digest of a peer and the records of this node.

    Attributes:
        newer_here: records that the peer lacks or has in an older version.
        newer_beats: rows whose heartbeat count is higher at this node.
        wanted: addresses of records that are missing or older at this node.
    """

    newer_here: tuple[HostRecord, ...]
    newer_beats: tuple[DigestRow, ...]
    wanted: tuple[model.Address, ...]


@attrs.define(eq=False)
class Directory:
    """Records of all known hosts, including this one.

    Attributes:
        own: the record of this host.
        beat: heartbeat count of this host.
        changes: number of changes so far; invalidates caches of the records.
        group_probed_at: when the group of this region was first probed without
            an answer yet, in seconds; None before the first probe.
    """

    own: HostRecord
    beat: int = 0
    changes: int = 0
    group_probed_at: float | None = None
    _entries: dict[model.Address, _Entry] = attrs.field(factory=dict)

    def update_own(self, record: HostRecord) -> bool:
        """Replaces this host's record by a new revision if it differs."""
        if record == self.own:
            return False
        self.own = attrs.evolve(record, revision=self.own.revision + 1)
        self.changes += 1
        return True

    def merge_records(self, records: Iterable[HostRecord], now: float) -> bool:
        """Merges records of a peer; returns whether any record changed."""
        has_changed = False
        for record in records:
            if record.address == self.own.address:
                self._supersede_incarnation(record.incarnation_ms)
                continue
            entry = self._entries.get(record.address)
            if entry is None:
                self._entries[record.address] = _Entry(record, 0, now)
            elif record.stamp > entry.record.stamp:
                if record.incarnation_ms > entry.record.incarnation_ms:
                    entry.beat = 0
                entry.record = record
                entry.heard_at = now
            elif _has_release(record, entry.record):
                entry.record = record
            else:
                continue
            has_changed = True
            self.changes += 1
        return has_changed

    def merge_digest(
        self, rows: Iterable[DigestRow], now: float
    ) -> DigestDifference:
        """Merges the heartbeats of a peer's digest and compares the records."""
        newer: list[HostRecord] = []
        beats: list[DigestRow] = []
        wanted: list[model.Address] = []
        seen: set[model.Address] = set()
        for row in rows:
            seen.add(row.address)
            if row.address == self.own.address:
                self._supersede_incarnation(row.incarnation_ms)
                if (row.incarnation_ms, row.revision) < self.own.stamp:
                    newer.append(self.own)
                continue
            entry = self._entries.get(row.address)
            stamp = (row.incarnation_ms, row.revision)
            if entry is None or stamp > entry.record.stamp:
                wanted.append(row.address)
            elif stamp < entry.record.stamp:
                newer.append(entry.record)
            if entry is not None:
                self._note_beat(entry, row, now)
                if entry.beat > row.beat:
                    beats.append(attrs.evolve(row, beat=entry.beat))
        newer += [
            record
            for record in self.list_live(now)
            if record.address not in seen
        ]
        return DigestDifference(tuple(newer), tuple(beats), tuple(wanted))

    def note_heard(self, address: model.Address, now: float) -> None:
        """Records that a message arrived directly from a host."""
        entry = self._entries.get(address)
        if entry is None:
            return
        if now - entry.heard_at > SILENCE_TIMEOUT_S:
            self.changes += 1
        entry.heard_at = now
        entry.contacted_at = now

    def is_in_contact(
        self, address: model.Address, now: float, within_s: float
    ) -> bool:
        """Returns whether a host sent a message directly within this time."""
        entry = self._entries.get(address)
        return entry is not None and now - entry.contacted_at <= within_s

    def make_digest(self, now: float) -> list[DigestRow]:
        """Returns the digest: a row for each host that is not silent."""
        own = self.own
        rows = [
            DigestRow(own.address, own.incarnation_ms, own.revision, self.beat)
        ]
        rows += [
            DigestRow(
                entry.record.address,
                entry.record.incarnation_ms,
                entry.record.revision,
                entry.beat,
            )
            for entry in self._entries.values()
            if now - entry.heard_at <= SILENCE_TIMEOUT_S
        ]
        return rows

    def find_record(self, address: model.Address) -> HostRecord | None:
        """Returns the record of a host, silent or not; None if unknown."""
        if address == self.own.address:
            return self.own
        entry = self._entries.get(address)
        return entry.record if entry is not None else None

    def list_live(self, now: float) -> list[HostRecord]:
        """Returns the records of the other hosts that are not silent."""
        return [
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at <= SILENCE_TIMEOUT_S
        ]

    def list_silent(self, now: float) -> list[HostRecord]:
        """Returns the records of the other hosts that are silent."""
        return [
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at > SILENCE_TIMEOUT_S
        ]

    def drop_silent(self, now: float) -> None:
        """Removes hosts that were silent for longer than the limit."""
        for address, entry in list(self._entries.items()):
            if now - entry.heard_at > FORGET_TIMEOUT_S:
                del self._entries[address]
                self.changes += 1

    def _supersede_incarnation(self, incarnation_ms: int) -> None:
        """Raises this host's incarnation above one that peers still know.

        The clock may have been set back since an earlier node started here.
        The limit keeps the incarnation within what peers accept.
        """
        if self.own.incarnation_ms < incarnation_ms < decoding.MAX_STAMP_MS:
            self.own = attrs.evolve(self.own, incarnation_ms=incarnation_ms + 1)
            self.changes += 1

    def _note_beat(self, entry: _Entry, row: DigestRow, now: float) -> None:
        if row.incarnation_ms != entry.record.incarnation_ms:
            return
        if row.beat > entry.beat:
            entry.beat = row.beat
            if now - entry.heard_at > SILENCE_TIMEOUT_S:
                self.changes += 1
            entry.heard_at = now


def _has_release(record: HostRecord, held: HostRecord) -> bool:
    """Returns whether a record differs only by a release that is unknown here.

    Builds that do not know releases pass records on without them.
    """
    if record.stamp != held.stamp or not record.target or not held.target:
        return False
    return bool(record.target.release) and not held.target.release
