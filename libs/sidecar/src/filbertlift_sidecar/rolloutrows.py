"""Rows of the datagrams about roll-outs: states of orders, and evidence.

Times of a state are sent relative to the time of sending, since hosts share no
clock.
"""

from typing import Annotated
from typing import Any
from typing import Final

import msgspec

from filbertlift_core import decoding
from filbertlift_mesh import evidence
from filbertlift_mesh import rollouts

# Sums of logarithms are sent in thousandths.
_THOUSANDTHS: Final = 1_000
_MS_PER_S: Final = 1_000
MAX_REASON_LENGTH: Final = 100

_Sum = Annotated[
    int, msgspec.Meta(ge=-decoding.MAX_COUNT, le=decoding.MAX_COUNT)
]
_Stage = Annotated[int, msgspec.Meta(ge=0, le=int(max(rollouts.Stage)))]
_Age = Annotated[int, msgspec.Meta(ge=0, le=decoding.MAX_TIME_MS)]
_Names = Annotated[
    list[decoding.Name], msgspec.Meta(max_length=rollouts.MAX_BARRED)
]
_RolloutRow = tuple[
    decoding.Name,
    decoding.Name,
    _Age,
    decoding.Count,
    _Stage,
    _Age,
    _Age,
    decoding.Name,
    bool,
    bool,
    _Names,
]
_TallyRow = tuple[
    decoding.Name, decoding.Count, decoding.Count, decoding.Count, _Sum, _Sum
]
_ReportRow = tuple[
    decoding.Name,
    decoding.Count,
    decoding.Name,
    decoding.Stamp,
    decoding.Name,
    decoding.Count,
    Annotated[
        list[_TallyRow], msgspec.Meta(max_length=evidence.MAX_CLASSES + 1)
    ],
]
ROLLOUT_DECODER: Final = msgspec.msgpack.Decoder(_RolloutRow)
REPORT_DECODER: Final = msgspec.msgpack.Decoder(_ReportRow)


def encode_rollout(rollout: rollouts.Rollout) -> tuple[Any, ...]:
    """Returns the row of a state whose times are relative to now."""
    order = rollout.order
    return (
        order.service,
        order.release,
        int(order.duration_s * _MS_PER_S),
        order.revision,
        int(rollout.stage),
        _encode_age(rollout.started_at),
        _encode_age(rollout.stage_at),
        rollout.reason[:MAX_REASON_LENGTH],
        rollout.is_announced,
        rollout.is_written,
        list(rollout.barred),
    )


def decode_rollout(row: _RolloutRow) -> rollouts.Rollout:
    """Returns a state whose times are relative to when it was received."""
    return rollouts.Rollout(
        rollouts.Order(row[0], row[1], row[2] / _MS_PER_S, row[3]),
        rollouts.Stage(row[4]),
        -row[5] / _MS_PER_S,
        -row[6] / _MS_PER_S,
        row[7],
        row[8],
        row[9],
        tuple(row[10]),
    )


def encode_report(report: evidence.Report) -> tuple[Any, ...]:
    """Returns the row of a report."""
    return (
        report.service,
        report.revision,
        report.target_id,
        report.born_ms,
        report.release,
        report.running,
        [
            (
                name,
                tally.runs,
                tally.failures,
                tally.timed,
                round(tally.log_sum * _THOUSANDTHS),
                round(tally.square_sum * _THOUSANDTHS),
            )
            for name, tally in report.tallies.items()
        ],
    )


def decode_report(row: _ReportRow) -> evidence.Report:
    """Returns a report."""
    return evidence.Report(
        *row[:6],
        {
            name: evidence.Tally(
                runs,
                failures,
                timed,
                log_sum / _THOUSANDTHS,
                square_sum / _THOUSANDTHS,
            )
            for name, runs, failures, timed, log_sum, square_sum in row[6]
        },
    )


def _encode_age(at: float) -> int:
    return min(decoding.MAX_TIME_MS, max(0, int(-at * _MS_PER_S)))
