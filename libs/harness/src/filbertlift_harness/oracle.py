"""Compares what callers were told with what the targets ran."""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib

import attrs

from filbertlift_standins import load

_IDEMPOTENT = ("GET",)


@attrs.define
class RunTotal:
    """What one request id caused at all targets together.

    Attributes:
        started: runs begun.
        finished: runs that ended by themselves.
        services: services whose targets began a run.
    """

    started: int = 0
    finished: int = 0
    services: set[str] = attrs.Factory(set)


@attrs.frozen
class Verdict:
    """Counts of calls; the last five must be zero.

    Attributes:
        sent: calls sent.
        whole: calls answered whole.
        not_run: calls of which the caller was told that they did not run.
        unknown: calls with an unknown outcome.
        twice: calls that are not idempotent and began to run twice.
        lost: calls reported as done that no target ran.
        false_not_run: calls reported as not run that a target ran.
        wrong: answers presented as whole that were not.
        unanswered: calls that never ended for the caller.
    """

    sent: int
    whole: int
    not_run: int
    unknown: int
    twice: tuple[str, ...]
    lost: tuple[str, ...]
    false_not_run: tuple[str, ...]
    wrong: tuple[str, ...]
    unanswered: int

    def list_problems(self) -> list[str]:
        """Returns one line for each kind of broken guarantee."""
        problems = []
        for name in ("twice", "lost", "false_not_run", "wrong"):
            ids = getattr(self, name)
            if ids:
                problems.append(f"{name}={len(ids)} such as {ids[0]}")
        if self.unanswered:
            problems.append(f"unanswered={self.unanswered}")
        return problems


def parse_journal(
    lines: Iterable[str], service: str, totals: dict[str, RunTotal]
) -> None:
    """Adds the runs of one target's journal to the totals."""
    for line in lines:
        words = line.split()
        if len(words) != 3:
            continue
        event, request_id, _ = words
        total = totals.setdefault(request_id, RunTotal())
        if event == "start":
            total.started += 1
            total.services.add(service)
        elif event == "finish":
            total.finished += 1


def read_journals(journals: dict[pathlib.Path, str]) -> dict[str, RunTotal]:
    """Returns the runs of every request id.

    Args:
        journals: the service of each target's journal.
    """
    totals: dict[str, RunTotal] = {}
    for path, service in journals.items():
        if path.exists():
            with open(path, encoding="utf-8") as file:
                parse_journal(file, service, totals)
    return totals


def judge(
    records: list[load.CallRecord],
    totals: dict[str, RunTotal],
    unanswered: int = 0,
) -> Verdict:
    """Compares the records of the caller with the runs."""
    outcomes = [record.outcome for record in records]
    return Verdict(
        sent=len(records) + unanswered,
        whole=outcomes.count("done"),
        not_run=outcomes.count("not-run"),
        unknown=outcomes.count("unknown"),
        twice=_list_ids(records, totals, _ran_twice),
        lost=_list_ids(records, totals, _was_lost),
        false_not_run=_list_ids(records, totals, _ran_although_not_run),
        wrong=tuple(
            record.planned.request_id
            for record in records
            if record.outcome == "wrong"
        ),
        unanswered=unanswered,
    )


def _ran_twice(record: load.CallRecord, total: RunTotal) -> bool:
    idempotent = record.planned.operation.method in _IDEMPOTENT
    return not idempotent and total.started > 1


def _was_lost(record: load.CallRecord, total: RunTotal) -> bool:
    return record.outcome == "done" and total.finished == 0


def _ran_although_not_run(record: load.CallRecord, total: RunTotal) -> bool:
    return record.outcome == "not-run" and total.started > 0


def _list_ids(
    records: list[load.CallRecord],
    totals: dict[str, RunTotal],
    check: Callable[[load.CallRecord, RunTotal], bool],
) -> tuple[str, ...]:
    nothing = RunTotal()
    return tuple(
        record.planned.request_id
        for record in records
        if check(record, totals.get(record.planned.request_id, nothing))
    )
