"""Sends the calls of a topology's caller to the nodes of a deployment."""

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
    """Load that runs in the background.

    Attributes:
        running: the load; gets a record for each call that ends.
        started_at_s: time on the reactor's clock at which it started.
        result: fires when the last call has ended.
    """

    running: load.Load
    started_at_s: float
    result: "defer.Deferred[list[load.CallRecord]]"

    async def finish(self, timeout_s: float) -> list[load.CallRecord]:
        """Sends no further calls and waits for those in flight.

        Args:
            timeout_s: seconds to wait; calls that have not ended by then have
                no record.
        """
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
    """Starts calls; each goes to a node picked at random.

    Args:
        deployment: deployment whose nodes get the calls.
        tree: tree with the token of the caller.
        steps: rates by time.
        duration_s: seconds of load.
        seed: seed of the schedule.
        operations: calls to make; those of the topology if None.
        attempts: maximum number of attempts of a keyed call.
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
    """Returns the runs at the targets of a deployment by request id."""
    return oracle.read_journals(
        {
            deployment.folder / f"{spec.name}.runs": spec.service
            for spec in deployment.nodes
        }
    )
