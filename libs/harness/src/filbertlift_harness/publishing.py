"""Publications by the operator's binary."""

from collections.abc import Sequence
import itertools

import attrs

from filbertlift_harness import deployment as deployments
from filbertlift_harness import exceptions
from filbertlift_harness import processes
from filbertlift_harness import trees

_PUBLISH_S = 30.0
_numbers = itertools.count(1)


@attrs.frozen
class Publication:
    """How a publication ended.

    Attributes:
        exit_status: status of the operator's binary.
        ended_at_s: time on the reactor's clock at which it ended.
        output: what it printed.
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
        deployment: whose store to publish to.
        tree: the files.
        replace: sections to publish over changes by others.

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
    status = await process.wait_end(_PUBLISH_S)
    del deployment.processes[name]
    output = deployment.read_log(name, 10)
    return Publication(status, deployment.reactor.seconds(), output)


async def publish_accepted(
    deployment: deployments.Deployment,
    tree: trees.Tree,
    replace: Sequence[str] = (),
) -> Publication:
    """Runs `filbertlift publish` and requires that it is accepted.

    Raises:
        HarnessError: if it was not accepted.
    """
    publication = await publish(deployment, tree, replace)
    if publication.exit_status != 0:
        message = (
            f"publish ended with status {publication.exit_status}:"
            f" {publication.output}"
        )
        raise exceptions.HarnessError(message)
    return publication
