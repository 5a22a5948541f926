"""Section: the checked content of one operator's file, and its encoding.

A section is stored as canonical JSON in the shape of the operator's file, so
that one set of checks serves both.
"""

import hashlib
import json
from typing import Any
from typing import Final

import attrs

from filbertlift_config import document
from filbertlift_config import exceptions
from filbertlift_config import keys
from filbertlift_core import model

# A file of 64 KB stays below this after defaults and durations are written out.
MAX_SECTION_BYTES: Final = 262_144

_CLASS_WORDS = {value: word for word, value in keys.WORK_CLASSES.items()}


@attrs.frozen
class Freshness:
    """When a version is stale, and what happens to calls then.

    Attributes:
        max_age_ms: age in milliseconds from which the version is stale.
        when_stale: `serve` or `refuse`.
    """

    max_age_ms: int = 15_000
    when_stale: str = "serve"


@attrs.frozen
class Record:
    """Prefix of the paths of records that another service has now."""

    path: str
    moved_to: str


@attrs.frozen
class Operation:
    """How calls of one method and path prefix may be run.

    Attributes:
        method: HTTP method; empty for the defaults without an operation.
        path: prefix of whole segments.
        work_class: class of work.
        idempotent: whether running the call twice does no harm.
        deadline_ms: time in milliseconds that the caller waits.
        retries: further attempts after the first.
        hedge: whether a slow call is sent to a second target.
    """

    method: str
    path: str
    work_class: model.WorkClass = model.WorkClass.COUNTER
    idempotent: bool = False
    deadline_ms: int = 5_000
    retries: int = 0
    hedge: bool = False


@attrs.frozen
class Section:
    """The configuration of one service or caller.

    Attributes:
        name: name of the service or caller.
        kind: `service` or `caller`.
        callers: names of those that may call the service, sorted.
        slots: concurrent calls of a target.
        connections: connections of a target.
        queue: calls that can be queued for a target.
        freshness: when a version is stale for this service.
        records: records that were handed over, by path.
        operations: operations by path and method.
        keys: base64 Ed25519 public keys in the order of the file.
    """

    name: str
    kind: str = "service"
    callers: tuple[str, ...] = ()
    slots: int = 16
    connections: int = 100
    queue: int = 200
    freshness: Freshness = Freshness()
    records: tuple[Record, ...] = ()
    operations: tuple[Operation, ...] = ()
    keys: tuple[str, ...] = ()


def build_section(
    content: dict[str, Any],
) -> tuple[Section | None, list[document.Fault]]:
    """Returns the section of a parsed file, or every fault found in it."""
    values, faults = document.check_document(content)
    if faults:
        return None, faults
    if "caller" in values.top:
        keys_of_caller = values.identity["keys"]
        name = values.top["caller"]
        return Section(name, kind="caller", keys=keys_of_caller), []
    return _build_service(values), []


def _build_service(values: document.Values) -> Section:
    records = [Record(**row) for row in values.records]
    operations = []
    for row in values.operations:
        fields = dict(row)
        fields["work_class"] = fields.pop("class")
        fields["deadline_ms"] = fields.pop("deadline")
        operations.append(Operation(**fields))
    top = values.top
    return Section(
        name=top["service"],
        kind="service",
        callers=tuple(sorted(top["callers"])),
        slots=top["slots"],
        connections=top["connections"],
        queue=top["queue"],
        freshness=Freshness(
            values.freshness["max_age"], values.freshness["when_stale"]
        ),
        records=tuple(sorted(records, key=lambda item: item.path)),
        operations=tuple(
            sorted(operations, key=lambda item: (item.path, item.method))
        ),
        keys=values.identity["keys"],
    )


def encode_section(section: Section) -> bytes:
    """Returns the canonical JSON of a section."""
    content: dict[str, Any] = {section.kind: section.name}
    content["identity"] = {"keys": list(section.keys)}
    if section.kind == "service":
        content.update(_encode_service(section))
    return encode_canonical(content)


def _encode_service(section: Section) -> dict[str, Any]:
    return {
        "callers": list(section.callers),
        "slots": section.slots,
        "connections": section.connections,
        "queue": section.queue,
        "freshness": {
            "max_age": f"{section.freshness.max_age_ms}ms",
            "when_stale": section.freshness.when_stale,
        },
        "records": [
            {"path": item.path, "moved_to": item.moved_to}
            for item in section.records
        ],
        "operations": [_encode_operation(item) for item in section.operations],
    }


def _encode_operation(operation: Operation) -> dict[str, Any]:
    return {
        "method": operation.method,
        "path": operation.path,
        "class": _CLASS_WORDS[operation.work_class],
        "idempotent": operation.idempotent,
        "deadline": f"{operation.deadline_ms}ms",
        "retries": operation.retries,
        "hedge": operation.hedge,
    }


def decode_section(data: bytes) -> Section:
    """Returns the section in canonical JSON after repeating every check.

    Raises:
        SectionError: if the bytes are too long, not JSON, not valid or not
            in the canonical form.
    """
    content = decode_object(data, MAX_SECTION_BYTES, exceptions.SectionError)
    section, faults = build_section(content)
    if section is None:
        text = "; ".join(f"{fault.key}: {fault.reason}" for fault in faults)
        raise exceptions.SectionError(f"section is not valid: {text}")
    if encode_section(section) != data:
        raise exceptions.SectionError(
            f"section {section.name} is not in canonical form"
        )
    return section


def encode_canonical(content: Any) -> bytes:
    """Returns JSON with sorted keys and no spaces."""
    text = json.dumps(
        content, sort_keys=True, separators=(",", ":"), ensure_ascii=True
    )
    return text.encode("ascii")


def decode_object(
    data: bytes, limit: int, error: type[exceptions.ConfigError]
) -> dict[str, Any]:
    """Returns a JSON object of at most `limit` bytes; raises `error`."""
    if len(data) > limit:
        raise error(f"{len(data)} bytes are more than {limit}")
    try:
        content = json.loads(data.decode("ascii"))
    except (ValueError, RecursionError) as cause:
        raise error(f"not JSON: {cause}") from cause
    if not isinstance(content, dict):
        raise error("not a JSON object")
    return content


def hash_bytes(data: bytes) -> str:
    """Returns the SHA-256 of data in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
