"""Tests of the choice of a target and of the state that it uses."""

from collections import Counter
import random

import pytest

from filbertlift_calls import budgets
from filbertlift_calls import choice
from filbertlift_calls import targets
from filbertlift_calls import views
from filbertlift_core import model

HERE = model.Place("north", "n1")
COUNTER = model.WorkClass.COUNTER


def make_target(
    number: int, region: str = "north", centre: str = "n1"
) -> targets.Target:
    address = model.Address("127.0.0.1", 9_000 + number)
    return targets.Target(address, 1, model.Place(region, centre))


def make_views(
    *listed: targets.Target, bytes_per_s: float = 1e6
) -> views.ServiceViews:
    budget = budgets.LinkBudget.create(bytes_per_s, 0.0)
    service = views.ServiceViews(HERE, None, 2, budget)
    service.update(listed, 0.0)
    return service


def drive(
    service: views.ServiceViews,
    slow: set[int],
    seconds: float,
    start: float = 0.0,
) -> Counter[int]:
    """Makes 100 calls per second and returns the number for each target."""
    rng = random.Random(1)
    counts: Counter[int] = Counter()
    for step in range(int(seconds * 100)):
        now = start + step / 100
        view = choice.choose(service, choice.DEFAULT_CRITERIA, now, rng)
        assert view is not None
        port = view.target.address.port - 9_000
        counts[port] += 1
        service.note_sent(view, COUNTER, now)
        latency_s = 0.2 if port in slow else 0.01
        service.note_answer(view, COUNTER, latency_s, 0, now)
    return counts


def test_slow_target_is_ejected_and_readmitted() -> None:
    """Guards against a high tail latency caused by one slow target."""
    service = make_views(*map(make_target, range(4)))
    drive(service, set(), 2.0)
    drive(service, {0}, 2.0, 2.0)
    assert drive(service, {0}, 2.0, 4.0)[0] <= 10
    assert drive(service, set(), 20.0, 6.0)[0] > 200


def test_at_most_half_of_the_targets_are_ejected() -> None:
    """Guards against overload of the few targets that are not ejected."""
    service = make_views(*map(make_target, range(4)))
    for view in list(service.views.values()):
        for _ in range(views.MAX_FAILURES):
            service.note_sent(view, COUNTER, 0.0)
            service.note_failure(view, COUNTER, 0.0)
    assert service.ejected == 2


def test_silent_target_is_ejected_without_an_answer() -> None:
    """Guards against a stalled target that is never measured as slow."""
    service = make_views(*map(make_target, range(4)))
    drive(service, set(), 2.0)
    stalled = next(iter(service.views.values()))
    service.note_sent(stalled, COUNTER, 2.0)
    drive(service, set(), 0.25, 2.4)
    assert stalled.ejected_until is not None


def test_share_of_a_new_target_grows() -> None:
    """Guards against a new target that gets its full share at once."""
    service = make_views(*map(make_target, range(3)))
    drive(service, set(), 1.0)
    service.update(map(make_target, range(4)), 1.0)
    early = drive(service, set(), 1.0, 1.0)[3]
    late = drive(service, set(), 1.0, 30.0)[3]
    assert early < late / 2


def test_other_regions_only_when_near_ones_are_full_and_bytes_left() -> None:
    """Guards against use of the paid link while a near target is free."""
    near, far = make_target(0), make_target(1, "south", "s1")
    service = make_views(near, far, bytes_per_s=100.0)
    rng = random.Random(1)
    criteria = choice.Criteria(size=100)
    seen = []
    for _ in range(4):
        view = choice.choose(service, criteria, 0.0, rng)
        assert view is not None
        service.note_sent(view, COUNTER, 0.0)
        seen.append(view.target)
    assert seen == [near, near, far, near]


def test_local_target_is_preferred_unless_tried() -> None:
    """Guards against an unnecessary second hop."""
    service = make_views(*map(make_target, range(4)))
    service.local = make_target(2).address
    rng = random.Random(1)
    view = choice.choose(service, choice.Criteria(local_free=True), 0.0, rng)
    assert view is not None
    assert view.target.address == service.local
    tried = choice.Criteria(excluded=(service.local,), local_free=True)
    view = choice.choose(service, tried, 0.0, rng)
    assert view is not None
    assert view.target.address != service.local


def test_key_moves_only_if_its_target_is_lost_and_is_marked() -> None:
    """Guards against a repeat that runs again at another target."""
    listed = [make_target(number) for number in range(6)]
    service = make_views(*listed)
    keys = [f"key-{number}" for number in range(200)]
    before = {key: choice.choose_by_key(service, key, 0.0) for key in keys}
    service.update(listed[1:], 1.0)
    for key in keys:
        old, new = before[key], choice.choose_by_key(service, key, 1.0)
        assert old is not None
        assert new is not None
        was_lost = old.view.target == listed[0]
        assert new.is_shifted is was_lost
        assert was_lost or new.view is old.view
    assert {c.view.target for c in before.values() if c} == set(listed)


def test_removed_target_is_forgotten_and_late_answers_are_accepted() -> None:
    """Guards against calls to targets that left, and leaks of their state."""
    service = make_views(*map(make_target, range(2)))
    view = service.views[make_target(0).address]
    service.note_sent(view, COUNTER, 0.0)
    service.update([make_target(1)], 1.0)
    service.note_answer(view, COUNTER, 0.01, 0, 1.0)
    assert drive(service, set(), 1.0, 1.0).keys() == {1}
    service.update([make_target(1)], 2.0 + views.LOST_RETENTION_S)
    assert not service.lost


@pytest.mark.parametrize("excluded", [0, 1, 3])
def test_round_robin_chooses_every_target_in_turn(excluded: int) -> None:
    service = make_views(*map(make_target, range(4)))
    tried = {make_target(number).address for number in range(excluded)}
    choose = choice.make_round_robin()
    criteria = choice.Criteria(excluded=tried)
    rng = random.Random(1)
    seen = {choose(service, criteria, 0.0, rng) for _ in range(8)}
    assert {v.target.address for v in seen if v} == (set(service.views) - tried)
