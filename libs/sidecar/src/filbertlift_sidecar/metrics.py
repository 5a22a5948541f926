"""Metrics of a node, in their own registry."""

from typing import Final

import attrs
import prometheus_client as prometheus

from filbertlift_transport import memory
from filbertlift_transport import server

# Upper bounds of the latency buckets, in seconds.
BUCKETS: Final = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)


@attrs.define(eq=False)
class NodeMetrics:
    """Metrics of one node.

    Unlike those of `filbertlift_node.metrics`, they count refusals by reason
    and the heartbeats of the target.

    Attributes:
        registry: registry of these metrics.
        calls: ended calls by outcome.
        latency: time from a call's arrival to its end, in seconds.
        refused: refused calls by reason.
        store_calls: calls to the store by operation and result.
        store_era: era of the store, as its last answer named it.
        version: version of the configuration in force.
        hosts: number of live hosts, including this one.
        beats: heartbeats and departure notices of the target by result.
        rejected: distinct rejected values of others by event.
        body_memory: memory for the bodies of requests, by their sender, and
            the part of it that is used, in bytes.
        body_waits: bodies that had to wait for memory, by their sender.
        body_refusals: bodies refused for lack of memory, by their sender.
        rollout_stage: stage of the latest order of a service.
        rollout_calls: first attempts of calls while a service has an order in
            progress, by the releases that they were given to.
        body_evictions: incomplete bodies that made room for others.
        head_memory: memory for the other objects of requests, by their sender,
            and the part of it that is used, in bytes.
        head_ends: requests that were evicted or refused for lack of that
            memory, by their sender.
        answer_memory: memory for answers that callers do not read, and the part
            of it that is used, in bytes.
        answer_ends: connections that were aborted for lack of that memory.
        caller_connections: connections of callers, and their limit.
        caller_connection_ends: connections that gave way to others or were
            refused over the limit.
    """

    registry: prometheus.CollectorRegistry
    calls: prometheus.Counter
    latency: prometheus.Histogram
    refused: prometheus.Counter
    store_calls: prometheus.Counter
    store_era: prometheus.Gauge
    version: prometheus.Gauge
    hosts: prometheus.Gauge
    beats: prometheus.Counter
    rejected: prometheus.Counter
    body_memory: prometheus.Gauge
    body_waits: prometheus.Gauge
    body_refusals: prometheus.Gauge
    rollout_stage: prometheus.Gauge
    rollout_calls: prometheus.Gauge
    body_evictions: prometheus.Gauge
    head_memory: prometheus.Gauge
    head_ends: prometheus.Gauge
    answer_memory: prometheus.Gauge
    answer_ends: prometheus.Gauge
    caller_connections: prometheus.Gauge
    caller_connection_ends: prometheus.Gauge

    @classmethod
    def create(cls) -> "NodeMetrics":
        """Returns new metrics in a new registry."""
        registry = prometheus.CollectorRegistry()
        return cls(
            registry,
            prometheus.Counter(
                "filbertlift_calls",
                "Calls ended, by outcome",
                ["outcome"],
                registry=registry,
            ),
            prometheus.Histogram(
                "filbertlift_call_seconds",
                "Time from arrival to end of a call",
                buckets=BUCKETS,
                registry=registry,
            ),
            prometheus.Counter(
                "filbertlift_refused",
                "Calls refused, by reason",
                ["reason"],
                registry=registry,
            ),
            prometheus.Counter(
                "filbertlift_store_calls",
                "Calls to the store",
                ["operation", "result"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_store_era",
                "Era of the store, which rises when it comes back from a copy",
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_version",
                "Version of the configuration in force",
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_hosts", "Live hosts known", registry=registry
            ),
            prometheus.Counter(
                "filbertlift_beats",
                "Heartbeats of the target, by what they brought",
                ["result"],
                registry=registry,
            ),
            prometheus.Counter(
                "filbertlift_rejected",
                "Distinct values of others that were rejected, by event",
                ["event"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_body_memory_bytes",
                "Memory for bodies of requests, by their sender: limit and use",
                ["sender", "kind"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_body_waits",
                "Bodies of requests that had to wait for memory",
                ["sender"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_body_refusals",
                "Bodies of requests that were refused for lack of memory",
                ["sender"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_rollout_stage",
                "Stage of the latest order of a service",
                ["service"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_rollout_calls",
                "First attempts of calls during an order, by release",
                ["service", "release"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_body_evictions",
                "Incomplete bodies of requests that made room for others",
                ["sender"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_head_memory_bytes",
                "Memory for heads of requests, by their sender: limit and use",
                ["sender", "kind"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_head_ends",
                "Requests evicted or refused for lack of memory for heads",
                ["sender", "kind"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_answer_memory_bytes",
                "Memory for answers that callers do not read: limit and use",
                ["kind"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_answer_ends",
                "Connections aborted since their callers did not read answers",
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_caller_connections",
                "Connections of callers: limit, use, and those that linger",
                ["kind"],
                registry=registry,
            ),
            prometheus.Gauge(
                "filbertlift_caller_connection_ends",
                "Connections of callers that gave way or were refused",
                ["kind"],
                registry=registry,
            ),
        )

    def watch_memory(self, owner: memory.ProcessMemory) -> None:
        """Shows the budgets of the process."""
        self._watch_bodies("callers", owner.caller_bodies)
        self._watch_bodies("peers", owner.peer_bodies)
        self._watch_heads("callers", owner.caller_heads)
        self._watch_heads("peers", owner.peer_heads)
        answers = owner.answers
        self.answer_memory.labels("limit").set(answers.limit_bytes)
        self.answer_memory.labels("used").set_function(
            lambda: answers.used_bytes
        )
        self.answer_ends.set_function(lambda: answers.evicted + answers.refused)

    def _watch_bodies(self, sender: str, budget: memory.MemoryBudget) -> None:
        self.body_memory.labels(sender, "limit").set(budget.limit_bytes)
        self.body_memory.labels(sender, "used").set_function(
            lambda: budget.used_bytes
        )
        self.body_waits.labels(sender).set_function(lambda: budget.waited)
        self.body_refusals.labels(sender).set_function(lambda: budget.refused)
        self.body_evictions.labels(sender).set_function(lambda: budget.evicted)

    def _watch_heads(self, sender: str, budget: memory.ChargeBudget) -> None:
        self.head_memory.labels(sender, "limit").set(budget.limit_bytes)
        self.head_memory.labels(sender, "used").set_function(
            lambda: budget.used_bytes
        )
        ends = self.head_ends
        ends.labels(sender, "evicted").set_function(lambda: budget.evicted)
        ends.labels(sender, "refused").set_function(lambda: budget.refused)

    def watch_connections(self, callers: server.HttpServer) -> None:
        """Shows the connections of callers."""
        open_ones, ends = self.caller_connections, self.caller_connection_ends
        open_ones.labels("limit").set_function(
            lambda: callers.limits.connections
        )
        open_ones.labels("used").set_function(lambda: callers.in_use)
        open_ones.labels("lingering").set_function(lambda: callers.lingering)
        ends.labels("displaced").set_function(lambda: callers.displaced)
        ends.labels("refused").set_function(lambda: callers.refused)

    def note_call(self, reason: str, status: int, elapsed_s: float) -> None:
        """Counts the end of a call."""
        outcome = f"{status // 100}xx" if status else reason
        self.calls.labels(outcome).inc()
        self.latency.observe(elapsed_s)

    def render(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus.generate_latest(self.registry)
