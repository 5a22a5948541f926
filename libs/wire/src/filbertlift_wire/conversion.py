"""Conversion between messages and the capnp headers of frames."""

from collections.abc import Callable
import pathlib
import re
import struct
from typing import Any

import attrs
import capnp
from filbertlift_core import exceptions as core_exceptions

from filbertlift_wire import converters
from filbertlift_wire import exceptions
from filbertlift_wire import layouts
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
        write: returns the header of a flat message, without pycapnp.
        read: returns the message of a header and a body, or None when the
            header is of another layout; it works without pycapnp.
    """

    name: str
    record: type
    fields: tuple[Field, ...]
    has_body: bool
    write: Callable[[Any], bytes] | None = None
    read: Callable[[bytes, bytes], Any] | None = None


# These travel in the raw body.
_RAW_FIELDS = ("body", "head", "changed")


def make_wire_name(name: str) -> str:
    """Returns a field name in the style that capnp requires."""
    return re.sub("_(.)", lambda match: match[1].upper(), name)


def make_kind(record: type) -> Kind:
    """Returns how a record is written and read."""
    names = attrs.fields_dict(record)
    fields = []
    for name in names:
        if name in _RAW_FIELDS:
            continue
        write, read = converters.CONVERTERS.get(name, (None, None))
        fields.append(Field(name, make_wire_name(name), write, read))
    kind_name = record.__name__[0].lower() + record.__name__[1:]
    kind = Kind(kind_name, record, tuple(fields), "body" in names)
    layout = layouts.make_layout(SCHEMA, kind_name)
    # A kind that shares its structure with another may lack a field.
    if layout is None or len(layout.names) != len(fields):
        return kind
    return attrs.evolve(
        kind,
        write=make_flat_writer(layout, kind),
        read=make_flat_reader(layout, kind),
    )


def order_fields(layout: layouts.Layout, kind: Kind) -> list[Field]:
    """Returns the fields in the order of the layout."""
    by_name = {field.wire_name: field for field in kind.fields}
    return [by_name[name] for name in layout.names]


def make_flat_writer(
    layout: layouts.Layout, kind: Kind
) -> Callable[[Any], bytes]:
    """Returns a function that writes the header of a flat message."""
    fields = order_fields(layout, kind)
    get_values = layouts.make_getter([field.name for field in fields])
    write_values = layouts.make_writer(layout)
    converters = [
        (index, field.write)
        for index, field in enumerate(fields)
        if field.write is not None
    ]

    def write(message: Any) -> bytes:
        values = get_values(message)
        if converters:
            values = list(values)
            for index, convert in converters:
                values[index] = convert(values[index])
        return write_values(values)

    return write


def make_flat_reader(
    layout: layouts.Layout, kind: Kind
) -> Callable[[bytes, bytes], Any]:
    """Returns a function that reads a flat message."""
    fields = order_fields(layout, kind)
    read_values = layouts.make_reader(layout)
    converters = [
        (index, field.read)
        for index, field in enumerate(fields)
        if field.read is not None
    ]
    names = [field.name for field in fields] + ["body"]
    wanted = [names.index(name) for name in attrs.fields_dict(kind.record)]
    reorder = layouts.make_reorder(wanted)
    record = kind.record

    def read(header: bytes, body: bytes) -> Any:
        try:
            values = read_values(header)
            if values is None:
                return None
            for index, convert in converters:
                values[index] = convert(values[index])
        except (
            ValueError,
            IndexError,
            core_exceptions.ModelError,
        ) as error:
            raise exceptions.WireError("malformed", str(error)) from error
        values.append(body)
        return record(*reorder(values))

    return read


_RECORDS: tuple[type, ...] = (
    *messages.Message.__args__,
    *messages.Datagram.__args__,
)
KINDS: dict[type, Kind] = {record: make_kind(record) for record in _RECORDS}
KINDS_BY_NAME: dict[str, Kind] = {kind.name: kind for kind in KINDS.values()}
KINDS_BY_TAG: dict[int, Kind] = {
    field.discriminantValue: KINDS_BY_NAME[field.name]
    for field in SCHEMA.Header.schema.node.struct.fields
    if field.name in KINDS_BY_NAME
}


def convert_fields(message: Any, kind: Kind) -> dict[str, Any]:
    """Returns the capnp fields of a message."""
    values = {}
    for field in kind.fields:
        value = getattr(message, field.name)
        values[field.wire_name] = field.write(value) if field.write else value
    if isinstance(message, messages.Update):
        values["headBytes"] = len(message.head)
        values["changed"] = [
            {"name": section.name, "bytes": len(section.data)}
            for section in message.changed
        ]
    return values


def read_fields(values: dict[str, Any], kind: Kind) -> dict[str, Any]:
    """Returns the record's fields of capnp fields."""
    fields = {}
    for field in kind.fields:
        value = values[field.wire_name]
        fields[field.name] = field.read(value) if field.read else value
    return fields


def encode_header(kind: Kind, message: Any) -> bytes:
    """Returns the capnp header of a message.

    Raises:
        WireError: if a value does not fit its field.
    """
    write = kind.write
    try:
        if write is not None:
            return write(message)
        return write_header(kind, convert_fields(message, kind))
    except (
        ValueError,
        TypeError,
        OverflowError,
        struct.error,
        capnp.KjException,
    ) as error:
        raise exceptions.WireError("out-of-range", str(error)) from error


def write_header(kind: Kind, values: dict[str, Any]) -> bytes:
    """Returns the capnp header of capnp fields, written by pycapnp."""
    return SCHEMA.Header.new_message(**{kind.name: values}).to_bytes()


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


def decode_header(header: bytes, body: bytes) -> Any:
    """Returns the message of a flat header, None if pycapnp has to read it.

    Raises:
        WireError: if the header is malformed or has a body it must not have.
    """
    kind = KINDS_BY_TAG.get(layouts.read_tag(header))
    if kind is None or kind.read is None:
        return None
    if body and not kind.has_body:
        raise exceptions.WireError("malformed", f"{kind.name} has a body")
    return kind.read(header, body)


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
