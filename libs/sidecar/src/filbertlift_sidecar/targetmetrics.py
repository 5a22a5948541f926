"""Metrics of what is learned of the target on this host."""

from collections.abc import Callable

import prometheus_client as prometheus

from filbertlift_mesh import speeds


def watch(
    registry: prometheus.CollectorRegistry,
    learned: speeds.LearnedTarget,
    read_time: Callable[[], float],
) -> None:
    """Shows the speed and the limit of a target, and the limit's reason."""
    speed = prometheus.Gauge(
        "filbertlift_target_speed",
        "Speed of the target relative to its usual one",
        registry=registry,
    )
    speed.set_function(lambda: learned.speed.read_speed(read_time()))
    limit = prometheus.Gauge(
        "filbertlift_target_limit",
        "Calls that run at the target at once, at most",
        registry=registry,
    )
    limit.set_function(lambda: learned.limit)
    reason = prometheus.Gauge(
        "filbertlift_target_limit_reason",
        "1 for the reason of the last change of the limit",
        ["reason"],
        registry=registry,
    )
    for name in speeds.REASONS:
        reason.labels(name).set_function(_compare(learned, name))


def _compare(learned: speeds.LearnedTarget, name: str) -> Callable[[], float]:
    return lambda: float(learned.reason == name)
