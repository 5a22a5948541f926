"""Converters between the fields of messages and those of capnp headers."""

from collections.abc import Callable
from typing import Any

from filbertlift_core import model
from filbertlift_wire import messages


def encode_member(member: model.Member) -> dict[str, Any]:
    """Returns the capnp fields for a member."""
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


def decode_member(fields: dict[str, Any]) -> model.Member:
    """Returns the member for its capnp fields."""
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
# For each field that needs conversion, by name: its encoder and decoder.
CONVERTERS: dict[str, tuple[Converter, Converter]] = {
    "member": (encode_member, decode_member),
    "members": (
        lambda members: [encode_member(member) for member in members],
        lambda members: tuple(decode_member(member) for member in members),
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
