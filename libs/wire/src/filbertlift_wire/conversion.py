"""Conversion between messages and the capnp headers of frames."""

from collections.abc import Callable
import pathlib
import re
from typing import Any

import attrs
import capnp

from filbertlift_core import exceptions as core_exceptions
from filbertlift_wire import converters
from filbertlift_wire import exceptions
from filbertlift_wire import messages

capnp.remove_import_hook()
SCHEMA = capnp.load(str(pathlib.Path(__file__).parent / "schema.capnp"))

# 8-byte words that a reader may visit. A header has at most 8,192 words;
# pointers that alias the same words cannot make a decoder visit more.
TRAVERSAL_LIMIT_WORDS = 16_384
NESTING_LIMIT = 8


@attrs.frozen
class Field:
    """How one field of a message is written and read."""

    name: str
    wire_name: str
    write: Callable[[Any], Any] | None
    read: Callable[[Any], Any] | None


@attrs.frozen
class Kind:
    """How one kind of message is written and read.

    Attributes:
        name: name in the union of `Header`.
        record: class of the message.
        fields: fields in the capnp header.
        has_body: whether the raw body of the frame is the field `body`.
    """

    name: str
    record: type
    fields: tuple[Field, ...]
    has_body: bool


# Travels in the raw body of a frame.
_RAW_FIELD = "body"


def make_wire_name(name: str) -> str:
    """Returns a field name in the style that capnp requires."""
    return re.sub("_(.)", lambda match: match[1].upper(), name)


def make_kind(record: type) -> Kind:
    """Returns how a record is written and read."""
    names = attrs.fields_dict(record)
    fields = []
    for name in names:
        if name == _RAW_FIELD:
            continue
        write, read = converters.CONVERTERS.get(name, (None, None))
        fields.append(Field(name, make_wire_name(name), write, read))
    kind_name = record.__name__[0].lower() + record.__name__[1:]
    return Kind(kind_name, record, tuple(fields), _RAW_FIELD in names)


_RECORDS: tuple[type, ...] = (
    messages.Hello,
    messages.Welcome,
    messages.Heartbeat,
    messages.Notice,
    messages.Fetch,
    messages.Update,
    messages.Gossip,
    messages.Digest,
    messages.Report,
    messages.Reported,
    messages.AskFloor,
    messages.Floor,
    messages.Ping,
    messages.Ack,
    messages.PingRequest,
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


def encode_header(message: Any) -> bytes:
    """Returns the capnp header of a message.

    Raises:
        WireError: if a value does not fit its field.
    """
    kind = KINDS[type(message)]
    try:
        values = convert_fields(message, kind)
        return SCHEMA.Header.new_message(**{kind.name: values}).to_bytes()
    except (
        ValueError,
        TypeError,
        OverflowError,
        capnp.KjException,
    ) as error:
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
            values = getattr(header, name).to_dict(verbose=True)
    except (capnp.KjException, ValueError) as error:
        # pycapnp appends a stack of addresses on further lines.
        reason = str(error).partition("\n")[0]
        raise exceptions.WireError("malformed", reason) from error
    return kind, values


def decode_header(header: bytes, body: bytes = b"") -> Any:
    """Returns the message of a header and the raw body of its frame.

    Raises:
        WireError: if the header is malformed or has a body it must not have.
    """
    kind, values = read_header(header)
    if kind.has_body:
        return build_record(kind, values, body=body)
    if body:
        raise exceptions.WireError("malformed", f"{kind.name} has a body")
    return build_record(kind, values)


def build_record(kind: Kind, values: dict[str, Any], **raw: Any) -> Any:
    """Returns the message of its capnp fields and its raw fields.

    Raises:
        WireError: if a field has a value that is not allowed.
    """
    try:
        return kind.record(**read_fields(values, kind), **raw)
    except (
        LookupError,
        TypeError,
        ValueError,
        core_exceptions.ModelError,
    ) as error:
        raise exceptions.WireError("malformed", str(error)) from error
