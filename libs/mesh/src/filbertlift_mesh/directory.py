"""Hosts and targets that this node knows, merged from gossip.

Each host alone writes its own record, with a revision that only grows, so a
merge takes the higher one and order and repetition do no harm. Each host also
counts a heartbeat; one that does not move for `SILENT_S` counts as gone.
"""

from collections.abc import Iterable
import enum
from typing import Final

import attrs

from filbertlift_core import model

# Heartbeats are counted once a second and take a few rounds to spread.
SILENT_S: Final = 8.0
# A silent host is forgotten after this. Until then it is asked now and then,
# since a partition makes hosts on both sides silent and ends without a word.
FORGET_S: Final = 600.0


class TargetState(enum.IntEnum):
    """What a target said of itself; it never returns to a lower value."""

    READY = 0
    DRAINING = 1
    LEFT = 2


@attrs.frozen
class TargetRecord:
    """One incarnation of the target beside a host.

    Attributes:
        target_id: id that the target goes by.
        born_ms: Unix milliseconds of its start.
        service: the service that it belongs to.
        slots: calls that it runs at once.
        state: what it said of itself last.
    """

    target_id: str
    born_ms: int
    service: str
    slots: int
    state: TargetState


@attrs.frozen
class HostRecord:
    """What a host says of itself.

    Attributes:
        address: where its node takes links and datagrams.
        incarnation_ms: Unix milliseconds of the start of its node.
        revision: grows with each change within an incarnation.
        place: region and data centre.
        is_leaving: whether its node is stopping.
        target: the target beside it, None before its first heartbeat.
        has_store: whether the store answers it; only such a host watches for
            new configurations.
        link_kbps: capacity of its network link, in kilobits a second.
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
        """A record with a greater stamp replaces this one."""
        return self.incarnation_ms, self.revision


@attrs.frozen
class DigestRow:
    """What one host tells another of a record that it holds."""

    address: model.Address
    incarnation_ms: int
    revision: int
    beat: int


@attrs.define(eq=False)
class _Entry:
    record: HostRecord
    beat: int
    heard_at: float


@attrs.frozen
class DigestDifference:
    """What a digest of a peer calls for.

    Attributes:
        newer_here: records that the peer lacks.
        newer_beats: heartbeats that the peer has not heard of.
        wanted: addresses of records that this node lacks.
    """

    newer_here: tuple[HostRecord, ...]
    newer_beats: tuple[DigestRow, ...]
    wanted: tuple[model.Address, ...]


@attrs.define(eq=False)
class Directory:
    """Records of all hosts, this one included.

    Attributes:
        own: the record of this host.
        beat: heartbeats counted by this host.
        changes: counts changes of the records, for caches made of them.
    """

    own: HostRecord
    beat: int = 0
    changes: int = 0
    _entries: dict[model.Address, _Entry] = attrs.field(factory=dict)

    def update_own(self, record: HostRecord) -> bool:
        """Writes a new revision of this host's record if it differs."""
        if record == self.own:
            return False
        self.own = attrs.evolve(record, revision=self.own.revision + 1)
        self.changes += 1
        return True

    def merge_records(self, records: Iterable[HostRecord], now: float) -> bool:
        """Takes over records; returns whether any of them was news."""
        is_news = False
        for record in records:
            if record.address == self.own.address:
                self._outlive(record.incarnation_ms)
                continue
            entry = self._entries.get(record.address)
            if entry is None:
                self._entries[record.address] = _Entry(record, 0, now)
            elif record.stamp > entry.record.stamp:
                if record.incarnation_ms > entry.record.incarnation_ms:
                    entry.beat = 0
                entry.record = record
                entry.heard_at = now
            else:
                continue
            is_news = True
            self.changes += 1
        return is_news

    def merge_digest(
        self, rows: Iterable[DigestRow], now: float
    ) -> DigestDifference:
        """Notes the heartbeats of a digest and compares the records."""
        newer: list[HostRecord] = []
        beats: list[DigestRow] = []
        wanted: list[model.Address] = []
        seen: set[model.Address] = set()
        for row in rows:
            seen.add(row.address)
            if row.address == self.own.address:
                self._outlive(row.incarnation_ms)
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
        """Notes that a host was heard directly."""
        entry = self._entries.get(address)
        if entry is None:
            return
        if now - entry.heard_at > SILENT_S:
            self.changes += 1
        entry.heard_at = now

    def make_digest(self, now: float) -> list[DigestRow]:
        """Returns a row for each live host."""
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
            if now - entry.heard_at <= SILENT_S
        ]
        return rows

    def find_record(self, address: model.Address) -> HostRecord | None:
        """Returns the record of a host that is known, live or not."""
        if address == self.own.address:
            return self.own
        entry = self._entries.get(address)
        return entry.record if entry is not None else None

    def list_live(self, now: float) -> list[HostRecord]:
        """Returns the records of the other hosts that are not silent."""
        return [
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at <= SILENT_S
        ]

    def list_silent(self, now: float) -> list[HostRecord]:
        """Returns the records of the other hosts that are silent."""
        return [
            entry.record
            for entry in self._entries.values()
            if now - entry.heard_at > SILENT_S
        ]

    def drop_silent(self, now: float) -> None:
        """Forgets hosts that have been silent for long."""
        for address, entry in list(self._entries.items()):
            if now - entry.heard_at > FORGET_S:
                del self._entries[address]
                self.changes += 1

    def _outlive(self, incarnation_ms: int) -> None:
        """Raises this host's incarnation above that of an earlier node here.

        The time of day may have been set back between the two starts.
        """
        if incarnation_ms > self.own.incarnation_ms:
            self.own = attrs.evolve(self.own, incarnation_ms=incarnation_ms + 1)
            self.changes += 1

    def _note_beat(self, entry: _Entry, row: DigestRow, now: float) -> None:
        if row.incarnation_ms != entry.record.incarnation_ms:
            return
        if row.beat > entry.beat:
            entry.beat = row.beat
            if now - entry.heard_at > SILENT_S:
                self.changes += 1
            entry.heard_at = now
