"""Tokens: `name.expires.signature`, signed by the caller with Ed25519."""

import base64
import binascii
from collections.abc import Mapping
from typing import Final

import attrs
import cryptography.exceptions
from cryptography.hazmat.primitives.asymmetric import ed25519

from filbertlift_config import exceptions
from filbertlift_config import keys
from filbertlift_config import snapshot as snapshots

# Limits how long a leaked token can be used.
MAX_LIFETIME_S: Final = 86_400
# Clocks of callers and hosts are not synchronised.
CLOCK_SKEW_S: Final = 60
MAX_TOKEN_CHARACTERS: Final = 256
DEFAULT_CACHE_SIZE: Final = 8_192

_CONTEXT: Final = b"filbertlift-token-1\n"
_MAX_EXPIRES_DIGITS: Final = 12


@attrs.frozen
class KeyPair:
    """A new Ed25519 key pair.

    Attributes:
        private_key: base64 of the private key, for the caller alone.
        public_key: base64 of the public key, for the operator's file.
    """

    private_key: str
    public_key: str


@attrs.frozen
class _VerifiedToken:
    """A token whose signature was checked."""

    name: str
    expires: int


def generate_key() -> KeyPair:
    """Returns a new random Ed25519 key pair."""
    key = ed25519.Ed25519PrivateKey.generate()
    return KeyPair(
        base64.b64encode(key.private_bytes_raw()).decode("ascii"),
        base64.b64encode(key.public_key().public_bytes_raw()).decode("ascii"),
    )


def sign_token(
    private_key: str, caller: str, now: float, lifetime: float
) -> str:
    """Returns a token of the caller.

    Args:
        private_key: base64 text of the Ed25519 private key.
        caller: name of the service or caller.
        now: seconds since the epoch.
        lifetime: seconds that the token is valid, at most 24 hours.

    Raises:
        TokenError: if the key, name or lifetime is not allowed.
    """
    if not 0 < lifetime <= MAX_LIFETIME_S:
        raise exceptions.TokenError(
            f"lifetime {lifetime} s is not in 0 to {MAX_LIFETIME_S} s"
        )
    try:
        keys.check_name(caller)
        raw = base64.b64decode(private_key, validate=True)
        key = ed25519.Ed25519PrivateKey.from_private_bytes(raw)
    except ValueError as error:
        raise exceptions.TokenError("the key or name is not valid") from error
    payload = f"{caller}.{int(now + lifetime)}"
    signature = key.sign(_CONTEXT + payload.encode("ascii"))
    text = base64.urlsafe_b64encode(signature).decode("ascii").rstrip("=")
    return f"{payload}.{text}"


@attrs.define
class TokenVerifier:
    """Verifies tokens and caches the verified ones.

    Attributes:
        cache_size: maximum number of cached tokens.
    """

    _keys: Mapping[str, tuple[str, ...]]
    cache_size: int = DEFAULT_CACHE_SIZE
    _cache: dict[str, _VerifiedToken] = attrs.field(factory=dict)

    @classmethod
    def from_snapshot(
        cls,
        snapshot: snapshots.Snapshot,
        previous: "TokenVerifier | None" = None,
        cache_size: int = DEFAULT_CACHE_SIZE,
    ) -> "TokenVerifier":
        """Returns a verifier with the keys of a version.

        Args:
            snapshot: a verified version.
            previous: verifier of an older version; its cached tokens are
                reused for every name whose keys did not change.
            cache_size: maximum number of cached tokens.
        """
        known = {
            name: section.keys for name, section in snapshot.sections.items()
        }
        if previous is None:
            return cls(known, cache_size)
        if known == previous._keys:
            # 60,000 versions a day are published, and most change no key: the
            # cache is shared instead of copied.
            return cls(known, cache_size, previous._cache)
        kept = {
            token: item
            for token, item in previous._cache.items()
            if known.get(item.name) == previous._keys.get(item.name)
        }
        return cls(known, cache_size, kept)

    def verify(self, token: str, now: float) -> str:
        """Returns the name of the caller that signed the token.

        Args:
            token: text of the token.
            now: seconds since the epoch.

        Raises:
            TokenError: if it is malformed, expired, valid for too long or
                not signed by a key of the caller.
        """
        known = self._cache.get(token)
        if known is None:
            known = self._check_token(token)
            self._add_to_cache(token, known)
        if known.expires <= now:
            self._cache.pop(token, None)
            raise exceptions.TokenError(f"token of {known.name} has expired")
        if known.expires > now + MAX_LIFETIME_S + CLOCK_SKEW_S:
            raise exceptions.TokenError("token is valid for too long")
        return known.name

    def _check_token(self, token: str) -> _VerifiedToken:
        name, expires, signature = _split_token(token)
        payload = _CONTEXT + f"{name}.{expires}".encode("ascii")
        for text in self._keys.get(name, ()):
            key = ed25519.Ed25519PublicKey.from_public_bytes(
                base64.b64decode(text)
            )
            try:
                key.verify(signature, payload)
            except cryptography.exceptions.InvalidSignature:
                continue
            return _VerifiedToken(name, int(expires))
        raise exceptions.TokenError("token is not signed by a key of its name")

    def _add_to_cache(self, token: str, verified: _VerifiedToken) -> None:
        if len(self._cache) >= self.cache_size:
            # Evicts the oldest token; it is verified again if still in use.
            del self._cache[next(iter(self._cache))]
        self._cache[token] = verified


def _split_token(token: str) -> tuple[str, str, bytes]:
    if len(token) > MAX_TOKEN_CHARACTERS or not token.isascii():
        raise exceptions.TokenError("malformed token")
    parts = token.split(".")
    if len(parts) != 3:
        raise exceptions.TokenError("malformed token")
    name, expires, text = parts
    if not expires.isdigit() or len(expires) > _MAX_EXPIRES_DIGITS:
        raise exceptions.TokenError("malformed token")
    try:
        signature = base64.b64decode(
            text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
        )
    except (binascii.Error, ValueError) as error:
        raise exceptions.TokenError("malformed token") from error
    return name, expires, signature
