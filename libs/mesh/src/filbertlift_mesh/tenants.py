"""Organisations, and their identification by API key.

A presented key is found by its keyed digest, so the time of a look-up does not
depend on how much of a key matches a known one.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
from typing import Final

import attrs

# Length of a digest, in bytes.
DIGEST_BYTES: Final = 16


@attrs.frozen
class Organisation:
    """An organisation whose callers identify themselves with keys.

    Attributes:
        name: name of the organisation, as targets are told.
        priority: rank of its calls in place of the route's; None for the
            route's.
        rate_per_s: requests that may run per second; 0 for no limit.
        burst: requests that may run at once.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@attrs.frozen
class Tenant:
    """An organisation and its keys; no text form of it has the keys."""

    organisation: Organisation
    keys: tuple[str, ...] = attrs.field(repr=False)


@attrs.frozen
class Tenants:
    """Organisations of one version of the configuration.

    Attributes:
        entries: the valid organisations.
        rejected: reasons why entries were left out, without keys.
    """

    entries: tuple[Tenant, ...]
    rejected: tuple[str, ...] = ()


@attrs.frozen
class KeyTable:
    """Organisations by the keyed digests of their keys.

    Attributes:
        rejected: reasons why keys were left out, without the keys.
    """

    _secret: bytes = attrs.field(repr=False)
    _organisations: Mapping[bytes, Organisation] = attrs.field(repr=False)
    rejected: tuple[str, ...] = ()

    @classmethod
    def from_tenants(
        cls, entries: Iterable[Tenant], secret: bytes
    ) -> "KeyTable":
        """Returns the table of these organisations.

        A key that two organisations hold identifies neither of them.

        Args:
            entries: the organisations with their keys.
            secret: key of the digests.
        """
        found: dict[bytes, Organisation] = {}
        shared: dict[bytes, set[str]] = {}
        rejected: list[str] = []
        for tenant in entries:
            organisation = tenant.organisation
            for key in tenant.keys:
                if not key:
                    rejected.append(f"{organisation.name}: a key is empty")
                    continue
                digest = _make_digest(key.encode(), secret)
                known = found.setdefault(digest, organisation)
                if known.name != organisation.name:
                    names = shared.setdefault(digest, {known.name})
                    names.add(organisation.name)
        for digest, names in shared.items():
            del found[digest]
            rejected.append(f"{', '.join(sorted(names))}: hold the same key")
        return cls(secret, found, tuple(rejected))

    def find(self, key: str) -> Organisation | None:
        """Returns the organisation of a key, as HTTP headers are decoded."""
        data = key.encode("latin-1", "replace")
        return self._organisations.get(_make_digest(data, self._secret))


def _make_digest(key: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=secret).digest()


def is_sendable(name: str) -> bool:
    """Returns whether a name can be the value of an HTTP header."""
    is_trimmed = bool(name) and name == name.strip()
    return is_trimmed and name.isprintable() and max(name) <= "\xff"
