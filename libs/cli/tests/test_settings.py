"""Checks that the page of settings matches the table of `filbertlift`."""

import pathlib

from filbertlift_cli import settings

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"


def test_page_describes_every_setting() -> None:
    """Guards against a setting or default that is missing on the page."""
    page = PAGE.read_text(encoding="utf-8")
    # The node's settings come earlier on the page and share some names.
    text = page.partition("## Settings of `filbertlift`\n")[2]
    for row in settings.TABLE:
        start = text.index(f"| `{row.flag}` | `{row.variable}` | ")
        line = text[start : text.index("\n", start)]
        assert not row.default or f"`{row.default}`" in line, line
