"""Tests of the loops of a node."""

import pytest
from twisted.internet import task

from filbertlift_sidecar import loops


class Bench:
    """A loop whose first runs fail."""

    def __init__(self, faults):
        self.clock = task.Clock()
        self.errors = []
        self.runs = 0
        self.faults = faults
        self.loop = loops.Loop(self.clock, self.run, self.errors.append)
        self.loop.start()

    async def run(self):
        self.runs += 1
        await task.deferLater(self.clock, 0.5, lambda: None)
        if self.runs <= self.faults:
            raise ValueError("unexpected")
        await task.deferLater(self.clock, 100.0, lambda: None)


@pytest.mark.parametrize("faults", [1, 3])
def test_a_loop_runs_again_after_a_fault(faults):
    """Guards against a node that never reads the store again."""
    bench = Bench(faults)
    for _ in range(20):
        bench.clock.advance(0.5)
    assert bench.runs == faults + 1
    assert bench.errors == ["unexpected"] * faults


@pytest.mark.parametrize("elapsed_s", [0.1, 0.6])
def test_a_closed_loop_ends_without_a_fault(elapsed_s):
    bench = Bench(1)
    bench.clock.advance(elapsed_s)
    errors = list(bench.errors)
    bench.loop.close()
    bench.clock.advance(10.0)
    assert bench.runs == 1
    assert bench.errors == errors
    assert not bench.clock.getDelayedCalls()
