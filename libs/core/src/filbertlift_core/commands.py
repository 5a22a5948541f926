"""Command lines made from a table of settings."""

from collections.abc import Callable
from collections.abc import Sequence
import inspect
import sys
from typing import Any

import typer

from filbertlift_core import settings


def make_command(
    table: Sequence[settings.Setting],
    serve: Callable[[dict[str, str | None]], int],
    text: str,
) -> Callable[..., None]:
    """Returns a function that typer can use as a command.

    Args:
        table: the settings; each becomes an option.
        serve: takes the text of the options given and returns the exit
            status.
        text: help text of the command.
    """

    def command(**flags: str | None) -> None:
        sys.exit(serve(flags))

    parameters = [
        inspect.Parameter(
            setting.name,
            inspect.Parameter.KEYWORD_ONLY,
            default=typer.Option(
                None,
                setting.flag,
                help=_describe(setting),
                show_default=False,
            ),
            annotation=str | None,
        )
        for setting in table
    ]
    # typer reads the options from the signature.
    made: Any = command
    made.__signature__ = inspect.Signature(parameters)
    made.__annotations__ = {item.name: item.annotation for item in parameters}
    made.__doc__ = text
    return command


def _describe(setting: settings.Setting) -> str:
    default = (
        "required"
        if setting.default is None
        else f"default {setting.default!r}"
    )
    return (
        f"{setting.help} Allowed: {setting.allowed}; {default};"
        f" variable {setting.variable}."
    )
