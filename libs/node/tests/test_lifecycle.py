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


def test_node_that_has_not_joined_takes_no_call_while_it_leaves() -> None:
    """Guards against calls routed without a confirmed configuration.

    SIGTERM to a joining node used to open it for the time of the notice,
    and each call ended in an assertion and a closed connection.
    """
    seen: list[str] = []
    machine = lifecycle.make_lifecycle(lifecycle.LifecycleHooks(seen.append))
    machine.leave()
    machine.refuse()
    machine.finish()
    assert seen == ["draining", "stopped"]
