"""Measurements under overload: a crest of load, long calls, a slow target.

The work of a call takes long enough that the slots, not the CPU of this
machine, are the limit. Each measurement alternates between the policies
`filbertlift` and `fifo`.
"""

from typing import Any

from filbertlift_harness import deployment as deployments
from filbertlift_harness import figures
from filbertlift_harness import runs
from filbertlift_harness import topology as topologies
from filbertlift_harness import traffic
from filbertlift_standins import load
from filbertlift_standins import schedule

_POLICIES = ("filbertlift", "fifo")
_ROUNDS = 2
_FINISH_LIMIT_S = 30.0
_CHECK = schedule.Operation.parse(
    "check=GET /desk/checks;share=0.1;work_ms=20;deadline_ms=1000"
)
_COUNTER = schedule.Operation.parse(
    "counter=GET /desk/slots;share=0.75;work_ms=100;deadline_ms=2000"
)
_LONG = schedule.Operation.parse(
    "long=GET /desk/batches;share=0.15;work_ms=1000;deadline_ms=20000"
)
# A call of the mix takes 0.227 s on average, so four targets with six slots
# each can finish about 106 calls per second.
_BASE_CALLS_PER_S = 25.0
_PEAK_CALLS_PER_S = 250.0
_RAMP_START_S = 4.0
_RAMP_S = 2.0
_HOLD_S = 6.0
_TAIL_S = 4.0


def make_crest() -> list[schedule.RateStep]:
    """Returns rates that rise tenfold within 2 s, hold and fall again."""
    parts = 10
    rise = (_PEAK_CALLS_PER_S - _BASE_CALLS_PER_S) / parts
    up = [
        schedule.RateStep(
            _RAMP_START_S + _RAMP_S * part / parts,
            _BASE_CALLS_PER_S + rise * (part + 1),
        )
        for part in range(parts)
    ]
    fall_at_s = _RAMP_START_S + _RAMP_S + _HOLD_S
    down = [
        schedule.RateStep(
            fall_at_s + _RAMP_S * part / parts,
            _PEAK_CALLS_PER_S - rise * (part + 1),
        )
        for part in range(parts)
    ]
    return [schedule.RateStep(0.0, _BASE_CALLS_PER_S), *up, *down]


async def measure_crest(reactor: Any) -> list[str]:
    """Returns goodput during the crest, and latencies by class."""
    operations = (_CHECK, _COUNTER, _LONG)
    duration_s = _RAMP_START_S + 2 * _RAMP_S + _HOLD_S + _TAIL_S
    peak = (_RAMP_START_S, _RAMP_START_S + _RAMP_S + _HOLD_S)
    lines = []
    for number, policy in enumerate(_POLICIES * _ROUNDS):
        records = await _run_load(
            reactor, policy, operations, make_crest(), duration_s, number // 2
        )
        during = figures.select_planned(records, *peak)
        done = [r for r in during if figures.is_in_time(r)]
        lines.append(
            figures.format_figures(
                "crest",
                policy=policy,
                round=number // 2,
                offered_s=len(during) / (peak[1] - peak[0]),
                goodput_s=len(done) / (peak[1] - peak[0]),
                shed=sum(r.outcome == "not-run" for r in during),
                unknown=sum(r.outcome == "unknown" for r in during),
            )
        )
        lines += figures.summarise_classes(
            "crest", during, policy=policy, round=number // 2
        )
    return lines


async def measure_blocking(reactor: Any) -> list[str]:
    """Returns latencies of short calls beside different shares of long ones."""
    short = schedule.Operation.parse(
        "counter=GET /desk/slots;work_ms=20;deadline_ms=5000"
    )
    long = schedule.Operation.parse(
        "long=GET /desk/batches;work_ms=2000;deadline_ms=60000"
    )
    slots, short_rate = 24, 30.0
    lines = []
    for number, policy in enumerate(_POLICIES * _ROUNDS):
        for share in (0.0, 0.5, 1.0):
            long_rate = share * slots / 2.0
            mixed = _weight_by_rate(short, short_rate) + _weight_by_rate(
                long, long_rate
            )
            steps = [schedule.RateStep(0.0, short_rate + long_rate)]
            records = await _run_load(
                reactor, policy, mixed, steps, 14.0, number // 2
            )
            lines += figures.summarise_classes(
                "blocking",
                figures.select_planned(records, 4.0, 14.0),
                policy=policy,
                round=number // 2,
                long_share=share,
            )
    return lines


async def measure_slow(reactor: Any) -> list[str]:
    """Returns latencies before and while one of four targets is slow."""
    counter = schedule.Operation.parse(
        "counter=GET /desk/slots;work_ms=30;deadline_ms=5000"
    )
    lines = []
    for number, policy in enumerate(_POLICIES * _ROUNDS):
        records = await _run_load(
            reactor,
            policy,
            (counter,),
            [schedule.RateStep(0.0, 100.0)],
            20.0,
            number // 2,
            slow_at_s=8.0,
        )
        for part, from_s, to_s in (
            ("before", 2.0, 8.0),
            ("first_2_s", 8.0, 10.0),
            ("later", 10.0, 20.0),
        ):
            lines += figures.summarise_classes(
                "slow",
                figures.select_planned(records, from_s, to_s),
                policy=policy,
                round=number // 2,
                part=part,
            )
    return lines


def _weight_by_rate(
    operation: schedule.Operation, rate: float
) -> tuple[schedule.Operation, ...]:
    if rate == 0:
        return ()
    return (topologies.with_share(operation, rate),)


async def _run_load(
    reactor: Any,
    policy: str,
    operations: tuple[schedule.Operation, ...],
    steps: list[schedule.RateStep],
    duration_s: float,
    seed: int,
    slow_at_s: float | None = None,
) -> list[load.CallRecord]:
    topology = topologies.make_desk(operations)
    options = deployments.Options(policy=policy)
    async with runs.run_deployment(reactor, topology, options) as run:
        deployment, tree = run
        await deployment.pages.sleep(2.0)
        calls = traffic.start_traffic(deployment, tree, steps, duration_s, seed)
        if slow_at_s is not None:
            await deployment.pages.sleep(slow_at_s)
            await deployment.pages.post(
                deployment.nodes[0].target, "/-/faults", {"slowdown": 10.0}
            )
        await deployment.pages.sleep(
            calls.started_at_s + duration_s + 1 - reactor.seconds()
        )
        return await calls.finish(_FINISH_LIMIT_S)
