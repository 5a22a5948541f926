"""Settings of the operator's commands: names, parsers, defaults and help."""

from collections.abc import Mapping
import os
from typing import Any

from filbertlift_config import exceptions
from filbertlift_config import keys
from filbertlift_config import scalars
from filbertlift_core import model
from filbertlift_core import settings

_NAME_FORMAT = "1 to 63 of a-z, 0-9 and -"


def parse_publication(text: str) -> str:
    """Returns the id of a publication, or an empty string for a new one."""
    if not text:
        return text
    try:
        return scalars.check_publication(text)
    except exceptions.SnapshotError as error:
        raise ValueError(text) from error


TABLE = (
    settings.Setting(
        "store", settings.parse_url, None, "a URL such as http://10.0.0.1:7000",
        "URL of the platform's store.",
    ),
    settings.Setting(
        "cluster", keys.check_name, "filbertlift", _NAME_FORMAT,
        "Name of the cluster.",
    ),
    settings.Setting(
        "node", model.Address.parse, None, "host:port",
        "Address of the operators' pages of any node.",
    ),
    settings.Setting(
        "wait_limit", settings.make_number_parser(1, 3_600), "30",
        "1 to 3600",
        "Longest time in seconds until a version is in force everywhere.",
    ),
    settings.Setting(
        "publication", parse_publication, "",
        "1 to 64 letters, digits and -",
        "Id of the publication; give that of an unsettled one to try again.",
    ),
    settings.Setting(
        "caller", keys.check_name, None, _NAME_FORMAT,
        "Name of the service or caller that signs.",
    ),
    settings.Setting(
        "lifetime", settings.make_number_parser(1, 86_400), "3600",
        "1 to 86400", "Time in seconds for which a token is valid.",
    ),
)  # fmt: skip


def read(flags: Mapping[str, str | None]) -> dict[str, Any]:
    """Returns the values of the settings that a command uses.

    Args:
        flags: for each setting of the command, the text of its flag, or None
            if the flag is not given.

    Raises:
        SettingError: if a setting is missing or not allowed; names all such
            settings.
    """
    table = [row for row in TABLE if row.name in flags]
    return settings.read_settings(table, flags, os.environ)


def describe(name: str) -> str:
    """Returns the help text of a setting for the command line."""
    row = next(row for row in TABLE if row.name == name)
    default = f"; default {row.default}" if row.default else ""
    return f"{row.help} ({row.allowed}{default}; {row.variable})"


def is_given(name: str, flag: str | None) -> bool:
    """Returns whether a setting without default has a value."""
    row = next(row for row in TABLE if row.name == name)
    return flag is not None or row.variable in os.environ
