"""Traffic, store calls, CPU and memory that the control plane uses."""

import attrs

from filbertlift_harness import deployment as deployments
from filbertlift_harness import pages
from filbertlift_standins import client


@attrs.frozen
class ControlSample:
    """Counters of all nodes, the link and the store, read at one time.

    Attributes:
        at_s: time of the reading on the reactor's clock.
        node_bytes: control bytes sent by all nodes together.
        link_bytes: bytes carried by the link in both directions.
        store_calls: number of calls that the store answered.
        cpu_s: CPU seconds of all node processes together.
        rss_bytes: resident memory of the largest node process.
        nodes: number of nodes that answered.
    """

    at_s: float
    node_bytes: float
    link_bytes: float
    store_calls: float
    cpu_s: float
    rss_bytes: float
    nodes: int


@attrs.frozen
class ControlRate:
    """Average cost of the control plane between two samples.

    Attributes:
        node_bytes_s: control bytes that one node sends per second.
        link_bytes_s: bytes that the link carries per second.
        store_calls_s: calls to the store per second.
        cpu_share: share of one core that one node uses.
        rss_mb: resident memory of the largest node process in megabytes.
    """

    node_bytes_s: float
    link_bytes_s: float
    store_calls_s: float
    cpu_share: float
    rss_mb: float

    @classmethod
    def between(
        cls, before: ControlSample, after: ControlSample
    ) -> "ControlRate":
        """Returns the cost between two samples of the same nodes."""
        seconds = max(1e-9, after.at_s - before.at_s)
        nodes = max(1, after.nodes)
        return cls(
            (after.node_bytes - before.node_bytes) / seconds / nodes,
            (after.link_bytes - before.link_bytes) / seconds,
            (after.store_calls - before.store_calls) / seconds,
            (after.cpu_s - before.cpu_s) / seconds / nodes,
            after.rss_bytes / 1e6,
        )


async def sample(deployment: deployments.Deployment) -> ControlSample:
    """Reads the counters of every node, the link and the store."""
    sent = await pages.gather(
        [_read_node_bytes(deployment, spec) for spec in deployment.nodes]
    )
    link = await deployment.pages.get(deployment.link_control, "/-/counters")
    store = await deployment.pages.get(deployment.store_control, "/-/counters")
    usages = [
        deployment.processes[spec.node_name].read_usage()
        for spec in deployment.nodes
        if deployment.processes[spec.node_name].running
    ]
    return ControlSample(
        at_s=deployment.reactor.seconds(),
        node_bytes=sum(count for count in sent if count >= 0),
        link_bytes=link["bytes_out"] + link["bytes_in"],
        store_calls=count_calls(store["calls"]),
        cpu_s=sum(usage.cpu_s for usage in usages),
        rss_bytes=max(usage.rss_bytes for usage in usages),
        nodes=sum(count >= 0 for count in sent),
    )


def count_calls(calls: dict[str, int]) -> int:
    """Returns the total of the store's call counters by operation."""
    names = ("get", "put", "delete", "watch", "lease_grant", "lease_keep")
    return sum(calls.get(name, 0) for name in names)


async def _read_node_bytes(
    deployment: deployments.Deployment, spec: deployments.NodeSpec
) -> float:
    try:
        page = await deployment.pages.get(spec.status, "/dump")
    except client.RequestError:
        return -1.0
    return float(page["control"]["bytes_sent"])
