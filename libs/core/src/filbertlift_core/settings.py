"""Settings: each binary has a table with defaults, units and checks.

A value is read from the command line flag, else from the environment variable
`FILBERTLIFT_<NAME>`, else from the default in the table.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from urllib import parse as url_parse

import attrs

from filbertlift_core import env
from filbertlift_core import exceptions

Parser = Callable[[str], Any]


@attrs.frozen
class Setting:
    """One setting of a binary.

    Attributes:
        name: name with underscores; the flag uses hyphens instead.
        parse: converts text to a value; raises ValueError or ModelError.
        default: text of the default, or None if a value is required.
        allowed: description of the allowed values, for errors and the docs.
        help: purpose and unit of the setting.
        is_secret: whether the value is left out of error messages.
    """

    name: str
    parse: Parser
    default: str | None
    allowed: str
    help: str
    is_secret: bool = False

    @property
    def flag(self) -> str:
        """Name of the command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return env.PREFIX + self.name.upper()


def make_number_parser(
    low: float, high: float, kind: Callable[[str], float] = float
) -> Parser:
    """Returns a parser of numbers from `low` to `high`, both included."""

    def parse(text: str) -> float:
        number = kind(text)
        if not low <= number <= high:
            raise ValueError(text)
        return number

    return parse


def make_choice_parser(choices: Sequence[str]) -> Parser:
    """Returns a parser that accepts only the given words."""

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueError(text)
        return text

    return parse


def parse_text(text: str) -> str:
    """Returns the text; raises ValueError if it is empty."""
    if not text:
        raise ValueError("empty")
    return text


def parse_url(text: str) -> str:
    """Returns an http or https URL; raises ValueError.

    The port is checked here because an invalid one would otherwise fail only
    at the first request, and the outcome of that request would be unknown.
    """
    url = url_parse.urlsplit(text)
    if url.scheme not in ("http", "https") or not url.hostname:
        raise ValueError(text)
    if url.port == 0 or url.query or url.fragment:
        raise ValueError(text)
    return text


def read_settings(
    table: Sequence[Setting],
    flags: Mapping[str, str | None],
    environ: Mapping[str, str],
) -> dict[str, Any]:
    """Returns the validated value of every setting in the table.

    Args:
        table: the settings of one binary.
        flags: text of each flag by setting name; None if not given.
        environ: the environment variables of the process.

    Raises:
        SettingError: names every setting that is missing or not allowed.
    """
    values: dict[str, Any] = {}
    problems: list[str] = []
    for setting in table:
        text = flags.get(setting.name)
        if text is None:
            text = environ.get(setting.variable, setting.default)
        if text is None:
            problems.append(f"{setting.flag} is required ({setting.allowed})")
            continue
        try:
            values[setting.name] = setting.parse(text)
        except (ValueError, exceptions.ModelError):
            shown = "not shown" if setting.is_secret else repr(text)
            problems.append(
                f"{setting.flag} is {shown}; allowed: {setting.allowed}"
            )
    if problems:
        raise exceptions.SettingError("; ".join(problems))
    return values
