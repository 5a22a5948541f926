"""Starts a deployment, and stops it at the end of a measurement."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

from filbertlift_harness import deployment as deployments
from filbertlift_harness import publishing
from filbertlift_harness import topology as topologies
from filbertlift_harness import trees


async def start_all(
    deployment: deployments.Deployment, tree: trees.Tree
) -> float:
    """Starts every process and publishes the first version.

    Returns:
        Seconds from the start of the nodes until all were ready.
    """
    deployment.start_platform()
    deployment.start_targets()
    await deployment.wait_platform()
    await publishing.publish_accepted(deployment, tree)
    deployment.start_nodes()
    return await deployment.wait_ready()


@contextlib.asynccontextmanager
async def run_deployment(
    reactor: Any,
    topology: topologies.Topology,
    options: deployments.Options = deployments.Options(),
) -> AsyncIterator[tuple[deployments.Deployment, trees.Tree]]:
    """Starts a deployment with a generated tree and stops it at the end."""
    deployment = deployments.Deployment(reactor, topology, options)
    tree = trees.write_generated(topology, deployment.folder / "tree")
    try:
        await start_all(deployment, tree)
        yield deployment, tree
    finally:
        await deployment.stop()
