"""Checks of call messages before they are encoded.

msgspec checks the annotated ranges only when it decodes, and a peer drops the
link for a message that is out of range.
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

_BREAKS = re.compile(r"[\r\n\0]")


@attrs.frozen
class _Checks:
    """What is checked of one kind of message.

    Attributes:
        get_numbers: returns the numbers of a message.
        limits: upper bound of each, itself not allowed.
        has_headers: whether the message has HTTP headers.
    """

    get_numbers: Callable[[Any], tuple[int, ...]]
    limits: tuple[int, ...]
    has_headers: bool


def _make_checks(record: type) -> _Checks:
    limits: dict[str, int] = {}
    for name, hint in typing.get_type_hints(
        record, include_extras=True
    ).items():
        for extra in getattr(hint, "__metadata__", ()):
            if isinstance(extra, msgspec.Meta) and extra.lt is not None:
                limits[name] = int(extra.lt)
    names = list(limits)
    # Two names at least make attrgetter return a tuple.
    get_numbers = operator.attrgetter(*names, names[0])
    return _Checks(
        get_numbers,
        (*limits.values(), limits[names[0]]),
        "headers" in attrs.fields_dict(record),
    )


_CHECKS = {record: _make_checks(record) for record in messages.CALL_MESSAGES}


def check_call(message: Any) -> None:
    """Refuses a call message that a peer would refuse.

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
        if _BREAKS.search(header.value):
            raise exceptions.WireError(
                "out-of-range", f"header {header.name!r} has a line break"
            )
