"""Tests of the lifecycle of the node."""

from filbertlift_node import lifecycle


def test_states_in_order_and_inputs_that_do_not_apply() -> None:
    """Guards against a stopped or leaving node that takes calls again."""
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
