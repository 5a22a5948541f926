"""Command line of the soak.

It tests nodes of the library `sidecar`, while `filbertlift_harness.soak` tests
nodes of the library `node`.
"""

import pathlib
import tempfile
from typing import Any

from twisted.internet import defer
from twisted.internet import task
import typer

from filbertlift_soak import world


def main(
    seed: int = typer.Option(1, help="First seed."),
    seeds: int = typer.Option(1, help="Number of seeds, one after another."),
    steps: int = typer.Option(20, help="Steps of each run."),
    odd_steps: int = typer.Option(
        4, help="Further steps: odd entries and repeated refusals."
    ),
    late_steps: int = typer.Option(
        1, help="Further steps: departures with the store away."
    ),
    hosts: int = typer.Option(9, help="Hosts, each with its own node."),
    rolls: int = typer.Option(1, help="Stops of several hosts in series."),
    forgets: int = typer.Option(
        1, help="Departures with the store away and all nodes killed."
    ),
    restores: int = typer.Option(
        1, help="Returns of the store from an older copy."
    ),
) -> None:
    """Injects faults under load and checks the guarantees.

    Exits with status 1 if a guarantee was broken. Prints the seed, each broken
    guarantee and the folder with the logs of the nodes.
    """
    failed: list[int] = []

    async def run(reactor: Any) -> None:
        for number in range(seed, seed + seeds):
            folder = pathlib.Path(tempfile.mkdtemp(prefix="filbertlift-soak-"))
            print(f"seed={number} steps={steps} logs={folder}", flush=True)
            problems = await world.run_world(
                reactor,
                folder,
                number,
                steps,
                odd_steps,
                hosts,
                late_steps,
                rolls,
                forgets,
                restores,
            )
            for problem in problems:
                print(f"problem: {problem}", flush=True)
            if problems:
                failed.append(number)
            print(f"seed={number} {'FAILED' if problems else 'ok'}", flush=True)
        print(f"{seeds - len(failed)} seeds ok, failed: {failed}", flush=True)
        if failed:
            raise SystemExit(1)

    task.react(lambda reactor: defer.Deferred.fromCoroutine(run(reactor)))


if __name__ == "__main__":
    typer.run(main)
