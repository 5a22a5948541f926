"""Soak test: a seeded random sequence of faults under load, with an oracle.

It tests deployments of the library `node`, while `filbertlift_soak.main` tests
nodes of the library `sidecar` on a stand-in for the users' platform.
"""

import collections
import math
import random
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import task
import typer

from filbertlift_core import exceptions
from filbertlift_harness import deployment as deployments
from filbertlift_harness import disturbances
from filbertlift_harness import heads
from filbertlift_harness import oracle
from filbertlift_harness import publishing
from filbertlift_harness import runs
from filbertlift_harness import steps
from filbertlift_harness import topology as topologies
from filbertlift_harness import traffic
from filbertlift_harness import trees
from filbertlift_harness import versions
from filbertlift_standins import load
from filbertlift_standins import schedule

_CALLS_PER_S = 30.0
_AFTER_FAULTS_S = 5.0
_RECOVERY_LIMIT_S = 60.0
_SETTLE_S = 6.0
_POLL_INTERVAL_S = 0.3
# Least share of the calls that must be done once every fault has ended.
_MIN_DONE_SHARE = 0.98


def report(text: str) -> None:
    """Prints a line of progress and flushes it."""
    print(text, flush=True)


def with_longer_work(
    operations: tuple[schedule.Operation, ...],
) -> list[schedule.Operation]:
    """Returns operations with longer work, so that faults hit running calls."""
    return [
        attrs.evolve(
            operation, work_ms=min(400.0, (operation.work_ms or 0.0) * 20)
        )
        for operation in operations
    ]


class VersionPoller:
    """Polls the version of every node and passes it to a checker.

    Attributes:
        checker: takes the reported versions and collects problems.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.checker = versions.VersionChecker()
        self._deployment = deployment
        # Each node is polled on its own, so that a paused one delays no other.
        self._polls = [
            task.LoopingCall(self._poll, spec) for spec in deployment.nodes
        ]

    def start(self) -> None:
        """Starts polling every node."""
        for poll in self._polls:
            poll.clock = self._deployment.reactor
            poll.start(_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stops polling."""
        for poll in self._polls:
            if poll.running:
                poll.stop()

    def _poll(self, spec: deployments.NodeSpec) -> Any:
        return defer.Deferred.fromCoroutine(self._read(spec))

    async def _read(self, spec: deployments.NodeSpec) -> None:
        page = await disturbances.read_version_page(self._deployment, spec)
        if page is not None:
            self.checker.observe(
                spec.name, page["version"], page["root"], page["ready"]
            )


def check_logs(deployment: deployments.Deployment) -> list[str]:
    """Returns every change to an older version that a node logged."""
    problems = []
    for spec in deployment.nodes:
        path = deployment.folder / f"{spec.node_name}.log"
        with open(path, encoding="utf-8", errors="replace") as log:
            found = heads.find_regressions(log)
        problems += [f"{spec.name} logged {text}" for text in found]
    return problems


def count_codes(records: list[load.CallRecord]) -> dict[str, int]:
    """Counts the codes of the calls with an outcome other than `done`."""
    return dict(
        collections.Counter(
            f"{record.outcome}/{record.code}"
            for record in records
            if record.outcome != "done"
        )
    )


async def check_agreement(
    deployment: deployments.Deployment, tree: trees.Tree
) -> list[str]:
    """Publishes once more and waits until all nodes report the same version.

    Returns:
        The problems found; empty if all nodes agreed.
    """
    try:
        await deployment.wait_ready(_RECOVERY_LIMIT_S)
        services = deployment.topology.service_names
        trees.change_queue(tree, services[0], 999)
        await publishing.publish_accepted(deployment, tree, services)

        async def versions_agree() -> bool:
            found = set((await deployment.read_versions()).values())
            return len(found) == 1

        await deployment.pages.sleep(1.0)
        await deployment.pages.wait_until(
            "the same version at all nodes", versions_agree, _RECOVERY_LIMIT_S
        )
    except exceptions.FilbertliftError as error:
        missing = await deployment.list_not_ready()
        return [f"after the faults: {error}; not ready: {missing}"]
    return []


async def check_after_faults(
    deployment: deployments.Deployment, tree: trees.Tree, seed: int
) -> tuple[list[load.CallRecord], list[str]]:
    """Sends calls after all faults have ended; nearly all must be done.

    Returns:
        The records of the calls, and the problems found.
    """
    rates = [schedule.RateStep(0.0, _CALLS_PER_S)]
    calls = traffic.start_traffic(
        deployment, tree, rates, _AFTER_FAULTS_S, seed
    )
    await deployment.pages.sleep(_AFTER_FAULTS_S + 0.5)
    records = await calls.finish(30.0)
    done = sum(record.outcome == "done" for record in records)
    if done < _MIN_DONE_SHARE * len(records):
        codes = {r.code for r in records if r.outcome != "done"}
        text = f"after the faults: {done} of {len(records)} done, {codes}"
        return records, [text]
    return records, []


async def run_steps(
    deployment: deployments.Deployment, tree: trees.Tree, seed: int, count: int
) -> list[str]:
    """Runs the steps drawn from a seed; returns the problems found."""
    await runs.start_all(deployment, tree)
    poller = VersionPoller(deployment)
    poller.start()
    calls = traffic.start_traffic(
        deployment,
        tree,
        [schedule.RateStep(0.0, _CALLS_PER_S)],
        math.inf,
        seed,
        with_longer_work(deployment.topology.operations),
        attempts=3,
    )
    injector = disturbances.FaultInjector(deployment, tree)
    plan = steps.draw_steps(random.Random(seed), count, len(deployment.nodes))
    for number, step in enumerate(plan):
        report(f"step={number} {step}")
        await injector.run_step(step)
        await deployment.pages.sleep(step.pause_s)
    await injector.restore()
    problems = await check_agreement(deployment, tree)
    await deployment.pages.sleep(_SETTLE_S)
    records = await calls.finish(30.0)
    later_records, found = await check_after_faults(deployment, tree, seed)
    poller.stop()
    totals = traffic.read_totals(deployment)
    verdict = oracle.compare_outcomes(
        records + later_records, totals, calls.running.in_flight
    )
    report(
        f"sent={verdict.sent} whole={verdict.whole} not_run={verdict.not_run}"
        f" unknown={verdict.unknown} versions={len(poller.checker.roots)}"
    )
    report(f"codes={count_codes(records)}")
    problems += found + injector.problems + poller.checker.problems
    problems += check_logs(deployment)
    return problems + verdict.list_problems()


async def run_soak(reactor: Any, seed: int, count: int) -> None:
    """Runs one soak test; raises SystemExit with status 1 if it failed."""
    deployment = deployments.Deployment(reactor, topologies.TUSSOCK_ROAD)
    report(f"seed={seed} steps={count} logs={deployment.folder}")
    tree = trees.write_example(
        topologies.TUSSOCK_ROAD, deployment.folder / "tree"
    )
    try:
        problems = await run_steps(deployment, tree, seed, count)
    except exceptions.FilbertliftError as error:
        problems = [str(error)]
    finally:
        await deployment.stop()
    for problem in problems:
        report(f"problem: {problem}")
    if problems:
        report(f"soak failed: seed={seed} steps={count}")
        raise SystemExit(1)
    report(f"soak ok: seed={seed} steps={count}")


def main(
    seed: int = typer.Option(1, help="Seed of the steps and the load."),
    count: int = typer.Option(30, "--steps", help="Number of steps."),
) -> None:
    """Injects faults into a deployment under load; checks the guarantees."""
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_soak(reactor, seed, count)
        )
    )


if __name__ == "__main__":
    typer.run(main)
