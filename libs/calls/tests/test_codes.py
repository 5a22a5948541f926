"""Tests that the operations page describes every code."""

import pathlib
import re

from filbertlift_calls import codes

ROOT = pathlib.Path(__file__).parents[3]
PAGE = ROOT / "docs" / "OPERATIONS.md"
_CODE = re.compile(r"\"(FL-[A-Z-]+)\"")


def find_codes() -> set[str]:
    """Returns all codes in the sources of the libraries and the platform."""
    found: set[str] = set()
    sources = [
        *ROOT.glob("libs/*/src/**/*.py"),
        *ROOT.glob("platform/**/*.py"),
    ]
    for path in sorted(sources):
        found.update(_CODE.findall(path.read_text(encoding="utf-8")))
    return found


def test_page_describes_every_code() -> None:
    """Guards against codes without a description, and stale descriptions."""
    text = PAGE.read_text(encoding="utf-8")
    described = set(re.findall(r"^\| `(FL-[A-Z-]+)` \|", text, re.MULTILINE))
    assert described == find_codes()


def test_page_gives_the_status_of_each_code_of_a_call() -> None:
    """Guards against a documented status that differs from the actual one."""
    text = PAGE.read_text(encoding="utf-8")
    for code, entry in codes.CODES.items():
        status = "target's" if code == codes.DONE else str(entry.status)
        assert f"| `{code}` | {status} |" in text, code
