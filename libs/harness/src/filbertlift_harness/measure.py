"""Runs measurements and prints their results as key=value lines."""

from collections.abc import Awaitable
from collections.abc import Callable
import datetime
import os
import pathlib
import platform
from typing import Any

from twisted.internet import defer
from twisted.internet import task
import typer

from filbertlift_core import exceptions
from filbertlift_harness import added
from filbertlift_harness import convergence
from filbertlift_harness import figures
from filbertlift_harness import pressure

Measurement = Callable[[Any], Awaitable[list[str]]]

MEASUREMENTS: dict[str, Measurement] = {
    "convergence": convergence.measure,
    "added": added.measure,
    "crest": pressure.measure_crest,
    "blocking": pressure.measure_blocking,
    "slow": pressure.measure_slow,
}


def find_results_folder() -> pathlib.Path:
    """Returns the folder to which results are saved."""
    return pathlib.Path(__file__).resolve().parents[4] / "measurements"


def describe_machine() -> str:
    """Returns a line with the machine's cores, load and Python version."""
    load_1, load_5, _ = os.getloadavg()
    return figures.format_figures(
        "machine",
        cores=os.cpu_count(),
        load_1_min=load_1,
        load_5_min=load_5,
        python=platform.python_version(),
    )


def save(name: str, lines: list[str]) -> None:
    """Writes the lines of one measurement to a new file."""
    folder = find_results_folder()
    folder.mkdir(exist_ok=True)
    now = datetime.datetime.now(datetime.UTC).strftime("%Y%m%dT%H%M%SZ")
    path = folder / f"{name}-{now}.txt"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


async def run_measurements(reactor: Any, names: list[str], keep: bool) -> None:
    """Runs measurements one after the other and prints their lines.

    Raises:
        SystemExit: with status 1 if a measurement failed.
    """
    failed = False
    for name in names:
        machine = describe_machine()
        try:
            lines = await MEASUREMENTS[name](reactor)
        except exceptions.FilbertliftError as error:
            print(f"measure={name} failed: {error}", flush=True)
            failed = True
            continue
        lines = [machine, *lines]
        print("\n".join(lines), flush=True)
        if keep:
            save(name, lines)
    if failed:
        raise SystemExit(1)


def main(
    names: list[str] = typer.Argument(
        None, help=f"Any of {', '.join(MEASUREMENTS)}; all if none."
    ),
    keep: bool = typer.Option(False, "--save", help="Write measurements/."),
) -> None:
    """Runs the measurements on loopback."""
    chosen = names or list(MEASUREMENTS)
    unknown = [name for name in chosen if name not in MEASUREMENTS]
    if unknown:
        raise typer.BadParameter(f"unknown measurement: {unknown[0]}")
    task.react(
        lambda reactor: defer.Deferred.fromCoroutine(
            run_measurements(reactor, chosen, keep)
        )
    )


if __name__ == "__main__":
    typer.run(main)
