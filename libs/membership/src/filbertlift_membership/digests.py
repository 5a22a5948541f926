"""Incrementally updated digests of the members of each data centre."""

import hashlib

import attrs

from filbertlift_core import model

DIGEST_BYTES = 8
_MODULUS = 1 << (8 * DIGEST_BYTES)


def hash_member(member: model.Member) -> int:
    """Returns the hash that a member adds to the digest of its data centre."""
    is_leaving = member.state == model.MemberState.LEAVING
    text = f"{member.address} {member.incarnation} {is_leaving}"
    digest = hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES)
    return int.from_bytes(digest.digest(), "big")


@attrs.define
class DigestTable:
    """Sum of the hashes of the live members of each data centre."""

    _sums: dict[str, int] = attrs.field(factory=dict)

    def add(self, member: model.Member) -> None:
        """Adds a record; DEAD records are ignored."""
        if member.state != model.MemberState.DEAD:
            self._change(member.place.data_centre, hash_member(member))

    def remove(self, member: model.Member) -> None:
        """Removes a record that was added before; DEAD ones are ignored."""
        if member.state != model.MemberState.DEAD:
            self._change(member.place.data_centre, -hash_member(member))

    def list(self) -> dict[str, str]:
        """Returns the digest of each data centre that has a live member."""
        return {
            name: f"{value:0{2 * DIGEST_BYTES}x}"
            for name, value in sorted(self._sums.items())
        }

    def _change(self, data_centre: str, amount: int) -> None:
        value = (self._sums.get(data_centre, 0) + amount) % _MODULUS
        if value == 0:
            self._sums.pop(data_centre, None)
        else:
            self._sums[data_centre] = value


def compare(own: dict[str, str], other: dict[str, str]) -> list[str]:
    """Returns the data centres whose digests differ."""
    names = sorted(own.keys() | other.keys())
    return [name for name in names if own.get(name) != other.get(name)]
