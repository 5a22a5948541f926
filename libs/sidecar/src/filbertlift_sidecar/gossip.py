"""Gossip between nodes over UDP.

Datagrams carry digests, host records, and the version in force at the sender.

Unlike `filbertlift_membership.gossip`, which sends member records over links
and leaves datagrams to the probes, it sends all records in datagrams.
"""

from collections.abc import Callable
import random
import socket
import struct
from typing import Any
from typing import Final

import attrs
import msgspec
from twisted.internet import protocol

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import fanout as fanouts
from filbertlift_mesh import watchers
from filbertlift_sidecar import eventlog

# Mean interval between two rounds, in seconds.
ROUND_INTERVAL_S: Final = 1.0
# Share of the rounds that also exchange digests with a peer in another data
# centre or region, where every byte is paid for.
REGION_SHARE: Final = 0.5
FAR_SHARE: Final = 0.2
# Share of the rounds that also send a digest to a silent host.
SILENT_SHARE: Final = 0.5
# Number of times that a version is announced, and the interval, in seconds.
# Announced once to four hosts, it misses one host in fifty, and each lost
# datagram adds to them.
ANNOUNCEMENTS: Final = 2
ANNOUNCEMENT_INTERVAL_S: Final = 0.25
# Hosts to which a starting host sends a digest, to get their records.
GREETED_HOSTS: Final = 3
# Limits the records of one datagram, so that it stays well below 64 KB.
MAX_RECORDS: Final = 200

_Row = tuple[int, int, int, int, int]
_Record = tuple[
    int, int, int, int, str, str, bool, str, int, str, int, int, bool, int
]
# Kinds of datagrams. The last two carry nothing but the version in force; a
# probe is answered by the other one.
_DIGEST: Final = 0
_RECORDS: Final = 1
_VERSION_ONLY: Final = 2
_PROBE: Final = 3


@attrs.frozen
class _Datagram:
    """A datagram between nodes.

    Attributes:
        kind: kind of the datagram.
        version: version in force at the sender.
        rows: rows of a digest.
        records: records of hosts.
        wanted: addresses of the hosts whose records the sender requests.
    """

    kind: int
    version: int
    rows: list[_Row]
    records: list[_Record]
    wanted: list[tuple[int, int]]


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[int, int, list[_Row], list[_Record], list[tuple[int, int]]]
)


@attrs.frozen
class GossipEvents:
    """Callbacks of the gossip.

    Attributes:
        on_records: called when records of other hosts may have changed.
        on_version: called with a peer and the version that it has in force, if
            that is newer than the version of this host.
    """

    on_records: Callable[[], None]
    on_version: Callable[[model.Address, int], None]


class Gossip(protocol.DatagramProtocol):
    """Exchanges records of hosts with peers over UDP."""

    noisy = False
    transport: Any

    def __init__(
        self,
        reactor: Any,
        table: directory.Directory,
        events: GossipEvents,
        log: eventlog.EventLog,
        rng: random.Random,
        read_version: Callable[[], int],
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._events = events
        self._log = log
        self._rng = rng
        self._read_version = read_version
        self._port: Any = None
        self._round_timer: Any = None
        self._group_timer: Any = None
        self._answer_timer: Any = None
        self._announce_timer: Any = None

    def start(self) -> None:
        """Opens the port and starts the rounds.

        Raises:
            CannotListenError: if the port cannot be opened.
        """
        own = self._table.own.address
        self._port = self._reactor.listenUDP(
            own.port, self, interface=own.host, maxPacketSize=65_536
        )
        self.start_rounds()

    def start_rounds(self) -> None:
        """Starts the rounds and the heartbeats of the group."""
        self._schedule_round()
        self._schedule_group_beat()

    def close(self) -> None:
        """Stops the rounds and closes the port."""
        for timer in (
            self._round_timer,
            self._group_timer,
            self._answer_timer,
            self._announce_timer,
        ):
            if timer is not None and timer.active():
                timer.cancel()
        if self._port is not None:
            self._port.stopListening()

    def greet(self, addresses: list[model.Address]) -> None:
        """Sends this host's record to hosts, and a digest to a few of them.

        If all of them got a digest, they would all answer with the same
        records, more than a narrow link receives in a second.
        """
        for address in addresses:
            self._send(address, _RECORDS, records=[self._table.own])
        for address in self._rng.sample(
            addresses, min(GREETED_HOSTS, len(addresses))
        ):
            self._send_digest(address)

    def announce(self) -> None:
        """Sends the changed record of this host to every live host."""
        for record in self._table.list_live(self._reactor.seconds()):
            self._send(record.address, _RECORDS, records=[self._table.own])

    def announce_version(self, fanout: fanouts.Fanout) -> None:
        """Sends the version in force to some random hosts, repeatedly."""
        if self._announce_timer is not None and self._announce_timer.active():
            self._announce_timer.cancel()
        self._send_announcements(fanout, ANNOUNCEMENTS)

    def _send_announcements(
        self, fanout: fanouts.Fanout, remaining: int
    ) -> None:
        own_region = self._table.own.place.region
        regions: dict[str, list[directory.HostRecord]] = {}
        for record in self._table.list_live(self._reactor.seconds()):
            regions.setdefault(record.place.region, []).append(record)
        for region, records in regions.items():
            count = fanout.near if region == own_region else fanout.far
            for record in self._rng.sample(records, min(count, len(records))):
                self._send(record.address, _VERSION_ONLY)
        if remaining > 1:
            self._announce_timer = self._reactor.callLater(
                ANNOUNCEMENT_INTERVAL_S,
                self._send_announcements,
                fanout,
                remaining - 1,
            )

    # Twisted's protocol interface.

    def datagramReceived(  # noqa: N802
        self, datagram: bytes, addr: tuple[str, int]
    ) -> None:
        """Handles a datagram; a malformed one is logged and ignored."""
        try:
            message = _Datagram(*_DECODER.decode(datagram))
        except (msgspec.MsgspecError, UnicodeError) as error:
            self._log.log_request(
                "gossip.malformed", peer=f"{addr[0]}:{addr[1]}", error=error
            )
            return
        self._receive(model.Address(addr[0], addr[1]), message)

    def _receive(self, peer: model.Address, message: _Datagram) -> None:
        now = self._reactor.seconds()
        table = self._table
        try:
            records = [_decode_record(row) for row in message.records]
        except ValueError as error:
            self._log.log_request("gossip.malformed", peer=peer, error=error)
            return
        if table.merge_records(records, now):
            self._events.on_records()
        table.note_heard(peer, now)
        if message.rows:
            difference = table.merge_digest(
                [_decode_row(row) for row in message.rows], now
            )
            if message.kind == _DIGEST:
                self._answer_digest(peer, difference)
            elif difference.wanted:
                self._send(peer, _RECORDS, wanted=difference.wanted)
        if message.wanted:
            requested = [
                table.find_record(_unpack_address(*pair))
                for pair in message.wanted
            ]
            found = [record for record in requested if record is not None]
            self._send(peer, _RECORDS, records=found)
        if message.kind == _PROBE:
            self._send(peer, _VERSION_ONLY)
        if message.version > self._read_version():
            self._events.on_version(peer, message.version)

    def _answer_digest(
        self,
        peer: model.Address,
        difference: directory.DigestDifference,
    ) -> None:
        self._send(
            peer,
            _RECORDS,
            rows=difference.newer_beats,
            records=difference.newer_here[:MAX_RECORDS],
            wanted=difference.wanted,
        )

    def _schedule_round(self) -> None:
        delay_s = ROUND_INTERVAL_S * (0.9 + 0.2 * self._rng.random())
        self._round_timer = self._reactor.callLater(delay_s, self._run_round)

    def _schedule_group_beat(self) -> None:
        self._group_timer = self._reactor.callLater(
            watchers.GROUP_BEAT_INTERVAL_S, self._send_group_beat
        )

    def _send_group_beat(self) -> None:
        self._schedule_group_beat()
        now = self._reactor.seconds()
        for record in watchers.list_group_peers(self._table, now):
            self._send(record.address, _VERSION_ONLY)

    def _run_round(self) -> None:
        self._schedule_round()
        table = self._table
        table.beat += 1
        now = self._reactor.seconds()
        table.drop_silent(now)
        place = table.own.place
        live = table.list_live(now)
        near = [item for item in live if item.place == place]
        region = [
            item
            for item in live
            if item.place.region == place.region and item.place != place
        ]
        far = [item for item in live if item.place.region != place.region]
        asked: list[directory.HostRecord] = []
        for peers, share, must_answer in (
            (near, 1.0, True),
            (region, REGION_SHARE if near else 1.0, True),
            (far, FAR_SHARE if near or region else 1.0, False),
            (table.list_silent(now), SILENT_SHARE if live else 1.0, False),
        ):
            if peers and self._rng.random() < share:
                peer = self._rng.choice(peers)
                self._send_digest(peer.address)
                if must_answer:
                    asked.append(peer)
        self._answer_timer = self._reactor.callLater(
            watchers.ANSWER_TIMEOUT_S, self._check_answers, asked
        )
        self._events.on_records()

    def _check_answers(self, asked: list[directory.HostRecord]) -> None:
        """Probes the group if a near host has not answered a digest.

        Such a host may be lost with many others, and the group with them.
        """
        now = self._reactor.seconds()
        table = self._table
        has_answers = all(
            table.is_in_contact(peer.address, now, watchers.ANSWER_TIMEOUT_S)
            for peer in asked
        )
        if has_answers and not watchers.is_group_lost(table, now):
            return
        watchers.note_probe(table, now)
        for record in watchers.list_group(table, now):
            if record is not table.own:
                self._send(record.address, _PROBE)

    def _send_digest(self, address: model.Address) -> None:
        rows = self._table.make_digest(self._reactor.seconds())
        self._send(address, _DIGEST, rows=rows)

    def _send(
        self,
        address: model.Address,
        kind: int,
        rows: Any = (),
        records: Any = (),
        wanted: Any = (),
    ) -> None:
        if self.transport is None:
            return
        data = _ENCODER.encode(
            (
                kind,
                self._read_version(),
                [_encode_row(row) for row in rows],
                [_encode_record(record) for record in records],
                [_pack_address(address) for address in wanted],
            )
        )
        try:
            self.transport.write(data, (address.host, address.port))
        except OSError as error:
            self._log.log_request("gossip.unsent", peer=address, error=error)


def _pack_address(address: model.Address) -> tuple[int, int]:
    number = struct.unpack(">I", socket.inet_aton(address.host))[0]
    return number, address.port


def _unpack_address(number: int, port: int) -> model.Address:
    return model.Address(
        socket.inet_ntoa(struct.pack(">I", number & 0xFFFFFFFF)), port
    )


def _encode_row(row: directory.DigestRow) -> _Row:
    number, port = _pack_address(row.address)
    return number, port, row.incarnation_ms, row.revision, row.beat


def _decode_row(row: _Row) -> directory.DigestRow:
    return directory.DigestRow(_unpack_address(row[0], row[1]), *row[2:])


def _encode_record(record: directory.HostRecord) -> _Record:
    number, port = _pack_address(record.address)
    target = record.target
    return (
        number,
        port,
        record.incarnation_ms,
        record.revision,
        record.place.region,
        record.place.data_centre,
        record.is_leaving,
        target.target_id if target else "",
        target.born_ms if target else 0,
        target.service if target else "",
        target.slots if target else 0,
        int(target.state) if target else 0,
        record.has_store,
        record.link_kbps,
    )


def _decode_record(row: _Record) -> directory.HostRecord:
    target = None
    if row[7]:
        target = directory.TargetRecord(
            row[7], row[8], row[9], row[10], directory.TargetState(row[11])
        )
    return directory.HostRecord(
        _unpack_address(row[0], row[1]),
        row[2],
        row[3],
        model.Place(row[4], row[5]),
        row[6],
        target,
        row[12],
        row[13],
    )
