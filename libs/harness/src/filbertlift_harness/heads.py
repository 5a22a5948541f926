"""Times at which a version was accepted and came in force at each node.

Both are wall-clock times of processes on one machine: when the store wrote
the head and when the node logged that the version is in force. Polling the
nodes instead would load them and make the times less accurate.
"""

from collections.abc import Iterable
import datetime
import itertools

import attrs

from filbertlift_harness import deployment as deployments
from filbertlift_harness import exceptions

_IN_FORCE_EVENT = "version.in_force"


@attrs.frozen
class ConvergenceTimes:
    """Times of one version, in seconds since the epoch.

    Attributes:
        accepted_at: when the store accepted it.
        in_force_at: when it came in force at each node.
    """

    accepted_at: float
    in_force_at: tuple[float, ...]

    @property
    def convergence_s(self) -> float:
        """Seconds from acceptance until in force at the last node."""
        return max(self.in_force_at) - self.accepted_at


@attrs.frozen
class InForceEvent:
    """A log line of a node that says a version came in force.

    Attributes:
        at: seconds since the epoch.
        version: the version.
    """

    at: float
    version: int


def parse_log(lines: Iterable[str]) -> list[InForceEvent]:
    """Returns the in-force events of a log in the order of its lines."""
    found = []
    for line in lines:
        pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
        if pairs.get("event") == _IN_FORCE_EVENT:
            moment = datetime.datetime.fromisoformat(pairs["time"])
            version = int(pairs["version"])
            found.append(InForceEvent(moment.timestamp(), version))
    return found


def find_in_force(lines: Iterable[str], version: int) -> float | None:
    """Returns when a version, or a newer one, first came in force.

    Args:
        lines: lines of a node's log.
        version: the version.

    Returns:
        Seconds since the epoch; None if the log has no such event.
    """
    for entry in parse_log(lines):
        if entry.version >= version:
            return entry.at
    return None


def find_regressions(lines: Iterable[str]) -> list[str]:
    """Returns each change of a log from a version to an older one.

    A restarted node appends to the same log, so a restart with an older
    version is found too.
    """
    versions = [entry.version for entry in parse_log(lines)]
    return [
        f"version {after} after {before}"
        for before, after in itertools.pairwise(versions)
        if after < before
    ]


async def read_accepted(deployment: deployments.Deployment) -> float:
    """Returns when the store wrote the current head.

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


async def measure_convergence(
    deployment: deployments.Deployment, version: int, limit_s: float = 60.0
) -> ConvergenceTimes:
    """Waits until a version is in force at every node; returns the times.

    Raises:
        HarnessError: if it is not in force at every node within `limit_s`, or
            a node did not log it.
    """

    async def in_force() -> bool:
        versions = await deployment.read_versions()
        return min(versions.values()) >= version

    await deployment.pages.wait_until(
        f"version {version} in force at every node",
        in_force,
        limit_s,
        pause_s=0.2,
    )
    accepted = await read_accepted(deployment)
    times = []
    for spec in deployment.nodes:
        path = deployment.folder / f"{spec.node_name}.log"
        with open(path, encoding="utf-8", errors="replace") as log:
            moment = find_in_force(log, version)
        if moment is None:
            message = f"{spec.name} did not log version {version} as in force"
            raise exceptions.HarnessError(message)
        times.append(moment)
    return ConvergenceTimes(accepted, tuple(times))
