"""Calls of a topology's caller through the nodes of a deployment."""

import itertools
import random

import attrs
from twisted.internet import defer

from filbertlift_harness import deployment as deployments
from filbertlift_harness import oracle
from filbertlift_harness import trees
from filbertlift_standins import client
from filbertlift_standins import load
from filbertlift_standins import schedule

_numbers = itertools.count(1)


@attrs.define
class Traffic:
    """Load that runs while something else happens.

    Attributes:
        running: the load, whose records grow as calls end.
        started_at_s: time on the reactor's clock at which it started.
        result: fires when the last call has ended.
    """

    running: load.Load
    started_at_s: float
    result: "defer.Deferred[list[load.CallRecord]]"

    async def finish(self, timeout_s: float) -> list[load.CallRecord]:
        """Sends no further call and waits for those in flight."""
        self.running.stop()
        self.result.addTimeout(timeout_s, self.running.clock)
        try:
            await self.result
        except defer.TimeoutError:
            return self.running.records
        return self.running.records


def make_load(
    deployment: deployments.Deployment,
    tree: trees.Tree,
    repeat: load.RepeatPolicy = load.never_repeat,
) -> load.Load:
    """Returns a load that sends with the token of the tree."""
    sender = client.Client(deployment.reactor, connections=60)
    return load.Load(deployment.reactor, sender, tree.token, repeat)


def start_traffic(
    deployment: deployments.Deployment,
    tree: trees.Tree,
    steps: list[schedule.RateStep],
    duration_s: float,
    seed: int,
    operations: list[schedule.Operation] | None = None,
    attempts: int = 1,
) -> Traffic:
    """Starts calls through every node, each with the same share.

    Args:
        deployment: where to.
        tree: whose token to use.
        steps: rates by time.
        duration_s: seconds of load.
        seed: seed of the schedule.
        operations: calls to make; those of the topology if None.
        attempts: attempts of a keyed call that was not done.
    """
    rng = random.Random(seed)
    repeat = load.make_repeat_policy(
        deployment.entries, attempts, random.Random(seed)
    )
    running = make_load(deployment, tree, repeat)
    planned = schedule.plan_calls(
        rng,
        f"t{next(_numbers)}",
        steps,
        duration_s,
        operations or list(deployment.topology.operations),
        deployment.entries,
    )
    started_at_s = deployment.reactor.seconds()
    return Traffic(running, started_at_s, running.start(planned))


def read_totals(
    deployment: deployments.Deployment,
) -> dict[str, oracle.RunTotal]:
    """Returns what the targets of a deployment ran."""
    return oracle.read_journals(
        {
            deployment.folder / f"{spec.name}.runs": spec.service
            for spec in deployment.nodes
        }
    )
