"""Values of messages as the capnp headers hold them."""

from collections.abc import Callable
from typing import Any

from filbertlift_core import model

from filbertlift_wire import messages

OUTCOMES = (model.Outcome.DONE, model.Outcome.NOT_RUN, model.Outcome.UNKNOWN)
OUTCOME_NUMBERS = {outcome: index for index, outcome in enumerate(OUTCOMES)}


def join_headers(headers: tuple[messages.Header, ...]) -> str:
    """Returns name and value of each header in turn, one a line.

    Raises:
        ValueError: if a name or value contains a line break.
    """
    if not headers:
        return ""
    lines = []
    for header in headers:
        lines.append(header.name)
        lines.append(header.value)
    text = "\n".join(lines)
    if text.count("\n") != len(lines) - 1:
        raise ValueError("a header contains a line break")
    return text


def split_headers(text: str) -> tuple[messages.Header, ...]:
    """Returns the headers of a text; raises ValueError if one has no value."""
    if not text:
        return ()
    lines = text.split("\n")
    if len(lines) % 2:
        raise ValueError("a header has no value")
    return tuple(map(messages.Header, lines[::2], lines[1::2]))


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


Converter = Callable[[Any], Any]
# How a field is written and read, by its name.
CONVERTERS: dict[str, tuple[Converter, Converter]] = {
    "headers": (join_headers, split_headers),
    "outcome": (OUTCOME_NUMBERS.__getitem__, OUTCOMES.__getitem__),
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
    "removed": (list, tuple),
    "address": (str, model.Address.parse),
    "sender": (str, model.Address.parse),
    "about": (str, model.Address.parse),
}
