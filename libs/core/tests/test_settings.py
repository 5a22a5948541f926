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
