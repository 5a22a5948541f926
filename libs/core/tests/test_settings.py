"""Tests of the table of settings."""

import pytest

from filbertlift_core import exceptions
from filbertlift_core import settings

TABLE = (
    settings.Setting(
        "rate",
        settings.make_number_parser(1, 10),
        "2",
        "1 to 10",
        "Calls a second.",
    ),
    settings.Setting("name", settings.parse_text, None, "any text", "Name."),
)


def test_flag_goes_before_environment_and_default() -> None:
    environ = {"FILBERTLIFT_RATE": "3", "FILBERTLIFT_NAME": "n"}
    assert settings.read_settings(TABLE, {}, environ)["rate"] == 3
    assert settings.read_settings(TABLE, {"rate": "4"}, environ)["rate"] == 4


def test_error_names_every_setting_value_and_what_is_allowed() -> None:
    """Guards against an operator mending one setting at a time."""
    with pytest.raises(exceptions.SettingError) as caught:
        settings.read_settings(TABLE, {"rate": "11"}, {})
    assert "--rate is '11'; allowed: 1 to 10" in str(caught.value)
    assert "--name is required" in str(caught.value)


@pytest.mark.parametrize(
    "text",
    [
        "10.0.0.9:7000",
        "ftp://10.0.0.9",
        "http://",
        "http://10.0.0.9:x",
        "http://10.0.0.9:0",
        "http://10.0.0.9:7000/?a=b",
    ],
)
def test_wrong_urls_are_refused(text: str) -> None:
    """Guards against a port that fails as FL-STORE-UNCERTAIN on use."""
    with pytest.raises(ValueError):
        settings.parse_url(text)


def test_urls_of_a_store_are_taken() -> None:
    for text in ("http://10.0.0.9:7000", "https://store.internal/kv"):
        assert settings.parse_url(text) == text
