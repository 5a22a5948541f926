"""Publishes trees with the operator's command, `filbertlift publish`."""

from collections.abc import Sequence
import itertools

import attrs

from filbertlift_harness import deployment as deployments
from filbertlift_harness import exceptions
from filbertlift_harness import processes
from filbertlift_harness import trees

_PUBLISH_LIMIT_S = 30.0
_numbers = itertools.count(1)


@attrs.frozen
class Publication:
    """The result of `filbertlift publish`.

    Attributes:
        exit_status: exit status of the command.
        ended_at_s: time on the reactor's clock at which it ended.
        output: last lines of its output.
    """

    exit_status: int
    ended_at_s: float
    output: str


async def publish(
    deployment: deployments.Deployment,
    tree: trees.Tree,
    replace: Sequence[str] = (),
) -> Publication:
    """Runs `filbertlift publish`; any exit status is returned.

    Args:
        deployment: deployment to whose store the tree is published.
        tree: the tree to publish.
        replace: sections to publish even if others have changed them.

    Raises:
        HarnessError: if it does not end within 30 s.
    """
    name = f"publish-{next(_numbers)}"
    flags = ["publish", str(tree.folder)]
    flags += ["--store", f"http://{deployment.store}"]
    flags += ["--cluster", deployment.topology.name]
    for section in replace:
        flags += ["--replace", section]
    process = processes.Process(
        deployment.reactor, name, "filbertlift_cli", flags
    )
    deployment.processes[name] = process
    process.start(deployment.folder)
    status = await process.wait_end(_PUBLISH_LIMIT_S)
    del deployment.processes[name]
    output = deployment.read_log(name, 10)
    return Publication(status, deployment.reactor.seconds(), output)


async def publish_accepted(
    deployment: deployments.Deployment,
    tree: trees.Tree,
    replace: Sequence[str] = (),
) -> Publication:
    """Runs `filbertlift publish`, which has to succeed.

    Raises:
        HarnessError: if the exit status is not 0.
    """
    publication = await publish(deployment, tree, replace)
    if publication.exit_status != 0:
        message = (
            f"publish exited with status {publication.exit_status}:"
            f" {publication.output}"
        )
        raise exceptions.HarnessError(message)
    return publication
