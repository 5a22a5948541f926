"""Checks the parsed content of one file against the table of keys."""

from typing import Any
from typing import Final

import attrs

from filbertlift_config import keys

_TOP_KEYS = keys.select_keys("")
_TABLES = {"freshness": 1, "identity": 1}
_LIST_LIMITS = {"records": keys.MAX_RECORDS, "operations": keys.MAX_OPERATIONS}
_SERVICE_ONLY_KEYS = (
    "callers", "slots", "connections", "queue", "freshness", "records",
    "operations",
)  # fmt: skip
MAX_SHOWN_CHARACTERS: Final = 60


@attrs.frozen
class Fault:
    """A key that is missing, unknown or has an invalid value.

    Attributes:
        key: path of the key, such as `operations[2].class`.
        reason: what is wrong, and what is allowed.
    """

    key: str
    reason: str


@attrs.define
class Values:
    """Checked values of one file, with defaults filled in."""

    top: dict[str, Any] = attrs.field(factory=dict)
    freshness: dict[str, Any] = attrs.field(factory=dict)
    identity: dict[str, Any] = attrs.field(factory=dict)
    records: list[dict[str, Any]] = attrs.field(factory=list)
    operations: list[dict[str, Any]] = attrs.field(factory=list)


def check_document(content: dict[str, Any]) -> tuple[Values, list[Fault]]:
    """Returns the checked values and every fault of a parsed file."""
    faults: list[Fault] = []
    values = Values()
    plain = {
        name: value
        for name, value in content.items()
        if name not in _TABLES and name not in _LIST_LIMITS
    }
    values.top = _check_table(plain, _TOP_KEYS, "", faults)
    _check_kind(content, faults)
    for table in _TABLES:
        rows = _check_table(
            _get_table(content, table, faults),
            keys.select_keys(table),
            table,
            faults,
        )
        setattr(values, table, rows)
    for table, limit in _LIST_LIMITS.items():
        setattr(values, table, _check_list(content, table, limit, faults))
    if not faults:
        _check_rows(values, faults)
    return values, faults


def _check_kind(content: dict[str, Any], faults: list[Fault]) -> None:
    if ("service" in content) == ("caller" in content):
        faults.append(
            Fault("service", "exactly one of service and caller is required")
        )
        return
    if "service" in content:
        return
    for name in _SERVICE_ONLY_KEYS:
        if name in content:
            faults.append(Fault(name, "only a service can have this key"))


def _get_table(
    content: dict[str, Any], name: str, faults: list[Fault]
) -> dict[str, Any]:
    table = content.get(name, {})
    if isinstance(table, dict):
        return table
    faults.append(Fault(name, "must be a table"))
    return {}


def _check_list(
    content: dict[str, Any], name: str, limit: int, faults: list[Fault]
) -> list[dict[str, Any]]:
    rows = content.get(name, [])
    if not isinstance(rows, list) or len(rows) > limit:
        faults.append(Fault(name, f"must be a list of at most {limit} tables"))
        return []
    known = keys.select_keys(name)
    checked = []
    for number, row in enumerate(rows, start=1):
        place = f"{name}[{number}]"
        if not isinstance(row, dict):
            faults.append(Fault(place, "must be a table"))
            continue
        checked.append(_check_table(row, known, place, faults))
    return checked


def _check_table(
    content: dict[str, Any],
    known: dict[str, keys.Key],
    place: str,
    faults: list[Fault],
) -> dict[str, Any]:
    prefix = f"{place}." if place else ""
    values: dict[str, Any] = {}
    for name in content:
        if name not in known:
            faults.append(Fault(f"{prefix}{_show_value(name)}", "unknown key"))
    for name, key in known.items():
        if name not in content:
            _apply_default(key, prefix, values, faults)
            continue
        try:
            values[name] = key.check(content[name])
        except ValueError:
            reason = (
                f"{_show_value(content[name])} is not allowed: {key.allowed}"
            )
            faults.append(Fault(prefix + name, reason))
    return values


def _apply_default(
    key: keys.Key, prefix: str, values: dict[str, Any], faults: list[Fault]
) -> None:
    if key.default is not None:
        values[key.name] = key.check(key.default)
        return
    # The only keys of the top level without a default are `service` and
    # `caller`. _check_kind checks that the file has exactly one of them.
    if key.table:
        faults.append(Fault(prefix + key.name, f"missing: {key.allowed}"))


def _check_rows(values: Values, faults: list[Fault]) -> None:
    paths: set[str] = set()
    for number, row in enumerate(values.records, start=1):
        if row["path"] in paths:
            faults.append(Fault(f"records[{number}].path", "duplicate path"))
        if row["moved_to"] == values.top.get("service"):
            reason = "the service cannot hand over records to itself"
            faults.append(Fault(f"records[{number}].moved_to", reason))
        paths.add(row["path"])
    routes: set[tuple[str, str]] = set()
    for number, row in enumerate(values.operations, start=1):
        place = f"operations[{number}]"
        if (row["method"], row["path"]) in routes:
            faults.append(Fault(f"{place}.path", "duplicate method and path"))
        if row["hedge"] and not row["idempotent"]:
            faults.append(Fault(f"{place}.hedge", "needs idempotent = true"))
        routes.add((row["method"], row["path"]))


def _show_value(value: Any) -> str:
    """Returns a value as text for an error, cut to a limited length."""
    text = repr(value) if not isinstance(value, list | dict) else "this value"
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."
