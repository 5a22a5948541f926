"""Prints how long versions took to reach the hosts, from logs of nodes.

Reads a file with the lines of all nodes, each after a time in seconds and the
name of its host, as the bench of the users' platform prints them. A version
counts from when its first host has it in force, or from the start of the node.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
import re

import attrs
import typer

_LINE = re.compile(r"\s*(-?[\d.]+) (\S+) time=\S+ event=(\S+)(.*)")
_VERSION = re.compile(r" version=(\d+)")
NO_VERSION = -1


@attrs.frozen
class Step:
    """A version that a host put in force, or the start of its node.

    Attributes:
        at_s: when, in seconds.
        version: the version; `NO_VERSION` at a start.
    """

    at_s: float
    version: int


@attrs.frozen(order=True)
class Delay:
    """Time that a version took to one host.

    Attributes:
        delay_s: the time, in seconds.
        host: name of the host.
        version: the version.
    """

    delay_s: float
    host: str
    version: int


def read_steps(lines: Iterable[str]) -> dict[str, list[Step]]:
    """Returns the steps of each host, in the order of their times."""
    steps: dict[str, list[Step]] = {}
    for line in lines:
        match = _LINE.match(line)
        if match is None:
            continue
        at_s, host, event, fields = match.groups()
        if event == "node.start":
            steps.setdefault(host, []).append(Step(float(at_s), NO_VERSION))
        found = _VERSION.search(fields)
        if event == "versions.in-force" and found is not None:
            step = Step(float(at_s), int(found[1]))
            steps.setdefault(host, []).append(step)
    for own in steps.values():
        own.sort(key=lambda step: step.at_s)
    return steps


def measure_delays(steps: dict[str, list[Step]]) -> Iterator[Delay]:
    """Yields the delay of each version at each host that has it later on.

    A version that is in force before time 0, when calls begin, is left out.
    """
    first: dict[int, float] = {}
    for own in steps.values():
        for step in own:
            known_s = first.get(step.version, step.at_s)
            first[step.version] = min(known_s, step.at_s)
    for version, first_s in first.items():
        if version == NO_VERSION or first_s < 0:
            continue
        for host, own in steps.items():
            delay_s = _measure_delay(own, version, first_s)
            if delay_s is not None:
                yield Delay(delay_s, host, version)


def _measure_delay(
    own: list[Step], version: int, first_s: float
) -> float | None:
    """Returns the longest delay of a version over the starts of a host."""
    longest_s: float | None = None
    since_s: float | None = first_s
    for step in own:
        if step.version == NO_VERSION:
            since_s = max(first_s, step.at_s)
        elif step.version >= version and since_s is not None:
            delay_s = max(0.0, step.at_s - since_s)
            longest_s = max(longest_s or 0.0, delay_s)
            since_s = None
    return longest_s


def main(
    file: pathlib.Path = typer.Argument(..., help="File with the logs."),
    rows: int = typer.Option(10, help="Longest delays to print."),
) -> None:
    """Prints the longest delays."""
    with file.open(encoding="utf-8", errors="replace") as lines:
        delays = sorted(measure_delays(read_steps(lines)), reverse=True)
    for delay in delays[:rows]:
        print(f"{delay.delay_s:.2f} s {delay.host} version {delay.version}")


if __name__ == "__main__":
    typer.run(main)
