"""Settings: one table for each binary with defaults, units and checks.

A value comes from a flag, else from the environment variable
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
    """One row of a table of settings.

    Attributes:
        name: name with underscores; the flag has hyphens.
        parse: turns text into a value; raises ValueError or ModelError.
        default: text of the default, or None when a value is required.
        allowed: what is allowed, in words, for the error and the docs.
        help: what it does, with its unit.
        is_secret: whether its value stays out of errors.
    """

    name: str
    parse: Parser
    default: str | None
    allowed: str
    help: str
    is_secret: bool = False

    @property
    def flag(self) -> str:
        """The name of the command line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def variable(self) -> str:
        """The name of the environment variable."""
        return env.PREFIX + self.name.upper()


def make_number_parser(
    low: float, high: float, kind: Callable[[str], float] = float
) -> Parser:
    """Returns a parser of numbers from `low` to `high`, both allowed."""

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
    """Returns text that is not empty."""
    if not text:
        raise ValueError("empty")
    return text


def parse_url(text: str) -> str:
    """Returns an http or https URL; raises ValueError.

    The port is checked here: a wrong one would show only at the first
    request, as a failure that may have had an effect.
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
    """Returns the checked value of every setting in the table.

    Args:
        table: the settings of one binary.
        flags: text given by flag for each name; None where not given.
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
