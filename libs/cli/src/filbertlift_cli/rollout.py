"""Roll-out: whether a version is in force everywhere, and who lags."""

from collections.abc import Mapping
from typing import Any
from typing import Final

import attrs
from twisted.internet import defer
from twisted.internet import task

from filbertlift_cli import nodes
from filbertlift_cli import output
from filbertlift_core import env
from filbertlift_core import exceptions
from filbertlift_core import model

POLL_S: Final = 0.5
# Longer lists do not help at a glance; `dump` has everything.
MAX_LISTED: Final = 20
_GONE = ("dead",)
_LEAVING = ("leaving",)


@attrs.frozen
class NodeReport:
    """What is known of one node.

    Attributes:
        address: address of its pages.
        service: service of its target.
        data_centre: data centre of its host.
        state: state in the member table, in small letters.
        version: version in force; None when it did not answer.
        ready: whether it takes calls.
        waiting_for: what it waits for, in its words.
    """

    address: str
    service: str
    data_centre: str
    state: str
    version: int | None
    ready: bool
    waiting_for: str

    def __str__(self) -> str:
        place = f"{self.address} ({self.service}, {self.data_centre})"
        if self.version is None:
            return f"{place}: no answer, {self.state}"
        parts = [f"version {self.version}"]
        if not self.ready:
            parts.append("not ready")
        if self.waiting_for:
            parts.append(f"waiting for {self.waiting_for}")
        return f"{place}: {', '.join(parts)}"


@attrs.frozen
class Rollout:
    """State of a version over all nodes.

    Attributes:
        version: the version looked for.
        in_force: nodes that have it or a newer one.
        lagging: nodes with an older one.
        silent: nodes that did not answer.
        leaving: nodes that are being stopped.
        slow: targets that the asked node holds to be slow, in words.
    """

    version: int
    in_force: tuple[NodeReport, ...]
    lagging: tuple[NodeReport, ...]
    silent: tuple[NodeReport, ...]
    leaving: tuple[NodeReport, ...]
    slow: tuple[str, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every live node answered and has the version."""
        return bool(self.in_force) and not self.lagging and not self.silent


@attrs.frozen
class Limit:
    """How long to wait for a version, in seconds."""

    wait_s: float


def summarise(
    dump: Mapping[str, Any],
    answers: Mapping[str, Mapping[str, Any] | None],
    version: int | None,
) -> Rollout:
    """Returns the state of a version.

    Args:
        dump: page `/dump` of one node.
        answers: page `/version` by status address; None without an answer.
        version: the version looked for; None for the newest one seen.
    """
    reports = [
        _make_report(row, answers.get(str(row.get("status_address"))))
        for row in _list_rows(dump, "members")
    ]
    live = [item for item in reports if item.state not in _GONE]
    held = [item.version for item in live if item.version is not None]
    wanted = max(held, default=0) if version is None else version
    answered = [item for item in live if item.version is not None]
    return Rollout(
        wanted,
        tuple(item for item in answered if (item.version or 0) >= wanted),
        tuple(item for item in answered if (item.version or 0) < wanted),
        tuple(item for item in live if item.version is None),
        tuple(item for item in live if item.state in _LEAVING),
        tuple(_describe_slow(_list_rows(dump, "targets"))),
    )


def _list_rows(dump: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    rows = dump.get(name)
    if not isinstance(rows, list):
        return []
    return [row for row in rows if isinstance(row, dict)]


def _make_report(
    member: Mapping[str, Any], answer: Mapping[str, Any] | None
) -> NodeReport:
    version = answer.get("version") if answer is not None else None
    return NodeReport(
        str(member.get("status_address")),
        str(member.get("service")),
        str(member.get("data_centre")),
        str(member.get("state")).lower(),
        version if isinstance(version, int) else None,
        bool(answer and answer.get("ready")),
        _describe_wait(answer),
    )


def _describe_wait(answer: Mapping[str, Any] | None) -> str:
    if answer is None or not answer.get("waiting_for"):
        return ""
    waiting = answer["waiting_for"]
    if isinstance(waiting, list):
        return ", ".join(map(str, waiting))
    return str(waiting)


def _describe_slow(rows: list[Mapping[str, Any]]) -> list[str]:
    slow = []
    for row in rows:
        if not row.get("ejected"):
            continue
        text = f"{row.get('address')} ({row.get('service')})"
        latency_s = row.get("latency_s")
        if isinstance(latency_s, int | float):
            text += f", {1_000 * latency_s:.0f} ms"
        slow.append(text)
    return sorted(slow)


def describe(state: Rollout) -> list[str]:
    """Returns the state in lines, the answer first."""
    total = len(state.in_force) + len(state.lagging) + len(state.silent)
    verdict = "in force everywhere" if state.is_complete else "NOT everywhere"
    lines = [
        f"version {state.version} is {verdict}: {len(state.in_force)} of "
        f"{total} nodes"
    ]
    for title, items in (
        ("lagging", state.lagging),
        ("silent", state.silent),
        ("leaving", state.leaving),
        ("slow", state.slow),
    ):
        lines += [f"  {title}: {item}" for item in items[:MAX_LISTED]]
        if len(items) > MAX_LISTED:
            lines.append(f"  {title}: {len(items) - MAX_LISTED} more")
    return lines


@defer.inlineCallbacks
def read_rollout(
    ask: nodes.Ask,
    node: model.Address,
    version: int | None,
    held: dict[str, Any] | None = None,
) -> Any:
    """Returns the `Rollout` as seen by asking every member.

    The Deferred fails with NodeError when the node itself does not answer.

    Args:
        ask: reads pages.
        node: address of the pages of any node.
        version: the version looked for; None for the newest one seen.
        held: answers of nodes that have the version, by status address.
            These are not asked again, since no node returns to an older
            version. New ones are added.
    """
    held = {} if held is None else held
    dump = yield ask(node, "/dump", nodes.DUMP_TIMEOUT_S)
    addresses = []
    for row in _list_rows(dump, "members"):
        if str(row.get("state")).lower() in _GONE:
            continue
        try:
            address = model.Address.parse(str(row["status_address"]))
        except (KeyError, exceptions.ModelError):
            continue
        if str(address) not in held:
            addresses.append(address)
    answers = yield nodes.ask_all(ask, addresses, "/version")
    by_text = {str(address): answer for address, answer in answers.items()}
    state = summarise(dump, {**held, **by_text}, version)
    for report in state.in_force:
        held.setdefault(report.address, by_text.get(report.address))
    return state


@defer.inlineCallbacks
def wait_for_version(
    reactor: Any,
    node: model.Address,
    version: int,
    limit: Limit,
    shown: output.Output,
    ask: nodes.Ask | None = None,
) -> Any:
    """Waits until a version is in force everywhere; returns the exit status.

    Args:
        reactor: the reactor.
        node: address of the pages of any node.
        version: the version.
        limit: longest wait.
        shown: where progress and the result are printed.
        ask: reads pages; None for HTTP.
    """
    ask = ask or nodes.make_ask(reactor)
    started = reactor.seconds()
    state: Rollout | None = None
    held: dict[str, Any] = {}
    while reactor.seconds() - started < limit.wait_s:
        try:
            state = yield read_rollout(ask, node, version, held)
        except nodes.NodeError as error:
            shown.show_progress(f"waiting: {error}")
        if state is not None and state.is_complete:
            break
        if state is not None:
            shown.show_progress("waiting: " + describe(state)[0])
        yield task.deferLater(reactor, POLL_S)
    if state is None:
        shown.print_error(f"no node told whether version {version} is in force")
        return env.EXIT_UNKNOWN
    for line in describe(state):
        shown.print_line(line)
    return env.EXIT_OK if state.is_complete else env.EXIT_UNKNOWN
