"""Checks of call messages before they are encoded.

msgspec checks the annotated ranges only when it decodes, and a peer closes the
link when it receives a message that is out of range.
"""

from collections.abc import Callable
import operator
import re
import typing
from typing import Any

import attrs
import msgspec

from filbertlift_wire import exceptions
from filbertlift_wire import messages

_FORBIDDEN_CHARACTERS = re.compile(r"[\r\n\0]")


@attrs.frozen
class _Checks:
    """Checks of one class of call messages.

    Attributes:
        get_numbers: returns the integer fields of a message as a tuple.
        limits: exclusive upper bound of each of these fields.
        has_headers: whether the class has HTTP headers.
    """

    get_numbers: Callable[[Any], tuple[int, ...]]
    limits: tuple[int, ...]
    has_headers: bool


def _make_checks(message_class: type) -> _Checks:
    limits: dict[str, int] = {}
    for name, hint in typing.get_type_hints(
        message_class, include_extras=True
    ).items():
        for constraint in getattr(hint, "__metadata__", ()):
            if (
                isinstance(constraint, msgspec.Meta)
                and constraint.lt is not None
            ):
                limits[name] = int(constraint.lt)
    names = list(limits)
    # attrgetter returns a tuple only when it is given two names or more.
    get_numbers = operator.attrgetter(*names, names[0])
    return _Checks(
        get_numbers,
        (*limits.values(), limits[names[0]]),
        "headers" in attrs.fields_dict(message_class),
    )


_CHECKS = {
    message_class: _make_checks(message_class)
    for message_class in messages.CALL_MESSAGES
}


def check_call(message: Any) -> None:
    """Checks that a peer would accept a call message.

    Raises:
        WireError: if a number or a header is out of range.
    """
    checks = _CHECKS[type(message)]
    numbers = checks.get_numbers(message)
    for number, limit in zip(numbers, checks.limits, strict=True):
        if not 0 <= number < limit:
            raise exceptions.WireError("out-of-range", f"number {number}")
    if not checks.has_headers:
        return
    for header in message.headers:
        if _FORBIDDEN_CHARACTERS.search(header.value):
            raise exceptions.WireError(
                "out-of-range", f"header {header.name!r} has CR, LF or NUL"
            )
