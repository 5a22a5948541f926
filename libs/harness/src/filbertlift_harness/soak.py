"""Soak test: a seeded random sequence of faults under load, with an oracle."""

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

_RATE = 30.0
_CLEAN_S = 5.0
_HEAL_S = 60.0
_SETTLE_S = 6.0
_POLL_S = 0.3
# After every fault has ended nearly all calls must be answered.
_CLEAN_SHARE = 0.98


def report(text: str) -> None:
    """Prints a progress line at once."""
    print(text, flush=True)


def lengthen(
    operations: tuple[schedule.Operation, ...],
) -> list[schedule.Operation]:
    """Returns operations that take longer, so that faults meet running ones."""
    return [
        attrs.evolve(
            operation, work_ms=min(400.0, (operation.work_ms or 0.0) * 20)
        )
        for operation in operations
    ]


class VersionPoller:
    """Feeds the version checker while the run lasts."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.checker = versions.VersionChecker()
        self._deployment = deployment
        # One poll for each node, so that a paused one delays no other.
        self._polls = [
            task.LoopingCall(self._poll, spec) for spec in deployment.nodes
        ]

    def start(self) -> None:
        """Begins to poll every node."""
        for poll in self._polls:
            poll.clock = self._deployment.reactor
            poll.start(_POLL_S)

    def stop(self) -> None:
        """Polls no more."""
        for poll in self._polls:
            if poll.running:
                poll.stop()

    def _poll(self, spec: deployments.NodeSpec) -> Any:
        return defer.Deferred.fromCoroutine(self._read(spec))

    async def _read(self, spec: deployments.NodeSpec) -> None:
        page = await disturbances.read_page(self._deployment, spec)
        if page is not None:
            self.checker.observe(
                spec.name, page["version"], page["root"], page["ready"]
            )


def check_logs(deployment: deployments.Deployment) -> list[str]:
    """Returns every return to an older version that a log shows."""
    problems = []
    for spec in deployment.nodes:
        path = deployment.folder / f"{spec.node_name}.log"
        with open(path, encoding="utf-8", errors="replace") as log:
            found = heads.find_returns(log)
        problems += [f"{spec.name} logged {text}" for text in found]
    return problems


def count_codes(records: list[load.CallRecord]) -> dict[str, int]:
    """Returns how often each code came with an outcome other than done."""
    return dict(
        collections.Counter(
            f"{record.outcome}/{record.code}"
            for record in records
            if record.outcome != "done"
        )
    )


async def settle(
    deployment: deployments.Deployment, tree: trees.Tree
) -> list[str]:
    """Waits until all nodes agree on one more publication.

    Returns:
        What did not come true after all faults had ended.
    """
    try:
        await deployment.wait_ready(_HEAL_S)
        services = deployment.topology.service_names
        trees.change_queue(tree, services[0], 999)
        await publishing.publish_accepted(deployment, tree, services)

        async def agree() -> bool:
            found = set((await deployment.read_versions()).values())
            return len(found) == 1

        await deployment.pages.sleep(1.0)
        await deployment.pages.wait_until("agreement", agree, _HEAL_S)
    except exceptions.FilbertliftError as error:
        missing = await deployment.list_not_ready()
        return [f"after the faults: {error}; not ready: {missing}"]
    return []


async def check_clean(
    deployment: deployments.Deployment, tree: trees.Tree, seed: int
) -> tuple[list[load.CallRecord], list[str]]:
    """Sends calls after all faults ended; nearly all must be answered."""
    rates = [schedule.RateStep(0.0, _RATE)]
    calls = traffic.start_traffic(deployment, tree, rates, _CLEAN_S, seed)
    await deployment.pages.sleep(_CLEAN_S + 0.5)
    records = await calls.finish(30.0)
    done = sum(record.outcome == "done" for record in records)
    if done < _CLEAN_SHARE * len(records):
        codes = {r.code for r in records if r.outcome != "done"}
        text = f"after the faults: {done} of {len(records)} done, {codes}"
        return records, [text]
    return records, []


async def run_steps(
    deployment: deployments.Deployment, tree: trees.Tree, seed: int, count: int
) -> list[str]:
    """Runs the sequence of a seed; returns the problems found."""
    await runs.start_all(deployment, tree)
    poller = VersionPoller(deployment)
    poller.start()
    calls = traffic.start_traffic(
        deployment,
        tree,
        [schedule.RateStep(0.0, _RATE)],
        math.inf,
        seed,
        lengthen(deployment.topology.operations),
        attempts=3,
    )
    disturber = disturbances.Disturber(deployment, tree)
    plan = steps.draw_steps(random.Random(seed), count, len(deployment.nodes))
    for number, step in enumerate(plan):
        report(f"step={number} {step}")
        await disturber.carry_out(step)
        await deployment.pages.sleep(step.pause_s)
    await disturber.heal()
    problems = await settle(deployment, tree)
    await deployment.pages.sleep(_SETTLE_S)
    records = await calls.finish(30.0)
    clean, found = await check_clean(deployment, tree, seed)
    poller.stop()
    totals = traffic.read_totals(deployment)
    verdict = oracle.judge(records + clean, totals, calls.running.in_flight)
    report(
        f"sent={verdict.sent} whole={verdict.whole} not_run={verdict.not_run}"
        f" unknown={verdict.unknown} versions={len(poller.checker.roots)}"
    )
    report(f"codes={count_codes(records)}")
    problems += found + disturber.problems + poller.checker.problems
    problems += check_logs(deployment)
    return problems + verdict.list_problems()


async def run_soak(reactor: Any, seed: int, count: int) -> None:
    """Runs one soak test and ends with its exit status."""
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
    """Disturbs a deployment under load and checks the guarantees."""
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_soak(reactor, seed, count)
        )
    )


if __name__ == "__main__":
    typer.run(main)
