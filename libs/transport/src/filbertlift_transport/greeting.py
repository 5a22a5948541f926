"""Decides whether a greeting on a link is accepted."""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
import hmac

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
        make_heartbeat: returns the heartbeat to send now.
        current_version: returns the configuration version in force.
    """

    cluster: str
    secrets: tuple[bytes, ...]
    make_member: Callable[[], model.Member]
    make_heartbeat: Callable[[], messages.Heartbeat]
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
