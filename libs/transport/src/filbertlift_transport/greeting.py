"""The greeting by which two nodes accept each other on a link."""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import hmac
import os
from typing import Any

import attrs

from filbertlift_core import env
from filbertlift_core import model
from filbertlift_transport import exceptions
from filbertlift_wire import messages

NONCE_BYTES = 16
Greeting = messages.Hello | messages.Welcome


@attrs.frozen
class LinkIdentity:
    """What a node presents on its links.

    Attributes:
        cluster: name of the cluster.
        secrets: cluster secrets; the first one signs, any one is accepted.
            To rotate, append the new secret everywhere, then move it to the
            front everywhere, then remove the old one.
        make_member: returns this node's current member record.
        make_heartbeat: returns the heartbeat to send now on a link.
        current_version: returns the configuration version in force.
    """

    cluster: str
    secrets: tuple[bytes, ...]
    make_member: Callable[[], model.Member]
    make_heartbeat: Callable[[Any], messages.Heartbeat]
    current_version: Callable[[], int]


def make_proof(
    secret: bytes, role: bytes, signer_nonce: bytes, verifier_nonce: bytes
) -> bytes:
    """Returns the HMAC by which a node proves that it knows the secret.

    The role keeps a node from being shown its own proof.
    """
    text = b"|".join((role, signer_nonce.hex().encode(), verifier_nonce))
    return hmac.digest(secret, text, hashlib.sha256)


def check_peer(greeting: Greeting, cluster: str) -> None:
    """Refuses another cluster, wire version or a nonce of another length.

    Raises:
        LinkError: names what was received and what is allowed.
    """
    if greeting.cluster != cluster:
        raise exceptions.LinkError(
            "other-cluster",
            f"peer is in cluster {greeting.cluster!r}, not {cluster!r}",
        )
    # A newer peer accepts the version before its own, so both directions of
    # an upgrade work.
    newest = env.WIRE_VERSION + 1
    if not env.OLDEST_WIRE_VERSION <= greeting.wire_version <= newest:
        raise exceptions.LinkError(
            "wire-version",
            f"peer speaks wire version {greeting.wire_version}; allowed:"
            f" {env.OLDEST_WIRE_VERSION} to {newest}",
        )
    if len(greeting.nonce) != NONCE_BYTES:
        raise exceptions.LinkError("malformed", "nonce of another length")


def check_proof(
    greeting: Greeting, role: bytes, own_nonce: bytes, secrets: Sequence[bytes]
) -> None:
    """Refuses a peer that knows none of the secrets.

    Raises:
        LinkError: if no secret gives the peer's proof.
    """
    for secret in secrets:
        proof = make_proof(secret, role, greeting.nonce, own_nonce)
        if hmac.compare_digest(proof, greeting.proof):
            return
    raise exceptions.LinkError(
        "bad-proof", "peer does not know the cluster secret"
    )


class Handshake:
    """State of the greeting on one link.

    The opening side sends Hello; the accepting side answers Welcome with its
    proof; the opening side sends Hello again with its own proof; the
    accepting side is up then and says so by a heartbeat.

    Attributes:
        peer: the peer, once it proved that it knows the secret.
        is_done: whether both sides accepted each other.
    """

    def __init__(self, identity: LinkIdentity, is_opener: bool) -> None:
        self.peer: model.Member | None = None
        self.is_done = False
        self._identity = identity
        self._is_opener = is_opener
        self._nonce = os.urandom(NONCE_BYTES)

    def start(self) -> messages.Message | None:
        """Returns the message to send first, if this side sends it."""
        return self._greet(messages.Hello, b"") if self._is_opener else None

    def receive(self, message: messages.Message) -> list[messages.Message]:
        """Returns the messages to send in answer.

        Raises:
            LinkError: if the peer is refused or does not greet.
        """
        if self._is_opener and isinstance(message, messages.Welcome):
            return self._receive_welcome(message)
        if not self._is_opener and isinstance(message, messages.Hello):
            return self._receive_hello(message)
        is_confirmed = self._is_opener and self.peer is not None
        if is_confirmed and isinstance(message, messages.Heartbeat):
            self.is_done = True
            return []
        raise exceptions.LinkError("malformed", "greeting expected")

    def check(self, message: messages.Message) -> None:
        """Refuses a peer of another cluster or version.

        It is checked after the answer is sent: the answer names this node's
        cluster and version, so that both sides can log the cause.

        Raises:
            LinkError: names what was received and what is allowed.
        """
        if isinstance(message, Greeting):
            check_peer(message, self._identity.cluster)

    def _receive_hello(self, hello: messages.Hello) -> list[messages.Message]:
        secrets = self._identity.secrets
        if hello.proof:
            check_peer(hello, self._identity.cluster)
            check_proof(hello, b"hello", self._nonce, secrets)
            self.peer = hello.member
            self.is_done = True
            return []
        proof = make_proof(secrets[0], b"welcome", self._nonce, hello.nonce)
        return [self._greet(messages.Welcome, proof)]

    def _receive_welcome(
        self, welcome: messages.Welcome
    ) -> list[messages.Message]:
        secrets = self._identity.secrets
        check_peer(welcome, self._identity.cluster)
        check_proof(welcome, b"welcome", self._nonce, secrets)
        self.peer = welcome.member
        proof = make_proof(secrets[0], b"hello", self._nonce, welcome.nonce)
        return [self._greet(messages.Hello, proof)]

    def _greet(self, kind: type, proof: bytes) -> messages.Message:
        identity = self._identity
        return kind(
            cluster=identity.cluster,
            wire_version=env.WIRE_VERSION,
            member=identity.make_member(),
            version=identity.current_version(),
            proof=proof,
            nonce=self._nonce,
        )
