"""Hosts on loopback: node process, target, and proxies that inject faults."""

from collections.abc import Mapping
import pathlib
import signal
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer

from filbertlift_core import env
from filbertlift_core import model
from filbertlift_harness import exceptions
from filbertlift_harness import ports
from filbertlift_harness import processes
from filbertlift_platform import names
from filbertlift_platform import program
from filbertlift_platform_fakes import documents
from filbertlift_soak import records
from filbertlift_soak import target as targets
from filbertlift_standins import link
from filbertlift_standins import tunnels
from filbertlift_standins import web

# Module of `platform/run.py`, which the platform starts.
NODE_MODULE: Final = "run"
HEARTBEAT_INTERVAL_S: Final = 0.5
DRAIN_S: Final = 2.5
GRACE_S: Final = 6.0
SLOTS: Final = 6
# Time from its start within which a node has installed its signal handlers, in
# seconds.
STARTUP_S: Final = 2.0
# Time after which the platform restarts a process that ended, in seconds.
RESTART_DELAY_S: Final = 0.3
PLACES: Final = (
    model.Place("north", "north-1"),
    model.Place("south", "south-1"),
    model.Place("north", "north-2"),
    model.Place("south", "south-2"),
)


@attrs.define(eq=False)
class FaultProxy:
    """A proxy in front of one address that injects faults.

    Attributes:
        address: address at which connections are accepted.
        link: delays, resets and silences the connections.
    """

    address: model.Address
    link: link.Link
    _destination: model.Address
    _port: Any = None

    def start(self) -> None:
        """Starts to listen; raises CannotListenError."""
        factory = tunnels.TunnelFactory(self.link, True, str(self._destination))
        self._port = web.listen(self.link.clock, self.address, factory)

    def set_faults(self, **values: Any) -> None:
        """Changes the faults of the connections."""
        web.update_record(self.link.faults, values)
        self.link.apply_faults()


@attrs.define(eq=False)
class Host:
    """One host of the run.

    Attributes:
        name: name of the host.
        place: region and data centre of the host.
        service: service of its target.
        addresses: addresses by the name of the node's setting.
        folder: folder of the settings file and the logs.
        process: process of its node.
        peers: proxy in front of the node's links.
        store: proxy between this host and the store.
        target: the target on the host.
        journal: record of the starts of the node.
        is_down: whether a step has taken the node down.
    """

    reactor: Any
    name: str
    place: model.Place
    service: str
    addresses: Mapping[str, model.Address]
    folder: pathlib.Path
    process: processes.Process
    peers: FaultProxy
    store: FaultProxy
    target: targets.Target
    journal: records.Journal
    is_down: bool = False

    @property
    def settings_path(self) -> pathlib.Path:
        """Path of the node's settings file."""
        return self.folder / f"{self.name}.conf"

    def write_settings(self, grace_s: float = GRACE_S) -> None:
        """Writes the settings file of the node."""
        text = documents.encode_settings(
            self.name,
            self.place,
            self.service,
            {**self.addresses, "store": self.store.address},
            HEARTBEAT_INTERVAL_S,
            grace_s,
        )
        self.settings_path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Starts the proxies, the target and the node."""
        self.write_settings()
        self.peers.start()
        self.store.start()
        self.target.start()
        self.start_process()

    def start_process(self) -> None:
        """Starts the node."""
        self.is_down = False
        started = self.journal.starts.setdefault(self.name, [])
        started.append(self.reactor.seconds())
        self.process.on_exit = self._note_exit
        self.process.start(self.folder)

    def kill(self) -> None:
        """Kills the node without notice."""
        if self.process.running:
            self.process.kill()

    def _note_exit(self, status: int) -> None:
        """Restarts a node that ended by itself, as the platform does."""
        if self.is_down:
            return
        age_s = self.reactor.seconds() - self.journal.starts[self.name][-1]
        self.journal.exits.append(records.Exit(self.name, status, age_s))
        self.is_down = True
        self.restart_later(RESTART_DELAY_S)

    def restart_later(self, delay_s: float) -> None:
        """Restarts the node after a delay, but not before its process ended."""
        self.reactor.callLater(delay_s, self._restart)

    def _restart(self) -> None:
        if self.process.running:
            # The end of the process has not been reported yet.
            self.reactor.callLater(RESTART_DELAY_S, self._restart)
            return
        if not self.is_down:
            return
        self.start_process()

    async def stop_process(self) -> bool:
        """Stops the node as planned; returns whether it ended in time.

        A node that is still starting has no handler yet and ends by the signal.
        """
        if not self.process.running:
            return True
        age_s = self.reactor.seconds() - self.journal.starts[self.name][-1]
        allowed = {env.EXIT_OK}
        if age_s < STARTUP_S:
            allowed.add(-signal.SIGTERM)
        if self.process.paused:
            self.process.resume()
        self.process.send_signal(signal.SIGTERM)
        try:
            return await self.process.wait_end(GRACE_S) in allowed
        except exceptions.HarnessError:
            self.kill()
            return False


def make_hosts(
    reactor: Any,
    folder: pathlib.Path,
    services: list[str],
    count: int,
    store: model.Address,
    journal: records.Journal,
    make_target: Any,
    picker: ports.PortPicker,
) -> list[Host]:
    """Returns hosts, not started, over all services and data centres."""
    hosts = []
    for number in range(count):
        service = services[number % len(services)]
        place = PLACES[(number // len(services)) % len(PLACES)]
        name = f"h{number:02d}-{service}"
        addresses = _pick_addresses(picker)
        links = addresses.pop("links")
        peers = FaultProxy(
            addresses["peers"], link.Link(reactor, link.Faults()), links
        )
        store_proxy = FaultProxy(
            picker.pick(), link.Link(reactor, link.Faults()), store
        )
        spec = targets.TargetSpec(
            name,
            service,
            addresses["target"],
            addresses["control"],
            SLOTS,
            HEARTBEAT_INTERVAL_S,
            DRAIN_S,
        )
        process = processes.Process(
            reactor,
            name,
            NODE_MODULE,
            [],
            {
                names.SETTINGS_VARIABLE: str(folder / f"{name}.conf"),
                program.LINKS_VARIABLE: str(links),
            },
        )
        hosts.append(
            Host(
                reactor,
                name,
                place,
                service,
                addresses,
                folder,
                process,
                peers,
                store_proxy,
                make_target(spec, addresses["outbound"]),
                journal,
            )
        )
    return hosts


def _pick_addresses(picker: ports.PortPicker) -> dict[str, model.Address]:
    """Returns the addresses of a host; metrics is at the peers port + 1."""
    peers = picker.pick()
    metrics = picker.pick()
    while metrics.port != peers.port + 1:
        peers, metrics = metrics, picker.pick()
    found = {"peers": peers, "metrics": metrics}
    for name in ("links", "outbound", "ready", "control", "target"):
        found[name] = picker.pick()
    return found


async def stop_all(hosts: list[Host], timeout_s: float) -> None:
    """Stops the nodes of all hosts."""
    for host in hosts:
        host.process.on_exit = None
    stops = [
        defer.Deferred.fromCoroutine(host.process.stop(timeout_s))
        for host in hosts
        if host.process.running
    ]
    await defer.gatherResults(stops)
