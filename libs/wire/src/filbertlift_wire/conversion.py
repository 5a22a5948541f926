"""Conversion between messages and the capnp headers of frames."""

from collections.abc import Callable
import pathlib
import re
from typing import Any

import attrs
import capnp

from filbertlift_core import exceptions as core_exceptions
from filbertlift_core import model
from filbertlift_wire import exceptions
from filbertlift_wire import messages

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).parent / "schema.capnp"))

# 8-byte words that a reader may visit. A header has at most 8,192 words;
# pointers that alias the same words cannot make a decoder visit more.
TRAVERSAL_LIMIT_WORDS = 16_384
NESTING_LIMIT = 8

OUTCOMES = (model.Outcome.DONE, model.Outcome.NOT_RUN, model.Outcome.UNKNOWN)
OUTCOME_NUMBERS = {outcome: index for index, outcome in enumerate(OUTCOMES)}


def flatten_headers(headers: tuple[messages.Header, ...]) -> list[str]:
    """Returns name and value of each header in turn."""
    flat = []
    for header in headers:
        flat.append(header.name)
        flat.append(header.value)
    return flat


def pair_headers(flat: list[str]) -> tuple[messages.Header, ...]:
    """Returns the headers of a flat list; raises ValueError if it is odd."""
    names = iter(flat)
    return tuple(
        messages.Header(name, value)
        for name, value in zip(names, names, strict=True)
    )


def convert_member(member: model.Member) -> dict[str, Any]:
    """Returns the capnp fields of a member."""
    return {
        "address": str(member.address),
        "region": member.place.region,
        "dataCentre": member.place.data_centre,
        "service": member.service,
        "target": str(member.target),
        "incarnation": member.incarnation,
        "state": int(member.state),
        "status": str(member.status),
    }


def read_member(fields: dict[str, Any]) -> model.Member:
    """Returns the member of capnp fields."""
    parse = model.Address.parse
    return model.Member(
        address=parse(fields["address"]),
        place=model.Place(fields["region"], fields["dataCentre"]),
        service=fields["service"],
        target=parse(fields["target"]),
        incarnation=fields["incarnation"],
        state=model.MemberState(fields["state"]),
        status=parse(fields["status"]),
    )


@attrs.frozen
class Field:
    """How one field of a message is written and read."""

    name: str
    wire_name: str
    write: Callable[[Any], Any] | None
    read: Callable[[Any], Any] | None


@attrs.frozen
class Kind:
    """How one kind of message is written and read."""

    name: str
    record: type
    fields: tuple[Field, ...]


_CONVERTERS: dict[str, tuple[Callable[[Any], Any], Callable[[Any], Any]]] = {
    "headers": (flatten_headers, pair_headers),
    "outcome": (OUTCOME_NUMBERS.__getitem__, lambda n: OUTCOMES[n]),
    "member": (convert_member, read_member),
    "members": (
        lambda members: [convert_member(member) for member in members],
        lambda members: tuple(read_member(member) for member in members),
    ),
    "entries": (
        lambda entries: [
            {"dataCentre": entry.data_centre, "digest": entry.digest}
            for entry in entries
        ],
        lambda entries: tuple(
            messages.DigestEntry(entry["dataCentre"], entry["digest"])
            for entry in entries
        ),
    ),
    "address": (str, model.Address.parse),
    "sender": (str, model.Address.parse),
    "about": (str, model.Address.parse),
}

# Travels in the raw body of a frame.
_RAW_FIELD = "body"


def make_wire_name(name: str) -> str:
    """Returns a field name in the style that capnp requires."""
    return re.sub("_(.)", lambda match: match[1].upper(), name)


def make_kind(record: type) -> Kind:
    """Returns how a record is written and read."""
    fields = []
    for name in attrs.fields_dict(record):
        if name == _RAW_FIELD:
            continue
        write, read = _CONVERTERS.get(name, (None, None))
        fields.append(Field(name, make_wire_name(name), write, read))
    kind = record.__name__[0].lower() + record.__name__[1:]
    return Kind(kind, record, tuple(fields))


_RECORDS: tuple[type, ...] = (
    *messages.Message.__args__,
    *messages.Datagram.__args__,
)
KINDS: dict[type, Kind] = {record: make_kind(record) for record in _RECORDS}
KINDS_BY_NAME: dict[str, Kind] = {kind.name: kind for kind in KINDS.values()}


def convert_fields(message: Any, kind: Kind) -> dict[str, Any]:
    """Returns the capnp fields of a message."""
    values = {}
    for field in kind.fields:
        value = getattr(message, field.name)
        values[field.wire_name] = field.write(value) if field.write else value
    return values


def read_fields(values: dict[str, Any], kind: Kind) -> dict[str, Any]:
    """Returns the record's fields of capnp fields."""
    fields = {}
    for field in kind.fields:
        value = values[field.wire_name]
        fields[field.name] = field.read(value) if field.read else value
    return fields


def write_header(kind: Kind, values: dict[str, Any]) -> bytes:
    """Returns the capnp header of a message.

    Raises:
        WireError: if a value does not fit its field.
    """
    try:
        return SCHEMA.Header.new_message(**{kind.name: values}).to_bytes()
    except (capnp.KjException, ValueError, TypeError, OverflowError) as error:
        raise exceptions.WireError("out-of-range", str(error)) from error


def read_header(data: bytes) -> tuple[Kind, dict[str, Any]]:
    """Returns the kind and the capnp fields of a header.

    Raises:
        WireError: if the header is malformed or of an unknown kind.
    """
    try:
        with SCHEMA.Header.from_bytes(
            data,
            traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS,
            nesting_limit=NESTING_LIMIT,
        ) as header:
            name = str(header.which())
            kind = KINDS_BY_NAME.get(name)
            if kind is None:
                raise exceptions.WireError("unknown-kind", name)
            values = getattr(header, name).to_dict()
    except (capnp.KjException, ValueError) as error:
        raise exceptions.WireError("malformed", str(error)) from error
    return kind, values


def build_record(kind: Kind, fields: dict[str, Any]) -> Any:
    """Returns the message of its fields.

    Raises:
        WireError: if a field has a value that is not allowed.
    """
    try:
        return kind.record(**fields)
    except (TypeError, ValueError, core_exceptions.ModelError) as error:
        raise exceptions.WireError("malformed", str(error)) from error
