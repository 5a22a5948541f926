"""Injects the faults and changes of the soak test into a deployment."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import shutil
from typing import Any

from filbertlift_core import env
from filbertlift_harness import deployment as deployments
from filbertlift_harness import pages
from filbertlift_harness import publishing
from filbertlift_harness import steps
from filbertlift_harness import traffic
from filbertlift_harness import trees
from filbertlift_standins import client
from filbertlift_standins import schedule

# At least one of the witnesses of a version must survive. With more nodes down
# at a time all witnesses of a new version could be lost, which the design does
# not cover.
_MAX_DOWN = 2
_STOP_LIMIT_S = 40.0
_ALLOWED_STATUSES = (env.EXIT_OK, env.EXIT_CONFLICT, env.EXIT_UNKNOWN)
_DOWNLOAD = schedule.Operation(
    "long",
    "GET",
    "/papers/manifests/1",
    work_ms=3000.0,
    answer_bytes=600_000,
    deadline_ms=20_000,
)

StepAction = Callable[[steps.Step], Awaitable[None]]


class FaultInjector:
    """Carries out steps and keeps track of the nodes to start or resume.

    Each step is awaited before the next, unlike the steps of
    `filbertlift_soak.faults`.

    Attributes:
        problems: broken guarantees that the steps themselves found.
    """

    def __init__(
        self, deployment: deployments.Deployment, tree: trees.Tree
    ) -> None:
        self.problems: list[str] = []
        self._deployment = deployment
        self._tree = tree
        self._killed: list[str] = []
        self._paused: list[str] = []
        self._numbers = itertools.count(1)
        self._actions: dict[str, StepAction] = {
            "kill_node": self._kill_node,
            "restart_killed": self._restart_killed,
            "pause_node": self._pause_node,
            "resume_paused": self._resume_paused,
            "store_outage": self._store_outage,
            "store_slow": self._store_slow,
            "lose_answers": self._lose_answers,
            "lapse_leases": self._lapse_leases,
            "silence_watches": self._silence_watches,
            "part_link": self._part_link,
            "slow_link": self._slow_link,
            "silence_link": self._silence_link,
            "drain_target": self._drain_target,
            "slow_target": self._slow_target,
            "restart_target": self._restart_target,
            "publish": self._publish,
            "race": self._race,
            "planned_stop": self._planned_stop,
            "lose_data_centre": self._lose_data_centre,
        }

    async def run_step(self, step: steps.Step) -> None:
        """Carries out one step."""
        await self._actions[step.name](step)

    async def restore(self) -> None:
        """Ends every fault, resumes paused nodes and restarts killed ones."""
        await self._set_store_faults(
            {"outage": "", "outage_s": 0, "delay_s": 0, "lost_next": 0}
        )
        await self._set_link_faults(
            {"part": False, "rate_out_bps": 30e6, "rate_in_bps": 30e6}
        )
        for name in [*self._paused]:
            self._deployment.resume(name)
        self._paused.clear()
        for name in [*self._killed]:
            await self._deployment.restart(name)
        self._killed.clear()
        for spec in self._deployment.nodes:
            await self._set_target_faults(spec, draining=False, slowdown=1.0)

    def _find_node(self, step: steps.Step) -> deployments.NodeSpec:
        return self._deployment.nodes[step.node]

    def _is_up(self, name: str) -> bool:
        return name not in self._killed and name not in self._paused

    def _can_take_down(self, name: str) -> bool:
        down = len(self._killed) + len(self._paused)
        return down < _MAX_DOWN and self._is_up(name)

    async def _set_store_faults(self, values: dict[str, Any]) -> None:
        deployment = self._deployment
        await deployment.pages.post(
            deployment.store_control, "/-/faults", values
        )

    async def _set_link_faults(self, values: dict[str, Any]) -> None:
        deployment = self._deployment
        await deployment.pages.post(
            deployment.link_control, "/-/faults", values
        )

    async def _set_target_faults(
        self, spec: deployments.NodeSpec, **values: Any
    ) -> None:
        await self._deployment.pages.post(spec.target, "/-/faults", values)

    async def _kill_node(self, step: steps.Step) -> None:
        name = self._find_node(step).node_name
        if self._can_take_down(name):
            self._deployment.kill(name)
            self._killed.append(name)

    async def _restart_killed(self, _step: steps.Step) -> None:
        if self._killed:
            await self._deployment.restart(self._killed.pop(0))

    async def _pause_node(self, step: steps.Step) -> None:
        name = self._find_node(step).node_name
        if self._can_take_down(name):
            self._deployment.pause(name)
            self._paused.append(name)

    async def _resume_paused(self, _step: steps.Step) -> None:
        if self._paused:
            self._deployment.resume(self._paused.pop(0))

    async def _store_outage(self, step: steps.Step) -> None:
        await self._set_store_faults(
            {"outage": step.word, "outage_s": step.seconds}
        )

    async def _store_slow(self, step: steps.Step) -> None:
        await self._set_store_faults({"delay_s": step.seconds / 10})
        await self._deployment.pages.sleep(step.seconds / 2)
        await self._set_store_faults({"delay_s": 0.0})

    async def _lose_answers(self, step: steps.Step) -> None:
        await self._set_store_faults({"lost_next": 1 + step.node % 3})
        await self._publish(step)

    async def _lapse_leases(self, _step: steps.Step) -> None:
        await self._set_store_faults({"lapse_leases": True})

    async def _silence_watches(self, _step: steps.Step) -> None:
        await self._set_store_faults({"silence_watches": True})

    async def _part_link(self, step: steps.Step) -> None:
        await self._set_link_faults({"part": True})
        await self._deployment.pages.sleep(step.seconds)
        await self._set_link_faults({"part": False})

    async def _slow_link(self, step: steps.Step) -> None:
        slow = {"rate_out_bps": 1e6, "rate_in_bps": 1e6}
        await self._set_link_faults(slow)
        await self._deployment.pages.sleep(step.seconds)
        await self._set_link_faults({"rate_out_bps": 30e6, "rate_in_bps": 30e6})

    async def _silence_link(self, step: steps.Step) -> None:
        await self._set_link_faults({"silence": step.word})

    async def _drain_target(self, step: steps.Step) -> None:
        spec = self._find_node(step)
        await self._set_target_faults(spec, draining=True)
        await self._deployment.pages.sleep(step.seconds)
        await self._set_target_faults(spec, draining=False)

    async def _slow_target(self, step: steps.Step) -> None:
        factor = 10.0 if step.seconds > 2 else 1.0
        await self._set_target_faults(self._find_node(step), slowdown=factor)

    async def _restart_target(self, step: steps.Step) -> None:
        spec = self._find_node(step)
        self._deployment.kill(spec.target_name)
        process = self._deployment.processes[spec.target_name]
        await process.wait_end(5.0)
        await self._deployment.restart(spec.target_name)
        await self._deployment.pages.wait_until(
            f"a response from {spec.target_name}",
            lambda: self._responds_ok(spec),
            10.0,
        )
        await self._set_target_faults(spec, cold_s=5.0)

    async def _responds_ok(self, spec: deployments.NodeSpec) -> bool:
        status = await self._deployment.pages.get_status(
            spec.target, "/-/health"
        )
        return status == 200

    async def _publish(self, step: steps.Step) -> None:
        service = self._find_node(step).service
        number = next(self._numbers)
        trees.change_queue(self._tree, service, 100 + number)
        await self._publish_tree(self._tree)

    async def _publish_tree(self, tree: trees.Tree) -> None:
        publication = await publishing.publish(self._deployment, tree)
        if publication.exit_status == env.EXIT_CONFLICT:
            # Stands for an operator who resolves the conflict in favour of
            # these files.
            names = self._deployment.topology.service_names
            publication = await publishing.publish(
                self._deployment, tree, names
            )
        if publication.exit_status not in _ALLOWED_STATUSES:
            self.problems.append(
                f"publish exited with status {publication.exit_status}:"
                f" {publication.output}"
            )

    async def _race(self, step: steps.Step) -> None:
        """Publishes two trees at once, like two operators.

        The changes concern the same service or two services.
        """
        number = next(self._numbers)
        services = self._deployment.topology.service_names
        first_service = self._find_node(step).service
        second_service = services[int(step.seconds * 10) % len(services)]
        folder = self._deployment.folder / f"rival-{number}"
        shutil.copytree(self._tree.folder, folder)
        rival_tree = trees.Tree(folder, self._tree.token)
        trees.change_queue(self._tree, first_service, 300 + number)
        trees.change_queue(rival_tree, second_service, 600 + number)
        await pages.gather(
            [self._publish_tree(self._tree), self._publish_tree(rival_tree)]
        )

    async def _lose_data_centre(self, step: steps.Step) -> None:
        """Kills every node of a data centre; later restarts all at once."""
        if self._killed or self._paused:
            return
        place = self._find_node(step).place
        names = [
            spec.node_name
            for spec in self._deployment.nodes
            if spec.place == place
        ]
        for name in names:
            self._deployment.kill(name)
        self._killed += names
        await self._deployment.pages.sleep(step.seconds)
        await pages.gather([self._deployment.restart(name) for name in names])
        self._killed.clear()

    async def _planned_stop(self, step: steps.Step) -> None:
        """Stops a node during a download, which must still be completed."""
        await self.restore()
        deployment = self._deployment
        await deployment.wait_ready(60.0)
        spec = self._find_node(step)
        process = deployment.processes[spec.node_name]
        running = traffic.make_load(deployment, self._tree)
        number = next(self._numbers)
        download = schedule.PlannedCall(
            0.0, _DOWNLOAD, spec.listen, f"stop{number}-1"
        )
        result = running.start(iter([download]))
        await deployment.pages.sleep(0.7)
        process.send_signal(15)
        status = await process.wait_end(_STOP_LIMIT_S)
        records = await result
        outcome = records[0].outcome
        # `not-run` is correct too: the node may shed the download before it
        # begins.
        if outcome not in ("done", "not-run") or status != env.EXIT_OK:
            self.problems.append(
                f"planned stop of {spec.name}: exit status {status},"
                f" download {outcome} {records[0].code}"
            )
        await deployment.restart(spec.node_name)


async def read_version_page(
    deployment: deployments.Deployment, spec: deployments.NodeSpec
) -> dict[str, Any] | None:
    """Returns the version page of a node, or None without a response."""
    try:
        page = await deployment.pages.get(spec.status, "/version")
    except client.RequestError:
        return None
    return dict(page) if page else None
