"""Formats the results of measurements as lines of key=value pairs."""

from typing import Any

from filbertlift_core import logs
from filbertlift_standins import caller
from filbertlift_standins import load


def format_figures(name: str, **pairs: Any) -> str:
    """Returns one line of results of a measurement."""
    texts = [f"measure={name}"]
    for key, value in pairs.items():
        rounded = round(value, 4) if isinstance(value, float) else value
        texts.append(f"{key}={logs.format_value(rounded)}")
    return " ".join(texts)


def find_percentile(values: list[float], share: float) -> float:
    """Returns a percentile of unsorted values; 0 if there are none."""
    return caller.find_percentile(sorted(values), share)


def select_planned(
    records: list[load.CallRecord], from_s: float, to_s: float
) -> list[load.CallRecord]:
    """Returns the calls planned at or after `from_s` and before `to_s`."""
    return [r for r in records if from_s <= r.planned.at_s < to_s]


def is_in_time(record: load.CallRecord) -> bool:
    """Returns whether a call was done within its deadline."""
    deadline_s = record.planned.operation.deadline_ms / 1000
    return record.outcome == "done" and record.latency_s <= deadline_s


def summarise_classes(
    name: str, records: list[load.CallRecord], **pairs: Any
) -> list[str]:
    """Returns one line of results for each class of calls."""
    lines = []
    for summary in caller.summarise(records):
        lines.append(
            format_figures(
                name,
                **pairs,
                work_class=summary.work_class,
                sent=summary.sent,
                done=summary.outcomes.get("done", 0),
                not_run=summary.outcomes.get("not-run", 0),
                unknown=summary.outcomes.get("unknown", 0),
                wrong=summary.outcomes.get("wrong", 0),
                p50_ms=summary.p50_ms,
                p99_ms=summary.p99_ms,
                p999_ms=summary.p999_ms,
            )
        )
    return lines
