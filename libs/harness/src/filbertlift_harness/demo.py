"""Demo: hands over records under load in both example deployments."""

import math
from typing import Any

import attrs
from twisted.internet import defer
from twisted.internet import task
import typer

from filbertlift_core import exceptions as core_exceptions
from filbertlift_harness import control
from filbertlift_harness import deployment as deployments
from filbertlift_harness import heads
from filbertlift_harness import oracle
from filbertlift_harness import publishing
from filbertlift_harness import runs
from filbertlift_harness import topology as topologies
from filbertlift_harness import traffic
from filbertlift_harness import trees
from filbertlift_standins import load
from filbertlift_standins import schedule

_CALLS_PER_S = 60.0
_LOAD_BEFORE_S = 5.0
_LOAD_AFTER_S = 6.0
_CONVERGENCE_LIMIT_S = 13.0
_FINISH_LIMIT_S = 25.0


@attrs.frozen
class DemoResult:
    """Result of the demo in one deployment.

    Attributes:
        name: name of the deployment.
        verdict: comparison of the reported outcomes with the runs.
        convergence_s: seconds from when the store accepted the hand-over
            until it was in force at every node.
        rate: cost of the control plane during the run.
        control_link_bytes_s: control bytes that the link carried per second
            before any call was made.
        calls_after_move: number of calls for the handed-over records that
            were sent after the hand-over was in force at every node.
        strays: ids of those calls that still ran at the old service.
    """

    name: str
    verdict: oracle.Verdict
    convergence_s: float
    rate: control.ControlRate
    control_link_bytes_s: float
    calls_after_move: int
    strays: tuple[str, ...]

    def format_rows(self) -> list[str]:
        """Returns the rows of the table."""
        verdict = self.verdict
        rows: list[tuple[str, Any]] = [
            ("calls sent", verdict.sent),
            ("answered whole", verdict.whole),
            ("told not run", verdict.not_run),
            ("told unknown", verdict.unknown),
            ("run twice", len(verdict.twice)),
            ("lost", len(verdict.lost) + verdict.unanswered),
            ("told not run, but ran", len(verdict.false_not_run)),
            ("wrong answers", len(verdict.wrong)),
            (
                "seconds until in force at every node",
                f"{self.convergence_s:.2f}",
            ),
            ("record calls after the hand-over", self.calls_after_move),
            ("of these at the old service", len(self.strays)),
            ("control bytes/s, each node", f"{self.rate.node_bytes_s:.0f}"),
            (
                "idle bytes/s across the link",
                f"{self.control_link_bytes_s:.0f}",
            ),
            ("all bytes/s across the link", f"{self.rate.link_bytes_s:.0f}"),
        ]
        return [f"{self.name:13} {label:38} {value}" for label, value in rows]

    def list_problems(self) -> list[str]:
        """Returns the reasons why the demo failed; empty if it passed."""
        problems = self.verdict.list_problems()
        if self.strays:
            problems.append(f"strays={len(self.strays)} {self.strays[0]}")
        if not self.calls_after_move:
            problems.append("no call was made after the hand-over")
        if self.verdict.whole < 0.98 * self.verdict.sent:
            problems.append("more than 2% of the calls were not answered")
        if self.convergence_s > _CONVERGENCE_LIMIT_S:
            problems.append(f"in force only after {self.convergence_s:.1f} s")
        return [f"{self.name}: {problem}" for problem in problems]


def report(text: str) -> None:
    """Prints a line of progress and flushes it."""
    print(text, flush=True)


def find_strays(
    records: list[load.CallRecord],
    totals: dict[str, oracle.RunTotal],
    move: topologies.RecordMove,
    since_s: float,
) -> tuple[int, tuple[str, ...]]:
    """Finds calls for handed-over records that ran at the old service.

    Args:
        records: result of each call as the caller saw it.
        totals: runs at the targets by request id.
        move: the hand-over.
        since_s: seconds from the start of the load; earlier calls are not
            considered.

    Returns:
        The number of calls for these records, and the ids of those that ran at
        the old service.
    """
    prefix = f"/{move.service}{move.path}/"
    after_move = [
        record.planned.request_id
        for record in records
        if record.planned.operation.path.startswith(prefix)
        and record.planned.at_s >= since_s
    ]
    no_runs = oracle.RunTotal()
    strays = [
        request_id
        for request_id in after_move
        if move.service in totals.get(request_id, no_runs).services
    ]
    return len(after_move), tuple(strays)


async def run_topology(
    deployment: deployments.Deployment, print_progress: Any = report
) -> DemoResult:
    """Publishes the hand-over under load in one deployment.

    Args:
        deployment: the deployment, not started yet.
        print_progress: takes each line of progress.
    """
    topology = deployment.topology
    tree = trees.write_example(topology, deployment.folder / "tree")
    ready_s = await runs.start_all(deployment, tree)
    versions = await deployment.read_versions()
    print_progress(
        f"{topology.name}: {len(versions)} nodes ready in {ready_s:.1f} s"
    )
    idle_before = await control.sample(deployment)
    await deployment.pages.sleep(3.0)
    before = await control.sample(deployment)
    idle = control.ControlRate.between(idle_before, before)
    steps = [schedule.RateStep(0.0, _CALLS_PER_S)]
    calls = traffic.start_traffic(deployment, tree, steps, math.inf, seed=1)
    await deployment.pages.sleep(_LOAD_BEFORE_S)
    trees.hand_over(topology, tree)
    await publishing.publish_accepted(deployment, tree)
    version = max(versions.values()) + 1
    version_times = await heads.measure_convergence(deployment, version)
    convergence_s = version_times.convergence_s
    # The reactor's clock shows wall-clock time, as do the times in force.
    since_s = max(version_times.in_force_at) - calls.started_at_s
    print_progress(
        f"{topology.name}: hand-over in force everywhere in"
        f" {convergence_s:.2f} s"
    )
    await deployment.pages.sleep(_LOAD_AFTER_S)
    rate = control.ControlRate.between(before, await control.sample(deployment))
    records = await calls.finish(_FINISH_LIMIT_S)
    totals = traffic.read_totals(deployment)
    after_move, strays = find_strays(records, totals, topology.move, since_s)
    return DemoResult(
        topology.name,
        oracle.compare_outcomes(records, totals, calls.running.in_flight),
        convergence_s,
        rate,
        idle.link_bytes_s,
        after_move,
        strays,
    )


async def run_all(reactor: Any, names: list[str]) -> list[DemoResult]:
    """Runs the deployments one after the other."""
    results = []
    for topology in topologies.EXAMPLES:
        if names and topology.name not in names:
            continue
        report(f"{topology.name}: starting")
        deployment = deployments.Deployment(reactor, topology)
        report(f"{topology.name}: logs in {deployment.folder}")
        try:
            results.append(await run_topology(deployment))
        finally:
            await deployment.stop()
    return results


async def run_demo(reactor: Any, names: list[str]) -> None:
    """Runs the demo; raises SystemExit with status 1 if it failed."""
    try:
        results = await run_all(reactor, names)
    except core_exceptions.FilbertliftError as error:
        report(f"demo failed: {error}")
        raise SystemExit(1) from error
    for result in results:
        for row in result.format_rows():
            report(row)
    problems = [p for result in results for p in result.list_problems()]
    if problems or not results:
        report(f"demo failed: {'; '.join(problems) or 'no deployment was run'}")
        raise SystemExit(1)
    report("demo ok")


def main(
    names: list[str] = typer.Argument(None, help="Deployments; all if none."),
) -> None:
    """Runs both example deployments on loopback."""
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_demo(reactor, names or [])
        )
    )


if __name__ == "__main__":
    typer.run(main)
