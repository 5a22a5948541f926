"""Records and enumerations that all libraries share."""

import enum
import ipaddress

import attrs

from filbertlift_core import exceptions

MAX_PORT = 65_535
MAX_PORT_DIGITS = len(str(MAX_PORT))
_BROADCAST_IP = ipaddress.IPv4Address("255.255.255.255")


class MemberState(enum.IntEnum):
    """Known state of a node.

    Between two states of the same incarnation, the higher value takes
    precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class WorkClass(enum.IntEnum):
    """Class of a call; lower values are served first."""

    CHECK = 0
    COUNTER = 1
    LONG = 2


class Outcome(enum.Enum):
    """Whether a call ran, as reported to its caller."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@attrs.frozen(order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses an address written as `host:port`.

        Raises:
            ModelError: if the text has no host or no valid port.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise exceptions.ModelError(f"{text!r} is not host:port")
        is_number = port.isascii() and port.isdigit()
        if not is_number or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
            raise exceptions.ModelError(f"{text!r} has no valid port")
        return cls(host, int(port))

    @classmethod
    def parse_ip(cls, text: str) -> "Address":
        """Parses an address to which a datagram can be sent.

        Raises:
            ModelError: if the host is no IPv4 address of a single host, or the
                port is missing or not within 1 to `MAX_PORT`.
        """
        address = cls.parse(text)
        try:
            number = ipaddress.IPv4Address(address.host)
        except ValueError as error:
            raise exceptions.ModelError(f"{text!r}: {error}") from error
        is_single = not (
            number.is_multicast
            or number.is_unspecified
            or number == _BROADCAST_IP
        )
        if not is_single or address.port == 0:
            raise exceptions.ModelError(f"{text!r} is no address of a host")
        return address

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@attrs.frozen(order=True)
class Place:
    """Region and data centre of a host."""

    region: str
    data_centre: str


@attrs.frozen
class Member:
    """A node and its target.

    Attributes:
        address: TCP address of the node's links; UDP has the same port.
        place: region and data centre of the host.
        service: name of the service that the target belongs to.
        target: HTTP address of the target.
        incarnation: milliseconds since the epoch at start, raised by the
            node when it refutes a suspicion.
        state: state of the node as known to the sender.
        status: HTTP address of the status pages for operators.
    """

    address: Address
    place: Place
    service: str
    target: Address
    incarnation: int
    state: MemberState
    status: Address
