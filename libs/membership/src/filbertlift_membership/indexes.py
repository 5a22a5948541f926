"""Index of member records by a key, with cached lists."""

from collections.abc import Callable

import attrs

from filbertlift_core import model

Address = model.Address
Member = model.Member


def is_alive(member: Member) -> bool:
    """Returns whether the member is ALIVE and may receive new calls."""
    return member.state == model.MemberState.ALIVE


def is_live(member: Member) -> bool:
    """Returns whether the member is not DEAD."""
    return member.state != model.MemberState.DEAD


def accept_all(_: Member) -> bool:
    """Accepts every record."""
    return True


@attrs.define
class Index:
    """Records by a key; the list of a key is rebuilt only when it changes."""

    _is_wanted: Callable[[Member], bool]
    _records: dict[str, dict[Address, Member]] = attrs.field(factory=dict)
    _lists: dict[str, tuple[Member, ...]] = attrs.field(factory=dict)

    def add(self, key: str, member: Member) -> None:
        """Adds the record of a member under a key, or replaces it."""
        self._records.setdefault(key, {})[member.address] = member
        self._lists.pop(key, None)

    def remove(self, key: str, address: Address) -> None:
        """Removes a record, and its key if no record is left."""
        records = self._records[key]
        del records[address]
        if not records:
            del self._records[key]
        self._lists.pop(key, None)

    def keys(self) -> tuple[str, ...]:
        """Returns the keys that have a record, sorted."""
        return tuple(sorted(self._records))

    def list(self, key: str) -> tuple[Member, ...]:
        """Returns the wanted records of a key.

        The same tuple is returned until a record of the key changes.
        """
        if key not in self._records:
            return ()
        if key not in self._lists:
            records = self._records[key].values()
            self._lists[key] = tuple(filter(self._is_wanted, records))
        return self._lists[key]
