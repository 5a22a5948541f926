"""Commands that only read: diff, history, status and dump."""

from collections.abc import Mapping
import json
from typing import Any

import attrs
from twisted.internet import defer

from filbertlift_cli import nodes
from filbertlift_cli import output
from filbertlift_cli import rollout
from filbertlift_config import head as heads
from filbertlift_config import section as codec
from filbertlift_core import env
from filbertlift_core import model
from filbertlift_store import interface


def compare(
    current: Mapping[str, codec.Section], wanted: Mapping[str, codec.Section]
) -> list[str]:
    """Returns lines that show how a tree differs from a version."""
    lines = []
    for name in sorted(current.keys() | wanted.keys()):
        if name not in wanted:
            lines.append(f"- {name} (only in the store)")
        elif name not in current:
            lines.append(f"+ {name} (only in the tree)")
        elif current[name] != wanted[name]:
            lines.append(f"~ {name}")
            lines += _compare_fields(current[name], wanted[name])
    return lines


def _compare_fields(old: codec.Section, new: codec.Section) -> list[str]:
    before = json.loads(codec.encode_section(old))
    after = json.loads(codec.encode_section(new))
    lines = []
    for key in sorted(before.keys() | after.keys()):
        if before.get(key) != after.get(key):
            lines.append(f"    {key}: {_format_value(before.get(key))}")
            lines.append(
                f"    {' ' * len(key)}  -> {_format_value(after.get(key))}"
            )
    return lines


def _format_value(value: Any) -> str:
    return json.dumps(value, sort_keys=True)


@defer.inlineCallbacks
def print_history(
    store: interface.Store, cluster: str, out: output.Output
) -> Any:
    """Prints the last versions, the newest first; returns the exit status."""
    entry = yield store.get(interface.head_key(cluster))
    if entry is None:
        out.print_line("no version was published")
        return env.EXIT_OK
    head = heads.decode_head(entry.value)
    for record in reversed(head.history):
        out.print_line(
            f"{record.version} publication={record.publication} "
            f"root={record.root[:16]}"
        )
    return env.EXIT_OK


@attrs.frozen
class StatusQuery:
    """What the command `status` looks for.

    Attributes:
        node: address of the pages of any node.
        version: the version looked for; None for the newest one seen.
    """

    node: model.Address
    version: int | None


@defer.inlineCallbacks
def print_status(reactor: Any, query: StatusQuery, out: output.Output) -> Any:
    """Prints whether a version is in force everywhere; returns the status."""
    fetch_page = nodes.make_page_fetcher(reactor)
    out.show_progress("asking the nodes")
    try:
        state = yield rollout.read_rollout(
            fetch_page, query.node, query.version
        )
    except nodes.NodeError as error:
        out.print_error(str(error))
        return env.EXIT_UNKNOWN
    for line in rollout.describe(state):
        out.print_line(line)
    return env.EXIT_OK if state.is_complete else env.EXIT_UNKNOWN


@defer.inlineCallbacks
def print_dump(reactor: Any, node: model.Address, out: output.Output) -> Any:
    """Prints the state of one node as JSON; returns the exit status."""
    fetch_page = nodes.make_page_fetcher(reactor)
    dump = yield fetch_page(node, "/dump", nodes.DUMP_TIMEOUT_S)
    out.print_line(json.dumps(dump, indent=2, sort_keys=True))
    return env.EXIT_OK
