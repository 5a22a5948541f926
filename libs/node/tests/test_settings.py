"""Tests of the node's settings, and of the page that documents them."""

import pathlib
import re

import prometheus_client.parser as parser
import pytest

from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_node import __main__ as main
from filbertlift_node import metrics
from filbertlift_node import settings

ROOT = pathlib.Path(__file__).parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
_EVENT = re.compile(r"log_event\(\s*\"([a-z._-]+)\"")
VALID = {
    "region": "north-is",
    "data_centre": "hamilton",
    "service": "yards",
    "listen": "0.0.0.0:8080",
    "link": "10.0.0.7:9100",
    "status": "10.0.0.7:9200",
    "target": "127.0.0.1:8000",
    "secrets": "one",
}
INVALID = [
    ("cluster", "Main"),
    ("region", ""),
    ("data_centre", "a/b"),
    # Reserved for the roster of the gateways of all regions.
    ("data_centre", "all"),
    ("service", "Yards"),
    ("listen", "localhost:8080"),
    ("link", "0.0.0.0:9100"),
    ("status", "10.0.0.7:0"),
    ("target", "127.0.0.1"),
    ("store", "10.0.0.9:7000"),
    ("store", "http://10.0.0.9:70000"),
    ("peers", "10.0.0.8:9100,host"),
    ("secrets", "one,two,three"),
    ("region_proxy", "south-is"),
    ("policy", "lifo"),
    ("drain_limit", "-1"),
    ("drain_limit", "nan"),
    ("leave_notice", "61"),
    ("start_jitter", "ten"),
]
ROWS = {row.name: row for row in settings.TABLE}


@pytest.mark.parametrize(("name", "value"), INVALID)
def test_refusal_names_setting_value_and_what_is_allowed(
    name: str, value: str
) -> None:
    """Guards against an invalid value that is noticed only when calls fail."""
    row = ROWS[name]
    with pytest.raises(exceptions.SettingError) as caught:
        settings.NodeSettings.from_sources(
            VALID | {name: None}, {row.variable: value}
        )
    shown = "not shown" if row.is_secret else repr(value)
    expected = f"{row.flag} is {shown}; allowed: {row.allowed}"
    assert caught.value.message == expected


def test_every_setting_has_a_refused_value() -> None:
    """Guards against a new setting that accepts any value."""
    assert {name for name, _ in INVALID} == ROWS.keys()


def test_valid_settings_are_parsed() -> None:
    """Guards against valid values that are refused or parsed wrongly."""
    flags = VALID | {
        "peers": "10.0.0.8:9100, 10.0.0.9:9100",
        "secrets": "new,old",
        "region_proxy": "south-is=10.0.0.1:3128",
        "store": "http://10.0.0.9:7000",
    }
    made = settings.NodeSettings.from_sources(flags, {})
    assert [item.host for item in made.peers] == ["10.0.0.8", "10.0.0.9"]
    assert made.secrets == (b"new", b"old")
    assert str(made.find_proxy("south-is")) == "10.0.0.1:3128"
    assert made.find_proxy("north-is") is None


def test_invalid_setting_exits_with_usage_status(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a supervisor that restarts a node that can't start."""
    monkeypatch.setattr(main.logs, "start_logs", lambda: None)
    assert main.serve({**VALID, "link": "here"}) == env.EXIT_USAGE
    assert "--link is 'here'; allowed: an IP address" in capsys.readouterr().err


def test_unknown_flag_exits_with_usage_status(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against status 2, with which the binary used to exit."""
    monkeypatch.setattr("sys.argv", ["filbertlift-node", "--no-such"])
    with pytest.raises(SystemExit) as caught:
        main.run()
    assert caught.value.code == env.EXIT_USAGE
    assert "--no-such" in capsys.readouterr().err


def test_page_describes_every_setting() -> None:
    """Guards against a page that does not match the table of settings."""
    text = PAGE.read_text(encoding="utf-8")
    for row in settings.TABLE:
        start = text.index(f"| `{row.flag}` | `{row.variable}` |")
        line = text[start : text.index("\n", start)]
        default = "required" if row.default is None else "empty"
        if row.default:
            default = f"`{row.default}`"
        assert f" {default} |" in line, line


def test_page_describes_every_metric() -> None:
    """Guards against a metric that is missing on the page."""
    text = PAGE.read_text(encoding="utf-8")
    rendered = metrics.NodeMetrics.create().render().decode()
    for family in parser.text_string_to_metric_families(rendered):
        if family.name.endswith("_created"):
            continue
        name = family.name + ("_total" if family.type == "counter" else "")
        assert f"| `{name}` |" in text, name


def test_page_describes_every_event_of_the_log() -> None:
    """Guards against a log event that is missing on the page."""
    text = PAGE.read_text(encoding="utf-8")
    events: set[str] = set()
    for path in sorted(ROOT.glob("libs/*/src/**/*.py")):
        events.update(_EVENT.findall(path.read_text(encoding="utf-8")))
    assert "node.started" in events
    assert not {event for event in events if f"`{event}`" not in text}


def test_page_describes_every_field_of_the_dump() -> None:
    """Guards against a field of the dump that is missing on the page."""
    text = PAGE.read_text(encoding="utf-8")
    source = (ROOT / "libs/node/src/filbertlift_node/dump.py").read_text()
    fields = set(re.findall(r"\"([a-z_]+)\":", source))
    assert "freshness_age_s" in fields
    assert not {field for field in fields if f"`{field}`" not in text}
