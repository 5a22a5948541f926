"""When a version was accepted and when it came in force at each node.

Both are wall-clock times of processes on one machine: of the store's write
and of the node's log line. Polling the nodes for them would load the nodes
and blur the times.
"""

from collections.abc import Iterable
import datetime
import itertools

import attrs

from filbertlift_harness import deployment as deployments
from filbertlift_harness import exceptions

_EVENT = "version.in_force"


@attrs.frozen
class Spread:
    """Times of one version, in seconds since the epoch.

    Attributes:
        accepted_at: when the store took it.
        in_force_at: when each node put it in force.
    """

    accepted_at: float
    in_force_at: tuple[float, ...]

    @property
    def last_s(self) -> float:
        """Seconds from accepted to in force at the last node."""
        return max(self.in_force_at) - self.accepted_at


@attrs.frozen
class InForce:
    """One line of a node's log: a version came in force.

    Attributes:
        at: seconds since the epoch.
        version: the version.
    """

    at: float
    version: int


def parse_log(lines: Iterable[str]) -> list[InForce]:
    """Returns the versions that a log says came in force, in order."""
    found = []
    for line in lines:
        pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
        if pairs.get("event") == _EVENT:
            moment = datetime.datetime.fromisoformat(pairs["time"])
            version = int(pairs["version"])
            found.append(InForce(moment.timestamp(), version))
    return found


def find_in_force(lines: Iterable[str], version: int) -> float | None:
    """Returns when a log first says that a version, or a newer, is in force.

    Args:
        lines: log of a node.
        version: the version.

    Returns:
        Seconds since the epoch; None when the log does not say so.
    """
    for entry in parse_log(lines):
        if entry.version >= version:
            return entry.at
    return None


def find_returns(lines: Iterable[str]) -> list[str]:
    """Returns each step of a log from a version to an older one.

    The log goes on over restarts, so a restart with an older version counts.
    """
    versions = [entry.version for entry in parse_log(lines)]
    return [
        f"version {after} after {before}"
        for before, after in itertools.pairwise(versions)
        if after < before
    ]


async def read_accepted(deployment: deployments.Deployment) -> float:
    """Returns when the store took the current head, as one call.

    Raises:
        HarnessError: if there is no head.
    """
    cluster = deployment.topology.name
    headers = await deployment.pages.get_headers(
        deployment.store, f"/v1/keys/filbertlift/{cluster}/head"
    )
    if "written-at" not in headers:
        raise exceptions.HarnessError(f"the store has no head of {cluster}")
    return float(headers["written-at"])


async def measure_spread(
    deployment: deployments.Deployment, version: int, limit_s: float = 60.0
) -> Spread:
    """Waits until a version is in force at every node; returns the times.

    Raises:
        HarnessError: if a node has not the version within `limit_s`.
    """

    async def in_force() -> bool:
        versions = await deployment.read_versions()
        return min(versions.values()) >= version

    await deployment.pages.wait_until(
        f"version {version} at every node", in_force, limit_s, pause_s=0.2
    )
    accepted = await read_accepted(deployment)
    times = []
    for spec in deployment.nodes:
        path = deployment.folder / f"{spec.node_name}.log"
        with open(path, encoding="utf-8", errors="replace") as log:
            moment = find_in_force(log, version)
        if moment is None:
            message = f"{spec.name} logged no version {version}"
            raise exceptions.HarnessError(message)
        times.append(moment)
    return Spread(accepted, tuple(times))
