"""Output of commands: progress and results.

On a terminal, each progress text overwrites the one before.
"""

from collections.abc import Callable
from collections.abc import Iterable
import sys
from typing import TextIO

import attrs

from filbertlift_config import file


@attrs.frozen
class Output:
    """Functions through which a command prints.

    Attributes:
        show_progress: prints what the command is doing now.
        print_line: prints a line of the result.
        print_error: prints an error or a warning.
    """

    show_progress: Callable[[str], None]
    print_line: Callable[[str], None]
    print_error: Callable[[str], None]

    def print_problems(self, problems: Iterable[file.Problem]) -> None:
        """Prints every problem, one line each."""
        for problem in problems:
            self.print_error(str(problem))


def make_output(
    stream: TextIO | None = None, errors: TextIO | None = None
) -> Output:
    """Returns the output of a command.

    Args:
        stream: for results; None for standard output.
        errors: for progress and errors; None for standard error.
    """
    out = stream or sys.stdout
    err = errors or sys.stderr
    on_terminal = err.isatty()
    last = ""

    def clear() -> None:
        if on_terminal:
            err.write("\r\x1b[K")
            err.flush()

    def show_progress(text: str) -> None:
        nonlocal last
        if text == last:
            return
        last = text
        clear()
        err.write(text if on_terminal else text + "\n")
        err.flush()

    def print_line(text: str) -> None:
        clear()
        out.write(text + "\n")
        out.flush()

    def print_error(text: str) -> None:
        clear()
        err.write(text + "\n")
        err.flush()

    return Output(show_progress, print_line, print_error)
