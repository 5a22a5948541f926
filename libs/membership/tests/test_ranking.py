"""Tests of the choice of neighbours and gateways."""

import attrs

from filbertlift_core import model
from filbertlift_membership import members
from filbertlift_membership import ranking

STATES = model.MemberState


def make_table() -> members.MemberTable:
    """Returns a table of 12 members in two regions."""
    records = []
    for number in range(12):
        address = model.Address(f"10.0.0.{number}", 7400)
        place = model.Place("ns"[number % 2], f"{number % 4}")
        records.append(
            model.Member(address, place, "a", address, 1, STATES.ALIVE, address)
        )
    table = members.MemberTable.create(records[0])
    for record in records[1:]:
        table.apply(record, 0.0)
    return table


def test_leaving_members_come_last() -> None:
    """Guards against lost links among the nodes of a stopping region."""
    table = make_table()
    first = ranking.Topology.create(table).neighbours()
    assert len(first) == 3 and {m.place.region for m in first} == {"n"}
    leaving = attrs.evolve(first[0], state=STATES.LEAVING)
    table.apply(leaving, 0.0)
    found = ranking.Topology.create(table).neighbours()
    assert set(found) == {leaving, *first[1:]}
    assert found.index(leaving) == 1


def test_unreachable_gateway_is_skipped() -> None:
    """Guards against regions that each retry only a lost gateway."""
    table = make_table()
    topology = ranking.Topology.create(table)
    table.own = topology.gateways("n")[0]
    first, second = topology.gateways("s")
    assert topology.gateway_links() == (first,)
    topology.mark_unreachable(first.address)
    assert topology.gateway_links() == (second,)
    table.apply(attrs.evolve(first, incarnation=2), 0.0)
    assert topology.gateway_links()[0].address == first.address
    for member in table.live_of_region("s"):
        topology.mark_unreachable(member.address)
    assert topology.gateway_links()[0].address == first.address
