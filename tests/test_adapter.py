"""Tests of the parsers on input as the pages of the platform show it."""

import json

import pytest

from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_mesh import announcements
from filbertlift_mesh import configuration
from filbertlift_mesh import directory
from filbertlift_platform import configurations
from filbertlift_platform import exceptions
from filbertlift_platform import reports
from filbertlift_platform import settings
from filbertlift_transport import http

SETTINGS = """\
nodeName=sidecar-hamilton-1
ip=10.1.0.8
zone=hamilton
region=north-is
listen.outbound=10.1.0.8:8304
listen.ready=10.1.0.8:8302
listen.control=10.1.0.8:8306
portRange=7620,7635
heartbeatMs=1500
bounds.graceS=6
bounds.budgetRatio=0.2
bounds.budgetSlack=62
bounds.budgetWindowS=10
appAddress=10.1.0.8:8301
service=huvo11a
platform.address=10.200.1.7:8309
some.new.field=ignored
"""
DOCUMENT = {
    "version": "0000000c",
    "routes": {
        "r-1": {
            "hostname": "a.example",
            "prefix": "/x/",
            "routeType": "unsafe",
            "timeoutMs": 1200,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": "a",
            "maxAttempts": 2,
        },
        "r-2": {
            "hostname": "b.example",
            "prefix": "/y/",
            "routeType": "safe",
            "timeoutMs": 1000,
            "targetLatencyMs": 400,
            "priority": 2,
            "trafficSplit": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "maxAttempts": 2,
        },
    },
    "services": {
        name: {
            "healthCheckPath": "/healthz",
            "maxConnections": 130,
            "protocol": "h1",
            "tls": False,
        }
        for name in ("a", "b")
    },
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def make_heartbeat(**changes):
    beat = {
        "service": "huvo11a",
        "address": "10.1.0.8:8301",
        "zone": "hamilton",
        "version": "v1",
        "slots": 18,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 4,
        "born": 1_700_000_000_000,
    }
    return json.dumps({**beat, **changes}).encode()


def make_request(path, body):
    return http.Request("POST", path, {}, body, model.Address("10.1.0.8", 1))


def test_settings_are_parsed_and_unknown_ones_ignored():
    found = settings.parse_settings(SETTINGS)
    assert found.place == model.Place("north-is", "hamilton")
    assert found.peers == model.Address("10.1.0.8", 7620)
    assert found.beat_interval_s == 1.5
    assert found.repeat_slack == 62


@pytest.mark.parametrize("text", ["", SETTINGS.replace("8301", "x")])
def test_missing_or_invalid_settings_are_refused(text):
    with pytest.raises(exceptions.PlatformError):
        settings.parse_settings(text)


def test_a_heartbeat_is_parsed():
    found = reports.parse_report(
        make_request("/Instances.Heartbeat/i-1", make_heartbeat())
    )
    assert found == announcements.Heartbeat(
        directory.TargetRecord(
            "i-1",
            1_700_000_000_000,
            "huvo11a",
            18,
            directory.TargetState.READY,
        ),
        "10.1.0.8:8301",
        4,
    )


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        make_heartbeat(state="dancing"),
        make_heartbeat(slots="many"),
        make_heartbeat(slots=-1),
        make_heartbeat(sequence=None),
        make_heartbeat(service=7),
    ],
)
def test_a_malformed_heartbeat_is_refused(body):
    with pytest.raises(exceptions.PlatformError):
        reports.parse_report(make_request("/Instances.Heartbeat/i-1", body))


@pytest.mark.parametrize(
    ("body", "born_ms"), [(b"", None), (b"{}", None), (b'{"born": 7}', 7)]
)
def test_a_departure_notice_may_contain_the_start(body, born_ms):
    found = reports.parse_report(make_request("/Instances.Leave/i-1", body))
    assert found == announcements.Departure("i-1", born_ms)


def test_a_configuration_is_decoded():
    found = configurations.decode_configuration(json.dumps(DOCUMENT).encode())
    assert found.version == 12
    route = found.find_route("a.example", "/x/1")
    assert route.kind is configuration.CallKind.UNSAFE
    assert route.timeout_s == 1.2
    split = found.find_route("b.example", "/y/")
    assert [share.weight for share in split.shares] == [90, 10]
    assert found.limits.body_bytes == 1000


def cut(document):
    return json.dumps(document).encode()[:-10]


def change_route(**changes):
    routes = {"r-1": {**DOCUMENT["routes"]["r-1"], **changes}}
    return json.dumps({**DOCUMENT, "routes": routes}).encode()


@pytest.mark.parametrize(
    "value",
    [
        cut(DOCUMENT),
        change_route(service="unknown"),
        change_route(timeoutMs=None),
        change_route(routeType="other"),
        change_route(service=None),
        json.dumps({**DOCUMENT, "version": "not hex"}).encode(),
    ],
)
def test_an_invalid_configuration_is_refused(value):
    with pytest.raises(core_exceptions.FilbertliftError):
        configurations.decode_configuration(value)
