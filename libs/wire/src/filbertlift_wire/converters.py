"""Values of messages as the capnp headers hold them."""

from collections.abc import Callable
from typing import Any

from filbertlift_core import model
from filbertlift_wire import messages


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
