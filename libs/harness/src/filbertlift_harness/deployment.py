"""A deployment on loopback: store, link, targets and nodes as processes."""

import pathlib
import signal
import tempfile
from typing import Any

import attrs

from filbertlift_core import model
from filbertlift_harness import exceptions
from filbertlift_harness import pages
from filbertlift_harness import ports
from filbertlift_harness import processes
from filbertlift_harness import topology as topologies
from filbertlift_standins import client

_READY_LIMIT_S = 40.0
SECRET = "loopback-secret"


@attrs.frozen
class NodeSpec:
    """One host: a node and the target beside it."""

    name: str
    place: model.Place
    service: str
    listen: model.Address
    link: model.Address
    status: model.Address
    target: model.Address

    @property
    def target_name(self) -> str:
        """Name of the target's process."""
        return f"target-{self.name}"

    @property
    def node_name(self) -> str:
        """Name of the node's process."""
        return f"node-{self.name}"


@attrs.frozen
class Options:
    """Settings of a deployment that differ between measurements.

    Attributes:
        policy: `filbertlift` or `fifo`.
        drain_limit_s: seconds that a stopping node may take to finish its
            calls.
        share_targets: whether all nodes of a service share one target
            process, for measurements that make no calls.
    """

    policy: str = "filbertlift"
    drain_limit_s: float = 900.0
    share_targets: bool = False


class Deployment:
    """Starts, pauses, kills and stops the processes of one deployment."""

    def __init__(
        self,
        reactor: Any,
        topology: topologies.Topology,
        options: Options = Options(),
    ) -> None:
        self.reactor = reactor
        self.topology = topology
        self.options = options
        self.pages = pages.Pages(reactor)
        self.processes: dict[str, processes.Process] = {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertlift-"))
        picker = self._picker = ports.PortPicker()
        self.store = picker.pick()
        self.store_control = picker.pick()
        self.store_forward = picker.pick()
        self.link_near = picker.pick()
        self.link_far = picker.pick()
        self.link_control = picker.pick()
        self.nodes = self._make_nodes(picker)
        reactor.addSystemEventTrigger("before", "shutdown", self.kill_all)

    def _make_nodes(self, picker: ports.PortPicker) -> list[NodeSpec]:
        nodes = []
        for service in self.topology.services:
            target = picker.pick()
            for number, data_centre in enumerate(service.data_centres):
                if not self.options.share_targets:
                    target = picker.pick()
                nodes.append(
                    NodeSpec(
                        f"{service.name}-{data_centre}-{number}",
                        self.topology.find_place(data_centre),
                        service.name,
                        listen=picker.pick(),
                        link=picker.pick(),
                        status=picker.pick(),
                        target=target,
                    )
                )
        return nodes

    @property
    def entries(self) -> list[model.Address]:
        """Addresses at which the nodes take calls from callers."""
        return [spec.listen for spec in self.nodes]

    def start_platform(self) -> None:
        """Starts the store and the link."""
        self._start(
            "store",
            "filbertlift_standins.store",
            ["--listen", self.store, "--control", self.store_control],
        )
        forward = f"{self.store_forward.port}={self.store}"
        self._start(
            "link",
            "filbertlift_standins.link",
            [
                *("--near", self.link_near, "--far", self.link_far),
                *("--control", self.link_control, "--forward", forward),
                *("--delay-ms", self.topology.delay_ms),
                *("--rate-mbps", self.topology.rate_mbps),
            ],
        )

    def start_targets(self) -> None:
        """Starts the targets; a shared target is started once."""
        limits = {plan.name: plan for plan in self.topology.services}
        started: set[model.Address] = set()
        for spec in self.nodes:
            if spec.target in started:
                continue
            started.add(spec.target)
            plan = limits[spec.service]
            self._start(
                spec.target_name,
                "filbertlift_standins.target",
                [
                    *("--listen", spec.target, "--name", spec.name),
                    *("--slots", plan.slots),
                    *("--connections", plan.connections),
                    *("--journal", self.folder / f"{spec.name}.runs"),
                ],
            )

    def start_nodes(self) -> None:
        """Starts the nodes."""
        for spec in self.nodes:
            self._start(
                spec.node_name, "filbertlift_node", self._make_flags(spec)
            )

    async def wait_platform(self) -> None:
        """Waits until the store, the link and the targets answer."""
        stand_ins = [(self.store_control, "/-/counters")]
        stand_ins.append((self.link_control, "/-/counters"))
        stand_ins += [(spec.target, "/-/health") for spec in self.nodes]
        for address, path in stand_ins:
            await self.pages.wait_until(
                f"a response from {address}{path}",
                lambda a=address, p=path: self._responds_ok(a, p),  # type: ignore[misc]
                _READY_LIMIT_S,
            )

    async def wait_ready(self, timeout_s: float = _READY_LIMIT_S) -> float:
        """Waits until every node is ready; returns the seconds it took."""
        return await self.pages.wait_until(
            "readiness of every node", self._all_ready, timeout_s
        )

    async def list_not_ready(self) -> list[str]:
        """Returns the names of the nodes that are not ready."""
        statuses = await pages.gather(
            [
                self.pages.get_status(spec.status, "/ready")
                for spec in self.nodes
            ]
        )
        pairs = zip(self.nodes, statuses, strict=True)
        return [spec.name for spec, status in pairs if status != 200]

    async def read_versions(self) -> dict[str, int]:
        """Returns the version in force at each node; -1 without a response."""
        answers = await pages.gather(
            [self._read_version(spec) for spec in self.nodes]
        )
        names = [spec.name for spec in self.nodes]
        return dict(zip(names, answers, strict=True))

    def kill(self, name: str) -> None:
        """Kills a process with SIGKILL."""
        self.processes[name].kill()

    def pause(self, name: str) -> None:
        """Pauses a process with SIGSTOP."""
        self.processes[name].pause()

    def resume(self, name: str) -> None:
        """Resumes a paused process."""
        self.processes[name].resume()

    async def restart(self, name: str) -> None:
        """Starts a process again; stops it first if it still runs."""
        process = self.processes[name]
        if process.running:
            await process.stop()
        process.start(self.folder)

    async def stop(self) -> None:
        """Stops the nodes first, then the other processes."""
        self.pages.close()
        running = [p for p in self.processes.values() if p.running]
        nodes = [p for p in running if p.module == "filbertlift_node"]
        others = [p for p in running if p not in nodes]
        await pages.gather([process.stop() for process in nodes])
        await pages.gather([process.stop() for process in others])
        self._picker.close()

    def kill_all(self) -> None:
        """Kills every process that still runs."""
        for process in self.processes.values():
            if process.running:
                process.send_signal(signal.SIGKILL)

    def read_log(self, name: str, lines: int = 20) -> str:
        """Returns the last lines of a process's log."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])

    def _start(self, name: str, module: str, flags: list[Any]) -> None:
        texts = [str(flag) for flag in flags]
        process = processes.Process(self.reactor, name, module, texts)
        self.processes[name] = process
        process.start(self.folder)

    def _make_flags(self, spec: NodeSpec) -> list[Any]:
        near = self.topology.regions[0]
        is_near = spec.place.region == near
        store = self.store if is_near else self.store_forward
        proxy = self.link_near if is_near else self.link_far
        region_proxies = [
            f"{region}={proxy}"
            for region in self.topology.regions
            if region != spec.place.region
        ]
        return [
            *("--cluster", self.topology.name),
            *("--region", spec.place.region),
            *("--data-centre", spec.place.data_centre),
            *("--service", spec.service),
            *("--listen", spec.listen),
            *("--link", spec.link),
            *("--status", spec.status),
            *("--target", spec.target),
            *("--store", f"http://{store}"),
            *("--peers", ",".join(map(str, self._list_peers(spec)))),
            *("--secrets", SECRET),
            *("--policy", self.options.policy),
            *("--drain-limit", f"{self.options.drain_limit_s:g}"),
            *("--start-jitter", "0"),
            *("--region-proxy", ",".join(region_proxies)),
        ]

    def _list_peers(self, spec: NodeSpec) -> list[model.Address]:
        """Returns the first two nodes of each data centre of the region.

        The setting of the peers does not say which region a peer is in, so a
        peer in another region would be called directly instead of through the
        link.
        """
        peers = []
        for place in self.topology.places:
            if place.region != spec.place.region:
                continue
            local_nodes = [node for node in self.nodes if node.place == place]
            peers += [node.link for node in local_nodes[:2] if node is not spec]
        return peers

    async def _responds_ok(self, address: model.Address, path: str) -> bool:
        return await self.pages.get_status(address, path) == 200

    async def _all_ready(self) -> bool:
        for spec in self.nodes:
            if not self.processes[spec.node_name].running:
                log = self.read_log(spec.node_name, 5)
                message = f"{spec.node_name} exited during startup: {log}"
                raise exceptions.HarnessError(message)
        return not await self.list_not_ready()

    async def _read_version(self, spec: NodeSpec) -> int:
        try:
            page = await self.pages.get(spec.status, "/version")
        except client.RequestError:
            return -1
        return int(page["version"])
