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

# Bounds the 8-byte words that are visited while a header is decoded. A header
# has at most 8,192 words, but several pointers can refer to the same words, so
# that these are visited several times.
TRAVERSAL_LIMIT_WORDS = 16_384
NESTING_LIMIT = 8


@attrs.frozen
class Field:
    """Conversion of one field of a message.

    Attributes:
        name: name of the field in the message class.
        wire_name: name of the field in the capnp schema.
        encode: converts a value for capnp; None if it needs no conversion.
        decode: converts a value back; None if it needs no conversion.
    """

    name: str
    wire_name: str
    encode: Callable[[Any], Any] | None
    decode: Callable[[Any], Any] | None


@attrs.frozen
class Kind:
    """Conversion of one kind of message.

    Attributes:
        name: name of the kind in the union `Header`.
        message_class: class of the messages.
        fields: fields that the capnp header holds.
        has_body: whether the raw body of the frame is the field `body`.
    """

    name: str
    message_class: type
    fields: tuple[Field, ...]
    has_body: bool


# This field is sent as the raw body of a frame, not in the header.
_BODY_FIELD = "body"


def make_wire_name(name: str) -> str:
    """Returns a field name in camel case, which capnp requires."""
    return re.sub("_(.)", lambda match: match[1].upper(), name)


def make_kind(message_class: type) -> Kind:
    """Returns the conversion of a message class."""
    names = attrs.fields_dict(message_class)
    fields = []
    for name in names:
        if name == _BODY_FIELD:
            continue
        encode, decode = converters.CONVERTERS.get(name, (None, None))
        fields.append(Field(name, make_wire_name(name), encode, decode))
    kind_name = message_class.__name__[0].lower() + message_class.__name__[1:]
    return Kind(kind_name, message_class, tuple(fields), _BODY_FIELD in names)


_CAPNP_MESSAGES: tuple[type, ...] = (
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
KINDS: dict[type, Kind] = {
    message_class: make_kind(message_class) for message_class in _CAPNP_MESSAGES
}
KINDS_BY_NAME: dict[str, Kind] = {kind.name: kind for kind in KINDS.values()}


def encode_fields(message: Any, kind: Kind) -> dict[str, Any]:
    """Returns the capnp fields for a message."""
    values = {}
    for field in kind.fields:
        value = getattr(message, field.name)
        values[field.wire_name] = field.encode(value) if field.encode else value
    return values


def decode_fields(values: dict[str, Any], kind: Kind) -> dict[str, Any]:
    """Returns the message fields for the capnp fields of a header."""
    fields = {}
    for field in kind.fields:
        value = values[field.wire_name]
        fields[field.name] = field.decode(value) if field.decode else value
    return fields


def encode_header(message: Any) -> bytes:
    """Returns the capnp header for a message.

    Raises:
        WireError: if a value does not fit its field.
    """
    kind = KINDS[type(message)]
    try:
        values = encode_fields(message, kind)
        return SCHEMA.Header.new_message(**{kind.name: values}).to_bytes()
    except (
        ValueError,
        TypeError,
        OverflowError,
        capnp.KjException,
    ) as error:
        raise exceptions.WireError("out-of-range", str(error)) from error


def parse_header(data: bytes) -> tuple[Kind, dict[str, Any]]:
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
        # The lines after the first are a stack trace of pycapnp, as addresses.
        reason = str(error).partition("\n")[0]
        raise exceptions.WireError("malformed", reason) from error
    return kind, values


def decode_header(header: bytes, body: bytes = b"") -> Any:
    """Returns the message for a header and the raw body of its frame.

    Raises:
        WireError: if the header is malformed, or if there is a body and this
            kind of message has none.
    """
    kind, values = parse_header(header)
    if kind.has_body:
        return build_message(kind, values, body=body)
    if body:
        raise exceptions.WireError("malformed", f"{kind.name} has a body")
    return build_message(kind, values)


def build_message(kind: Kind, values: dict[str, Any], **raw: Any) -> Any:
    """Returns the message for its capnp fields and its raw fields.

    Raises:
        WireError: if a field has a value that is not allowed.
    """
    try:
        return kind.message_class(**decode_fields(values, kind), **raw)
    except (
        LookupError,
        TypeError,
        ValueError,
        core_exceptions.ModelError,
    ) as error:
        raise exceptions.WireError("malformed", str(error)) from error
