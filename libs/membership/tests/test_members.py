"""Unit tests of the member table and the prober."""

import random

import attrs
import pytest

from filbertlift_core import model
from filbertlift_membership import members
from filbertlift_membership import probes

STATES = model.MemberState
PLACE = model.Place("north", "north-1")


def make_member(number: int, incarnation: int = 1, state=STATES.ALIVE):
    address = model.Address(f"10.0.0.{number}", 7400)
    return model.Member(
        address, PLACE, "archive", address, incarnation, state, address
    )


def make_table(count: int) -> members.MemberTable:
    table = members.MemberTable.create(make_member(0))
    for number in range(1, count):
        table.apply(make_member(number), 0.0)
    return table


@pytest.mark.parametrize("is_forgotten", [False, True])
def test_old_record_of_a_dead_member_is_refused(is_forgotten: bool) -> None:
    """Guards against a late message that brings a DEAD member back."""
    table = make_table(2)
    table.apply(make_member(1, state=STATES.DEAD), 0.0)
    if is_forgotten:
        assert table.expire(members.DEAD_RETENTION_S) == [
            make_member(1).address
        ]
    assert table.apply(make_member(1), 700.0) is None
    assert table.find_newer(make_member(1)) == make_member(1, state=STATES.DEAD)
    assert table.apply(make_member(1, 2), 700.0) == make_member(1, 2)


def test_suspicion_is_resolved_after_its_timeout() -> None:
    """Guards against a suspicion that never ends or ends too early."""
    table = make_table(2)
    table.apply(make_member(1, state=STATES.SUSPECT), 0.0)
    for tick in range(31):
        assert table.suspected == 1
        table.tick(tick / 10)
    assert table.members[make_member(1).address].state == STATES.DEAD
    assert table.recently_lost("archive", 3.1)


def test_paused_node_has_to_confirm_its_version() -> None:
    """Guards against calls under a version from before a pause."""
    table = make_table(2)
    table.tick(0.0)
    assert not table.was_declared_dead
    table.tick(60.0)
    assert table.was_declared_dead
    table.confirm_alive()
    suspicion = make_member(0, 1, STATES.SUSPECT)
    assert table.apply(suspicion, 60.0) == make_member(0, 2)
    refutation = table.apply(make_member(0, 7, STATES.DEAD), 61.0)
    assert refutation == make_member(0, 8)
    assert table.was_declared_dead


def run(table, seconds: float, answers, prober=None) -> list:
    """Ticks a prober; `answers` returns whether an address acknowledges."""
    prober = prober or probes.Prober.create(table, random.Random(1), 0.0)
    found = []
    for step in range(int(seconds * 10)):
        for action in prober.tick(step / 10):
            if isinstance(action, probes.SendPing) and answers(action.to):
                found += prober.receive_ack(action.to, action.sequence, 0.0)
            elif isinstance(action, probes.MarkSuspect):
                table.apply(action.member, step / 10)
                found.append(action)
        table.tick(step / 10)
    return found


def test_isolated_node_suspects_few() -> None:
    """Guards against suspicions raised by a node whose own network fails."""
    assert len(run(make_table(40), 60.0, lambda _: False)) <= 3


def test_survivor_of_a_lost_rack_suspects_all() -> None:
    """Guards against dead members that stay listed since most probes fail."""
    table = make_table(12)
    alive = make_member(1).address
    run(table, 120.0, lambda address: address == alive)
    assert {member.address for member in table.live()} == {
        alive,
        table.own.address,
    }


def test_suspicions_are_limited() -> None:
    """Guards against a flood of updates when a data centre is lost."""
    table = make_table(300)
    prober = probes.Prober.create(table, random.Random(1), 0.0)
    addresses = list(table.members)[1:]
    for address in addresses[:10]:
        prober.probe(address, 0.0)
    marked = run(table, 2.0, lambda _: False, prober)
    assert len(marked) <= probes.SUSPICIONS_BURST + 2
    for address in addresses[: probes.MAX_SUSPECTED]:
        suspect = attrs.evolve(
            table.members[address], state=STATES.SUSPECT, incarnation=9
        )
        table.apply(suspect, 0.0)
    for seed in range(10):
        prober = probes.Prober.create(table, random.Random(seed), 0.0)
        found = run(table, 2.9, lambda to: to.host[-1] in "02468", prober)
        assert not any(isinstance(a, probes.MarkSuspect) for a in found)


def test_dead_member_that_responds_is_contacted() -> None:
    """Guards against two halves that list each other as DEAD permanently."""
    table = make_table(3)
    table.apply(make_member(1, state=STATES.DEAD), 0.0)
    found = run(table, 30.0, lambda _: True)
    assert probes.Reconnect(make_member(1).address) in found
