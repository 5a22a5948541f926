"""Roll-out: whether a version is in force everywhere, and where it is not."""

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

POLL_INTERVAL_S: Final = 0.5
# Lines printed for each state, to keep the output short; `dump` lists all.
MAX_LISTED: Final = 20
_DEAD_STATES = ("dead",)
_LEAVING_STATES = ("leaving",)


@attrs.frozen
class NodeReport:
    """State of one node.

    Attributes:
        address: address of its pages.
        service: service of its target.
        data_centre: data centre of its host.
        state: state in the member table, in lower case.
        version: version in force; None when it did not answer.
        ready: whether it takes calls.
        waiting_for: what it waits for, as the node reports it.
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
    """State of a version on all nodes.

    Attributes:
        version: the version looked for.
        in_force: nodes that have it or a newer one.
        lagging: nodes with an older one.
        silent: nodes that did not answer.
        leaving: nodes that are being stopped.
        slow: descriptions of the targets that the node which was asked has
            ejected as slow.
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
class WaitLimit:
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
    live = [item for item in reports if item.state not in _DEAD_STATES]
    versions = [item.version for item in live if item.version is not None]
    wanted = max(versions, default=0) if version is None else version
    answered = [item for item in live if item.version is not None]
    return Rollout(
        wanted,
        tuple(item for item in answered if (item.version or 0) >= wanted),
        tuple(item for item in answered if (item.version or 0) < wanted),
        tuple(item for item in live if item.version is None),
        tuple(item for item in live if item.state in _LEAVING_STATES),
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
    """Returns lines that describe the state; the first is the summary."""
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
    fetch_page: nodes.PageFetcher,
    node: model.Address,
    version: int | None,
    confirmed: dict[str, Any] | None = None,
) -> Any:
    """Asks every member and returns the `Rollout`.

    The Deferred fails with NodeError if `node` itself does not answer.

    Args:
        fetch_page: fetches a page of a node.
        node: address of the pages of any node.
        version: the version looked for; None for the newest one seen.
        confirmed: answers of nodes that have the version, by status address.
            These nodes are not asked again, since no node returns to an older
            version. New answers are added.
    """
    confirmed = {} if confirmed is None else confirmed
    dump = yield fetch_page(node, "/dump", nodes.DUMP_TIMEOUT_S)
    addresses = []
    for row in _list_rows(dump, "members"):
        if str(row.get("state")).lower() in _DEAD_STATES:
            continue
        try:
            address = model.Address.parse(str(row["status_address"]))
        except (KeyError, exceptions.ModelError):
            continue
        if str(address) not in confirmed:
            addresses.append(address)
    answers = yield nodes.fetch_pages(fetch_page, addresses, "/version")
    answers_by_address = {
        str(address): answer for address, answer in answers.items()
    }
    state = summarise(dump, {**confirmed, **answers_by_address}, version)
    for report in state.in_force:
        confirmed.setdefault(
            report.address, answers_by_address.get(report.address)
        )
    return state


@defer.inlineCallbacks
def wait_for_version(
    reactor: Any,
    node: model.Address,
    version: int,
    limit: WaitLimit,
    out: output.Output,
    fetch_page: nodes.PageFetcher | None = None,
) -> Any:
    """Waits until a version is in force everywhere; returns the exit status.

    Args:
        reactor: the reactor.
        node: address of the pages of any node.
        version: the version that was published.
        limit: longest wait.
        out: output for progress and the result.
        fetch_page: fetches a page of a node; None to use HTTP.
    """
    fetch_page = fetch_page or nodes.make_page_fetcher(reactor)
    started = reactor.seconds()
    state: Rollout | None = None
    confirmed: dict[str, Any] = {}
    while reactor.seconds() - started < limit.wait_s:
        try:
            state = yield read_rollout(fetch_page, node, version, confirmed)
        except nodes.NodeError as error:
            out.show_progress(f"waiting: {error}")
        if state is not None and state.is_complete:
            break
        if state is not None:
            out.show_progress("waiting: " + describe(state)[0])
        yield task.deferLater(reactor, POLL_INTERVAL_S)
    if state is None:
        out.print_error(
            f"no node reported whether version {version} is in force"
        )
        return env.EXIT_UNKNOWN
    for line in describe(state):
        out.print_line(line)
    return env.EXIT_OK if state.is_complete else env.EXIT_UNKNOWN
