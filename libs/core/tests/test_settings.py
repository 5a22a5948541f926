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


def test_flag_overrides_environment_and_default() -> None:
    environ = {"FILBERTLIFT_RATE": "3", "FILBERTLIFT_NAME": "n"}
    assert settings.read_settings(TABLE, {}, environ)["rate"] == 3
    assert settings.read_settings(TABLE, {"rate": "4"}, environ)["rate"] == 4


def test_error_lists_every_invalid_setting() -> None:
    """Guards against an error that reports only the first invalid setting."""
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
def test_invalid_urls_are_rejected(text: str) -> None:
    """Guards against a wrong port that fails later as FL-STORE-UNCERTAIN."""
    with pytest.raises(ValueError):
        settings.parse_url(text)


def test_store_urls_are_accepted() -> None:
    for text in ("http://10.0.0.9:7000", "https://store.internal/kv"):
        assert settings.parse_url(text) == text
