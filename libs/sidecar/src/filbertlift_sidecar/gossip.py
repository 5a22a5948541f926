"""Gossip between nodes over UDP.

Datagrams carry digests, host records, and the version in force at the sender.

Unlike `filbertlift_membership.gossip`, which sends member records over links
and leaves datagrams to the probes, it sends all records in datagrams.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any
from typing import Final

import attrs
from twisted.internet import error as twisted_errors
from twisted.internet import protocol

from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import evidence
from filbertlift_mesh import fanout as fanouts
from filbertlift_mesh import quotas
from filbertlift_mesh import rollouts
from filbertlift_mesh import watchers
from filbertlift_sidecar import datagrams
from filbertlift_sidecar import eventlog
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import rejections

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


@attrs.frozen
class GossipEvents:
    """Callbacks of the gossip.

    Attributes:
        on_records: called when records of other hosts may have changed.
        on_version: called with a peer and the version that it has in force, if
            that is newer than the version of this host.
        on_datagram: called with a peer and each datagram of it.
    """

    on_records: Callable[[], None]
    on_version: Callable[[model.Address, int], None]
    on_datagram: Callable[[model.Address, datagrams.Datagram], None] = (
        lambda _peer, _message: None
    )


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
        noted: rejections.Rejections,
    ) -> None:
        self._reactor = reactor
        self._table = table
        self._events = events
        self._log = log
        self._rng = rng
        self._read_version = read_version
        self._rejections = noted
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
            self._send(address, datagrams.RECORDS, records=[self._table.own])
        for address in self._rng.sample(
            addresses, min(GREETED_HOSTS, len(addresses))
        ):
            self._send_digest(address)

    def announce(self) -> None:
        """Sends the changed record of this host to every live host."""
        for record in self._table.list_live(self._reactor.seconds()):
            self._send(
                record.address, datagrams.RECORDS, records=[self._table.own]
            )

    def send_departures(
        self,
        address: model.Address,
        kind: int,
        departures: Sequence[directory.TargetRecord],
    ) -> None:
        """Sends departures to a peer, in a datagram of the given kind."""
        self._send(address, kind, departures=departures)

    def send_report(self, address: model.Address, found: quotas.Report) -> None:
        """Sends the requests of organisations to an owner."""
        self._send(address, datagrams.QUOTA_REPORT, report=found)

    def send_verdict(
        self, address: model.Address, found: quotas.Verdict
    ) -> None:
        """Sends the verdict of this owner to a host."""
        self._send(address, datagrams.QUOTA_VERDICT, verdict=found)

    def send_rollouts(
        self,
        address: model.Address,
        kind: int,
        states: Sequence[rollouts.Rollout],
    ) -> None:
        """Sends states of orders to a peer, in a datagram of a kind."""
        self._send(address, kind, states=states)

    def send_reports(
        self, address: model.Address, reports: Sequence[evidence.Report]
    ) -> None:
        """Sends evidence to a peer."""
        self._send(address, datagrams.EVIDENCE, reports=reports)

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
                self._send(record.address, datagrams.VERSION_ONLY)
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
        """Handles a datagram; what is malformed is noted and ignored."""
        peer = model.Address(addr[0], addr[1])
        try:
            message = datagrams.decode_datagram(datagram)
        except exceptions.DatagramError as error:
            self._rejections.note("gossip.malformed", str(peer), error)
            return
        for reason in message.rejected:
            self._rejections.note("gossip.entry-malformed", str(peer), reason)
        self._receive(peer, message)

    def _receive(
        self, peer: model.Address, message: datagrams.Datagram
    ) -> None:
        now = self._reactor.seconds()
        table = self._table
        if table.merge_records(message.records, now):
            self._events.on_records()
        table.note_heard(peer, now)
        if message.rows:
            difference = table.merge_digest(message.rows, now)
            if message.kind == datagrams.DIGEST:
                self._answer_digest(peer, difference)
            elif difference.wanted:
                self._send(peer, datagrams.RECORDS, wanted=difference.wanted)
        if message.wanted:
            requested = [
                table.find_record(address) for address in message.wanted
            ]
            found = [record for record in requested if record is not None]
            self._send(peer, datagrams.RECORDS, records=found)
        self._events.on_datagram(peer, message)
        if message.kind == datagrams.PROBE:
            self._send(peer, datagrams.VERSION_ONLY)
        if message.version > self._read_version():
            self._events.on_version(peer, message.version)

    def _answer_digest(
        self,
        peer: model.Address,
        difference: directory.DigestDifference,
    ) -> None:
        self._send(
            peer,
            datagrams.RECORDS,
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
            self._send(record.address, datagrams.VERSION_ONLY)

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
                self._send(record.address, datagrams.PROBE)

    def _send_digest(self, address: model.Address) -> None:
        rows = self._table.make_digest(self._reactor.seconds())
        self._send(address, datagrams.DIGEST, rows=rows)

    def _send(
        self,
        address: model.Address,
        kind: int,
        rows: Any = (),
        records: Any = (),
        wanted: Any = (),
        departures: Any = (),
        report: quotas.Report | None = None,
        verdict: quotas.Verdict | None = None,
        states: Any = (),
        reports: Any = (),
    ) -> None:
        if self.transport is None:
            return
        data = datagrams.encode_datagram(
            datagrams.Datagram(
                kind,
                self._read_version(),
                rows,
                records,
                wanted,
                departures=departures,
                report=report,
                verdict=verdict,
                states=states,
                reports=reports,
            )
        )
        try:
            self.transport.write(data, (address.host, address.port))
        except (OSError, twisted_errors.MessageLengthError) as error:
            self._log.log_request("gossip.unsent", peer=address, error=error)
