"""Demo: both users' deployments, a hand-over of records under load."""

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

_RATE = 60.0
_BEFORE_S = 5.0
_AFTER_S = 6.0
_FORCE_LIMIT_S = 13.0
_DRAIN_S = 25.0


@attrs.frozen
class DemoResult:
    """What one deployment of the demo showed.

    Attributes:
        name: name of the deployment.
        verdict: comparison of what was told with what ran.
        force_s: seconds from accepted to in force at every node.
        rate: cost of the control plane during the run.
        control_link_bytes_s: control bytes across the link each second
            before any call was made.
        late_calls: calls for the handed-over records that were sent after
            the hand-over was in force everywhere.
        strays: those of them that still reached the old service.
    """

    name: str
    verdict: oracle.Verdict
    force_s: float
    rate: control.ControlRate
    control_link_bytes_s: float
    late_calls: int
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
            ("seconds until in force at every node", f"{self.force_s:.2f}"),
            ("record calls after the hand-over", self.late_calls),
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
        """Returns why the demo failed; empty when it did not."""
        problems = self.verdict.list_problems()
        if self.strays:
            problems.append(f"strays={len(self.strays)} {self.strays[0]}")
        if not self.late_calls:
            problems.append("no call was made after the hand-over")
        if self.verdict.whole < 0.98 * self.verdict.sent:
            problems.append("more than 2% of the calls were not answered")
        if self.force_s > _FORCE_LIMIT_S:
            problems.append(f"in force only after {self.force_s:.1f} s")
        return [f"{self.name}: {problem}" for problem in problems]


def report(text: str) -> None:
    """Prints a progress line at once."""
    print(text, flush=True)


def find_strays(
    records: list[load.CallRecord],
    totals: dict[str, oracle.RunTotal],
    move: topologies.RecordMove,
    since_s: float,
) -> tuple[int, tuple[str, ...]]:
    """Returns the calls for moved records sent from a time on.

    Args:
        records: what the caller learned of each call.
        totals: what the targets ran.
        move: the hand-over.
        since_s: seconds since the start of the load.

    Returns:
        How many there were, and the ids of those that ran at the old service.
    """
    prefix = f"/{move.service}{move.path}/"
    late = [
        record.planned.request_id
        for record in records
        if record.planned.operation.path.startswith(prefix)
        and record.planned.at_s >= since_s
    ]
    nothing = oracle.RunTotal()
    strays = [
        request_id
        for request_id in late
        if move.service in totals.get(request_id, nothing).services
    ]
    return len(late), tuple(strays)


async def run_topology(
    deployment: deployments.Deployment, say: Any = report
) -> DemoResult:
    """Runs the hand-over under load in one deployment."""
    topology = deployment.topology
    tree = trees.write_example(topology, deployment.folder / "tree")
    ready_s = await runs.start_all(deployment, tree)
    versions = await deployment.read_versions()
    say(f"{topology.name}: {len(versions)} nodes ready in {ready_s:.1f} s")
    idle_before = await control.sample(deployment)
    await deployment.pages.sleep(3.0)
    before = await control.sample(deployment)
    idle = control.ControlRate.between(idle_before, before)
    steps = [schedule.RateStep(0.0, _RATE)]
    calls = traffic.start_traffic(deployment, tree, steps, math.inf, seed=1)
    await deployment.pages.sleep(_BEFORE_S)
    trees.hand_over(topology, tree)
    await publishing.publish_accepted(deployment, tree)
    version = max(versions.values()) + 1
    spread = await heads.measure_spread(deployment, version)
    force_s = spread.last_s
    # The reactor's clock is the wall clock, as are the times of the spread.
    since_s = max(spread.in_force_at) - calls.started_at_s
    say(f"{topology.name}: hand-over in force everywhere in {force_s:.2f} s")
    await deployment.pages.sleep(_AFTER_S)
    rate = control.ControlRate.between(before, await control.sample(deployment))
    records = await calls.finish(_DRAIN_S)
    totals = traffic.read_totals(deployment)
    late, strays = find_strays(records, totals, topology.move, since_s)
    return DemoResult(
        topology.name,
        oracle.judge(records, totals, calls.running.in_flight),
        force_s,
        rate,
        idle.link_bytes_s,
        late,
        strays,
    )


async def run_all(reactor: Any, names: list[str]) -> list[DemoResult]:
    """Runs the deployments one after the other."""
    results = []
    for topology in topologies.BOTH:
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
    """Runs the demo and ends with its exit status."""
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
        report(f"demo failed: {'; '.join(problems) or 'nothing was run'}")
        raise SystemExit(1)
    report("demo ok")


def main(
    names: list[str] = typer.Argument(None, help="Deployments; all if none."),
) -> None:
    """Runs both users' example deployments on loopback."""
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_demo(reactor, names or [])
        )
    )


if __name__ == "__main__":
    typer.run(main)
