"""Command line options generated from a table of settings."""

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
    help_text: str,
) -> Callable[..., None]:
    """Returns a function that typer can use as a command.

    Args:
        table: the settings; each becomes an option.
        serve: runs the command; takes the text of each option, None for
            options not given, and returns the exit status.
        help_text: help text of the command.
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
    # typer derives the options from the signature.
    typer_command: Any = command
    typer_command.__signature__ = inspect.Signature(parameters)
    typer_command.__annotations__ = {
        option.name: option.annotation for option in parameters
    }
    typer_command.__doc__ = help_text
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
