"""Tests of configurations and their routes."""

import collections

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


def test_a_few_calls_come_close_to_the_weights():
    """Guards against a random choice, which misses the weights on few calls."""
    route = make_route(shares=(("a", 90), ("b", 10)))
    rotation = configuration.WeightedRoundRobin()
    counts = collections.Counter(
        rotation.choose_service(route) for _ in range(20)
    )
    assert counts == {"a": 18, "b": 2}


def test_a_route_with_changed_services_starts_over():
    rotation = configuration.WeightedRoundRobin()
    rotation.choose_service(make_route(shares=(("a", 9), ("b", 1))))
    changed = make_route(shares=(("b", 1.0),))
    rotation.drop_changed_routes(make_configuration(changed))
    assert rotation.choose_service(changed) == "b"


def test_host_names_are_compared_without_case():
    assert make_configuration(make_route()).find_route("H.Example", "/x/")
