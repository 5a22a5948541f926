"""Measurement: latency that one hop and two hops add to a call."""

import itertools
from typing import Any

from filbertlift_core import model
from filbertlift_harness import figures
from filbertlift_harness import runs
from filbertlift_harness import topology as topologies
from filbertlift_harness import traffic
from filbertlift_standins import schedule

_ROUNDS = 1500
_INTERVAL_S = 0.02
_WARM_UP_S = 2.0
_OPERATION = schedule.Operation("counter", "GET", "/desk/status", work_ms=0.0)
_DIRECT = schedule.Operation("direct", "GET", "/status", work_ms=0.0)


async def measure(reactor: Any) -> list[str]:
    """Returns one line for each variant: direct, one hop and two hops."""
    topology = topologies.make_desk((_OPERATION,), targets=2, other=2)
    async with runs.run_deployment(reactor, topology) as (deployment, tree):
        desk = next(s for s in deployment.nodes if s.service == "desk")
        other = next(s for s in deployment.nodes if s.service == "other")
        variants = {
            "direct": (desk.target, _DIRECT),
            "one": (desk.listen, _OPERATION),
            "two": (other.listen, _OPERATION),
        }
        await deployment.pages.sleep(_WARM_UP_S)
        running = traffic.make_load(deployment, tree)
        records = await running.start(iter(_plan(variants)))
    # The first 20 rounds, of three calls each, are left out.
    times: dict[str, list[float]] = {name: [] for name in variants}
    failed = dict.fromkeys(variants, 0)
    for record in records[3 * 20 :]:
        name = record.planned.request_id.partition("-")[0]
        if record.outcome == "done":
            times[name].append(record.latency_s * 1000)
        else:
            failed[name] += 1
    return [_format(name, times, failed[name]) for name in times]


def _plan(
    variants: dict[str, tuple[model.Address, schedule.Operation]],
) -> list[schedule.PlannedCall]:
    """Returns calls that alternate between the variants, one at a time."""
    numbers = itertools.count()
    return [
        schedule.PlannedCall(
            next(numbers) * _INTERVAL_S, operation, address, f"{name}-{round_}"
        )
        for round_ in range(_ROUNDS)
        for name, (address, operation) in variants.items()
    ]


def _format(name: str, times: dict[str, list[float]], failed: int) -> str:
    p50 = figures.find_percentile(times[name], 0.5)
    p99 = figures.find_percentile(times[name], 0.99)
    return figures.format_figures(
        "added",
        hops=name,
        calls=len(times[name]),
        failed=failed,
        p50_ms=p50,
        p99_ms=p99,
        added_p50_ms=p50 - figures.find_percentile(times["direct"], 0.5),
        added_p99_ms=p99 - figures.find_percentile(times["direct"], 0.99),
    )
