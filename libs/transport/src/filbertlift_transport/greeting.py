"""Greeting by which two nodes authenticate each other on a link."""

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
        secrets: cluster secrets; proofs are signed with the first and
            accepted with any. To rotate, append the new secret on all nodes,
            then move it to the front on all nodes, then remove the old one.
        make_member: returns this node's current member record.
        make_heartbeat: returns the next heartbeat to send on a link.
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
    """Returns the HMAC that proves knowledge of the secret.

    The role prevents reflection: a node never accepts its own proof.
    """
    text = b"|".join((role, signer_nonce.hex().encode(), verifier_nonce))
    return hmac.digest(secret, text, hashlib.sha256)


def check_peer(greeting: Greeting, cluster: str) -> None:
    """Checks the cluster, wire version and nonce length of a peer.

    Raises:
        LinkError: if one is not allowed; names the received and the allowed
            value.
    """
    if greeting.cluster != cluster:
        raise exceptions.LinkError(
            "other-cluster",
            f"peer is in cluster {greeting.cluster!r}, not {cluster!r}",
        )
    # A peer that is one version newer supports this version too, so nodes can
    # be both upgraded and downgraded one at a time.
    newest = env.WIRE_VERSION + 1
    if not env.OLDEST_WIRE_VERSION <= greeting.wire_version <= newest:
        raise exceptions.LinkError(
            "wire-version",
            f"peer speaks wire version {greeting.wire_version}; allowed:"
            f" {env.OLDEST_WIRE_VERSION} to {newest}",
        )
    if len(greeting.nonce) != NONCE_BYTES:
        raise exceptions.LinkError("malformed", "nonce has the wrong length")


def check_proof(
    greeting: Greeting, role: bytes, own_nonce: bytes, secrets: Sequence[bytes]
) -> None:
    """Checks that the peer knows one of the secrets.

    Raises:
        LinkError: if the proof matches none of the secrets.
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

    The opening side sends Hello. The accepting side answers Welcome with its
    proof. The opening side sends Hello again, with its own proof. The link is
    then up on the accepting side, which confirms this by a heartbeat.

    Attributes:
        peer: the peer, once it has proved that it knows the secret.
        is_done: whether both sides have accepted each other.
    """

    def __init__(self, identity: LinkIdentity, is_opener: bool) -> None:
        self.peer: model.Member | None = None
        self.is_done = False
        self._identity = identity
        self._is_opener = is_opener
        self._nonce = os.urandom(NONCE_BYTES)

    def start(self) -> messages.Message | None:
        """Returns the first message if this side opened the link."""
        return (
            self._make_greeting(messages.Hello, b"")
            if self._is_opener
            else None
        )

    def receive(self, message: messages.Message) -> list[messages.Message]:
        """Returns the messages to send in answer.

        Raises:
            LinkError: if the peer is refused or sends no greeting.
        """
        if self._is_opener and isinstance(message, messages.Welcome):
            return self._receive_welcome(message)
        if not self._is_opener and isinstance(message, messages.Hello):
            return self._receive_hello(message)
        is_confirmed = self._is_opener and self.peer is not None
        if is_confirmed and isinstance(message, messages.Heartbeat):
            self.is_done = True
            return []
        raise exceptions.LinkError("malformed", "expected a greeting")

    def check(self, message: messages.Message) -> None:
        """Checks the cluster, wire version and nonce length of a greeting.

        This is called after the answer is sent: the answer contains this node's
        cluster and version, so that both sides can log the cause.

        Raises:
            LinkError: if one is not allowed; names the received and the allowed
                value.
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
        return [self._make_greeting(messages.Welcome, proof)]

    def _receive_welcome(
        self, welcome: messages.Welcome
    ) -> list[messages.Message]:
        secrets = self._identity.secrets
        check_peer(welcome, self._identity.cluster)
        check_proof(welcome, b"welcome", self._nonce, secrets)
        self.peer = welcome.member
        proof = make_proof(secrets[0], b"hello", self._nonce, welcome.nonce)
        return [self._make_greeting(messages.Hello, proof)]

    def _make_greeting(self, kind: type, proof: bytes) -> messages.Message:
        identity = self._identity
        return kind(
            cluster=identity.cluster,
            wire_version=env.WIRE_VERSION,
            member=identity.make_member(),
            version=identity.current_version(),
            proof=proof,
            nonce=self._nonce,
        )
