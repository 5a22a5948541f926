"""Tests of configurations and their routes."""

import collections
import random

import pytest

from filbertlift_mesh import configuration
from filbertlift_mesh import exceptions

SERVICES = {
    name: configuration.ServicePolicy("/healthz", 10) for name in ("a", "b")
}


def make_route(name="r", prefix="/x/", shares=(("a", 1.0),), **changes):
    fields = {
        "name": name,
        "hostname": "h.example",
        "prefix": prefix,
        "kind": configuration.CallKind.SAFE,
        "timeout_s": 1.0,
        "objective_s": 0.4,
        "max_attempts": 2,
        "priority": 1,
        "shares": tuple(configuration.Share(*share) for share in shares),
    }
    return configuration.Route(**{**fields, **changes})


def make_configuration(*routes, version=1):
    return configuration.Configuration.from_routes(
        version, routes, SERVICES, configuration.ClientLimits()
    )


@pytest.mark.parametrize(
    ("path", "name"),
    [
        ("/x/y/1?q=/z/", "long"),
        ("/x/z", "short"),
        ("/x/", "short"),
        ("/x", None),
        ("/", None),
        ("x", None),
    ],
)
def test_the_longest_prefix_that_begins_the_path_is_found(path, name):
    found = make_configuration(
        make_route("short", "/x/"), make_route("long", "/x/y/")
    ).find_route("h.example", path)
    assert (found.name if found else None) == name


def test_another_host_name_has_no_route():
    assert make_configuration(make_route()).find_route("o", "/x/") is None


@pytest.mark.parametrize(
    "route",
    [
        make_route(shares=(("unknown", 1.0),)),
        make_route(shares=()),
        make_route(shares=(("a", 0.0),)),
        make_route(prefix="x/"),
        make_route(timeout_s=0.0),
    ],
)
def test_one_invalid_route_makes_the_version_invalid(route):
    """Guards against a version of which only some routes are used."""
    with pytest.raises(exceptions.ConfigurationError):
        make_configuration(make_route("good", "/good/"), route)


def test_two_routes_with_the_same_prefix_make_the_version_invalid():
    with pytest.raises(exceptions.ConfigurationError):
        make_configuration(make_route("one"), make_route("two"))


def count_services(rotation, route, calls):
    return collections.Counter(
        rotation.choose_service(route) for _ in range(calls)
    )


@pytest.fixture(params=range(5))
def rotation(request):
    """A round robin at one of several positions."""
    return configuration.WeightedRoundRobin(random.Random(request.param))


def test_a_few_calls_come_close_to_the_weights(rotation):
    """Guards against a random choice, which misses the weights on few calls."""
    route = make_route(shares=(("a", 90), ("b", 10)))
    assert count_services(rotation, route, 20) == {"a": 18, "b": 2}


def test_a_route_with_changed_services_starts_over(rotation):
    rotation.choose_service(make_route(shares=(("a", 9), ("b", 1))))
    changed = make_route(shares=(("b", 1.0),))
    assert rotation.choose_service(changed) == "b"


@pytest.mark.parametrize("calls_before", [1, 9, 30])
@pytest.mark.parametrize(
    "before", [(950, 50), (50, 950), (0, 1), (1, 1), (1e9, 1), (0.3, 0.7)]
)
@pytest.mark.parametrize(
    "after", [(1, 0), (0, 1), (0.5, 0.5), (9, 1), (950, 50), (1e6, 1e6)]
)
def test_the_new_weights_count_from_their_first_call(
    rotation, before, after, calls_before
):
    """Guards against balances of old weights that new ones work off.

    After weights with a greater sum, hundreds of calls went to a service that
    had lost its weight.
    """
    count_services(
        rotation,
        make_route(shares=zip("ab", before, strict=True)),
        calls_before,
    )
    calls = 40
    counts = count_services(
        rotation, make_route(shares=zip("ab", after, strict=True)), calls
    )
    for service, weight in zip("ab", after, strict=True):
        due = calls * weight / sum(after)
        assert abs(counts[service] - due) <= 1
        assert weight > 0 or not counts[service]


@pytest.mark.parametrize("weights", [(90, 10), (0.7, 0.3), (2, 1, 1)])
def test_the_first_calls_of_many_nodes_match_the_weights(weights):
    """Guards against nodes that all begin with the greatest weight."""
    route = make_route(shares=zip("abc", weights, strict=False))
    counts = collections.Counter()
    for seed in range(400):
        rotation = configuration.WeightedRoundRobin(random.Random(seed))
        counts += count_services(rotation, route, 2)
    for service, weight in zip("abc", weights, strict=False):
        share = counts[service] / counts.total()
        assert share == pytest.approx(weight / sum(weights), abs=0.05)


def test_weights_that_change_often_are_matched_on_the_whole():
    """Guards against a start over that favours the greatest weight."""
    rotation = configuration.WeightedRoundRobin(random.Random(1))
    counts = collections.Counter()
    for number in range(1000):
        scale = 1 + number % 2
        route = make_route(shares=(("a", 4 * scale), ("b", scale)))
        counts += count_services(rotation, route, 2)
    assert counts["b"] / counts.total() == pytest.approx(0.2, abs=0.05)


def test_routes_that_are_gone_are_dropped(rotation):
    """Guards against memory that grows with each version."""
    for number in range(10):
        name = f"r-{number}"
        rotation.choose_service(make_route(name, shares=(("a", 1), ("b", 1))))
        rotation.drop_other_routes({name})
    assert list(rotation._rotations) == ["r-9"]


def test_host_names_are_compared_without_case():
    assert make_configuration(make_route()).find_route("H.Example", "/x/")
