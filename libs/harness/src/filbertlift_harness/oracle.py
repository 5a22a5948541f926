"""Compares the outcomes reported to callers with the runs at the targets.

It checks only the outcomes of calls, while `filbertlift_soak.oracle` also
checks timeouts, routes, repeats and versions.
"""

from collections.abc import Callable
from collections.abc import Iterable
import pathlib

import attrs

from filbertlift_standins import load

_IDEMPOTENT = ("GET",)


@attrs.define
class RunTotal:
    """Runs of one request id, added up over all targets.

    Attributes:
        started: number of runs that began.
        finished: number of runs that were completed.
        services: names of the services whose targets began a run.
    """

    started: int = 0
    finished: int = 0
    services: set[str] = attrs.Factory(set)


@attrs.frozen
class Verdict:
    """Numbers and ids of calls; the last five must be empty or zero.

    Attributes:
        sent: number of calls sent.
        whole: number of calls with a complete and correct response.
        not_run: number of calls reported to the caller as not run.
        unknown: number of calls reported with an unknown outcome.
        twice: calls that are not idempotent and began to run more than once.
        lost: calls reported as done that no target finished.
        false_not_run: calls reported as not run that a target began to run.
        wrong: calls whose response claimed to be complete but was not the
            expected one.
        unanswered: number of calls that had not ended for the caller.
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
    """Adds the runs of one target's journal to the totals.

    Args:
        lines: lines of the journal.
        service: service of the target.
        totals: runs by request id; changed in place.
    """
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
    """Returns the runs of every request id in several journals.

    Args:
        journals: service of the target by path of its journal.
    """
    totals: dict[str, RunTotal] = {}
    for path, service in journals.items():
        if path.exists():
            with open(path, encoding="utf-8") as file:
                parse_journal(file, service, totals)
    return totals


def compare_outcomes(
    records: list[load.CallRecord],
    totals: dict[str, RunTotal],
    unanswered: int = 0,
) -> Verdict:
    """Compares the records of the caller with the runs.

    Args:
        records: result of each call as the caller saw it.
        totals: runs at the targets by request id.
        unanswered: number of calls that had not ended for the caller.
    """
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
    no_runs = RunTotal()
    return tuple(
        record.planned.request_id
        for record in records
        if check(record, totals.get(record.planned.request_id, no_runs))
    )
