"""Stand-in for callers: sends an open-loop load on a fixed schedule."""

from collections import Counter
from collections.abc import Iterable
import random
import time
from typing import Any

import attrs
from twisted.internet import reactor as default_reactor
import typer

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import logs
from filbertlift_core import model
from filbertlift_standins import client
from filbertlift_standins import load
from filbertlift_standins import schedule


@attrs.frozen
class ClassSummary:
    """Outcomes and latencies of one class of calls."""

    work_class: str
    sent: int
    outcomes: dict[str, int]
    codes: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    worst_ms: float

    def format_line(self) -> str:
        """Returns one line of key=value pairs."""
        pairs: dict[str, Any] = {"class": self.work_class, "sent": self.sent}
        for outcome in ("done", "not-run", "unknown", "wrong"):
            pairs[outcome] = self.outcomes.get(outcome, 0)
        for name in ("p50_ms", "p99_ms", "p999_ms", "worst_ms"):
            pairs[name] = round(getattr(self, name), 2)
        pairs |= {f"code:{code}": n for code, n in sorted(self.codes.items())}
        return " ".join(
            f"{key}={logs.format_value(value)}" for key, value in pairs.items()
        )


def find_percentile(values: list[float], share: float) -> float:
    """Returns a percentile of sorted values, or 0 if there are none."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(len(values) * share))]


def summarise(records: Iterable[load.CallRecord]) -> list[ClassSummary]:
    """Returns one summary per class; latencies cover only calls done."""
    classes: dict[str, list[load.CallRecord]] = {}
    for record in records:
        name = record.planned.operation.work_class
        classes.setdefault(name, []).append(record)
    summaries = []
    for name, group in sorted(classes.items()):
        times = sorted(
            record.latency_s * 1000
            for record in group
            if record.outcome == "done"
        )
        summaries.append(
            ClassSummary(
                name,
                len(group),
                dict(Counter(record.outcome for record in group)),
                dict(Counter(r.code for r in group if r.outcome != "done")),
                find_percentile(times, 0.5),
                find_percentile(times, 0.99),
                find_percentile(times, 0.999),
                times[-1] if times else 0.0,
            )
        )
    return summaries


def main(
    entry: list[str] = typer.Option(..., help="IP:PORT; may be repeated."),
    operation: list[str] = typer.Option(
        ..., help="Such as 'counter=GET /desk/status;share=0.8;work_ms=5'."
    ),
    rate: float = typer.Option(100.0, help="Calls a second."),
    steps: str = typer.Option("", help="Rates by time: '0:100,5:1000'."),
    duration_s: float = typer.Option(10.0, help="Seconds of load."),
    token: str = typer.Option("", envvar="FILBERTLIFT_TOKEN", help="Token."),
    seed: int = typer.Option(1, help="Seed of the schedule."),
    connections: int = typer.Option(100, help="Connections to each entry."),
) -> None:
    """Sends the load and prints one line for each class."""
    reactor: Any = default_reactor
    rng = random.Random(seed)
    try:
        entries = [model.Address.parse(text) for text in entry]
        operations = [schedule.Operation.parse(text) for text in operation]
        rates = schedule.RateStep.parse_list(steps or f"0:{rate}")
    except (ValueError, exceptions.ModelError) as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(env.EXIT_USAGE) from error
    run_load = load.Load(reactor, client.Client(reactor, connections), token)
    prefix = f"c{rng.getrandbits(32):08x}"
    planned = schedule.plan_calls(
        rng, prefix, rates, duration_s, operations, entries
    )

    cpu_before_s = time.process_time()

    def report(records: list[load.CallRecord]) -> None:
        cpu_s = time.process_time() - cpu_before_s
        for summary in summarise(records):
            typer.echo(summary.format_line())
        cost_us = cpu_s / max(1, len(records)) * 1e6
        typer.echo(f"calls={len(records)} cpu_us_per_call={cost_us:.0f}")
        reactor.stop()

    result = run_load.start(planned)
    result.addCallback(report)
    reactor.run()


def run() -> None:
    """Entry point of `filbertlift-caller-standin`."""
    typer.run(main)


if __name__ == "__main__":
    run()
