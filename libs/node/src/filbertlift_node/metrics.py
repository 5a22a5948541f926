"""Metrics of a node in the Prometheus format."""

import attrs
import prometheus_client

from filbertlift_core import model

# Upper bounds of the latency buckets, in seconds. The first one is the target
# for the time that nodes add to a call, 0.53 ms.
_LATENCY_BUCKETS = (
    0.00053, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 30,
)  # fmt: skip


@attrs.frozen
class NodeMetrics:
    """The metrics of a node, with their labels resolved at the start.

    Looking up a label costs more than the increment, so calls only use the
    labelled metrics stored here.

    Unlike those of `filbertlift_sidecar.metrics`, they have the latency by
    class of work and count retries, hedges and settlements.
    """

    registry: prometheus_client.CollectorRegistry
    outcomes: dict[model.Outcome, prometheus_client.Counter]
    latency: dict[model.WorkClass, prometheus_client.Histogram]
    retries: prometheus_client.Counter
    hedges: prometheus_client.Counter
    settles: prometheus_client.Counter
    shed: prometheus_client.Counter
    version: prometheus_client.Gauge
    members: prometheus_client.Gauge
    store_calls: prometheus_client.Counter

    @classmethod
    def create(cls) -> "NodeMetrics":
        """Returns the metrics of a new node in a separate registry."""
        registry = prometheus_client.CollectorRegistry()
        outcomes = prometheus_client.Counter(
            "filbertlift_calls",
            "Calls answered by this node as the entry, by outcome.",
            ["outcome"],
            registry=registry,
        )
        latency = prometheus_client.Histogram(
            "filbertlift_call_seconds",
            "Time from the request to the answer at the entry.",
            ["work_class"],
            buckets=_LATENCY_BUCKETS,
            registry=registry,
        )

        def make_counter(name: str, text: str) -> prometheus_client.Counter:
            return prometheus_client.Counter(name, text, registry=registry)

        def make_gauge(name: str, text: str) -> prometheus_client.Gauge:
            return prometheus_client.Gauge(name, text, registry=registry)

        return cls(
            registry=registry,
            outcomes={
                outcome: outcomes.labels(outcome.value)
                for outcome in model.Outcome
            },
            latency={
                work: latency.labels(work.name.lower())
                for work in model.WorkClass
            },
            retries=make_counter(
                "filbertlift_retries", "Calls sent to another target."
            ),
            hedges=make_counter(
                "filbertlift_hedges", "Second attempts of slow reads."
            ),
            settles=make_counter(
                "filbertlift_settles", "Outcomes asked for after a lost link."
            ),
            shed=make_counter(
                "filbertlift_shed",
                "Calls that this keeper took and dropped before the start.",
            ),
            version=make_gauge(
                "filbertlift_version", "Configuration version in force."
            ),
            members=make_gauge(
                "filbertlift_members", "Members that are not dead."
            ),
            store_calls=make_counter(
                "filbertlift_store_calls", "Calls made to the store."
            ),
        )

    def render(self) -> bytes:
        """Returns the metrics as text."""
        return prometheus_client.generate_latest(self.registry)
