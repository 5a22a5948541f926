"""Tests of the lifecycle of a node."""

from filbertlift_node import lifecycle


def test_inputs_that_do_not_apply_are_ignored() -> None:
    """Guards against a leaving or stopped node that accepts calls again."""
    seen: list[str] = []
    machine = lifecycle.make_lifecycle(lifecycle.LifecycleHooks(seen.append))
    machine.refuse()
    machine.confirm()
    machine.suspend()
    machine.confirm()
    machine.leave()
    machine.confirm()
    machine.suspend()
    machine.refuse()
    machine.confirm()
    machine.finish()
    machine.confirm()
    assert seen == [
        "ready",
        "joining",
        "ready",
        "leaving",
        "draining",
        "stopped",
    ]


def test_joining_node_refuses_calls_while_it_leaves() -> None:
    """Guards against routing calls without a confirmed configuration.

    After SIGTERM, a joining node used to accept calls during the notice period.
    Each of them failed with an assertion and a closed connection.
    """
    seen: list[str] = []
    machine = lifecycle.make_lifecycle(lifecycle.LifecycleHooks(seen.append))
    machine.leave()
    machine.refuse()
    machine.finish()
    assert seen == ["draining", "stopped"]
