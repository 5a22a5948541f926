"""Command `check`: reports every error in a tree of operators' files."""

import pathlib

from filbertlift_cli import output
from filbertlift_cli import tree as trees
from filbertlift_core import env


def run_check(root: pathlib.Path, out: output.Output) -> int:
    """Checks a tree; returns the exit status."""
    tree = trees.read_tree(root)
    problems = trees.check_tree(tree)
    if problems:
        out.print_problems(problems)
        out.print_error(f"{len(problems)} problems; nothing to publish")
        return env.EXIT_REJECTED
    out.print_line(f"{len(tree.sections)} sections are valid")
    return env.EXIT_OK
