"""Settings of the node: a table with parsers, defaults and help texts."""

from collections.abc import Mapping
import ipaddress

import attrs

from filbertlift_config import keys
from filbertlift_core import model
from filbertlift_core import settings

POLICIES = ("filbertlift", "fifo")
# Name of the roster that lists the gateways of all regions. The other rosters
# are named after their data centre, so no data centre may have this name.
RESERVED_DATA_CENTRE = "all"


def parse_listen(text: str) -> model.Address:
    """Parses an IP address with a port; raises ValueError or ModelError."""
    address = model.Address.parse(text)
    ipaddress.ip_address(address.host)
    if not address.port:
        raise ValueError(text)
    return address


def parse_address(text: str) -> model.Address:
    """Parses an address that other hosts can connect to.

    Raises:
        ValueError: for a host name, port 0 or an unspecified address such as
            0.0.0.0.
        ModelError: if the text is not host:port.
    """
    address = parse_listen(text)
    if ipaddress.ip_address(address.host).is_unspecified:
        raise ValueError(text)
    return address


def parse_peers(text: str) -> tuple[model.Address, ...]:
    """Parses a comma-separated list of addresses, which may be empty."""
    parts = [part.strip() for part in text.split(",")]
    return tuple(parse_address(part) for part in parts if part)


def parse_store(text: str) -> str:
    """Parses the URL of a store, which may be empty; raises ValueError."""
    return settings.parse_url(text) if text else text


def parse_data_centre(text: str) -> str:
    """Parses the name of a data centre, which is used in store keys."""
    if text == RESERVED_DATA_CENTRE:
        raise ValueError(text)
    return keys.check_name(text)


def parse_proxies(text: str) -> tuple["RegionProxy", ...]:
    """Parses a comma-separated list of `region=host:port` pairs."""
    proxies = []
    for part in text.split(","):
        if not part.strip():
            continue
        region, separator, address = part.strip().partition("=")
        if not separator:
            raise ValueError(part)
        proxies.append(
            RegionProxy(keys.check_name(region), parse_address(address))
        )
    return tuple(proxies)


def parse_secrets(text: str) -> tuple[bytes, ...]:
    """Parses a comma-separated list of one or two cluster secrets."""
    secrets = tuple(part.encode() for part in text.split(",") if part)
    if not 1 <= len(secrets) <= 2:
        raise ValueError("one or two secrets")
    return secrets


@attrs.frozen
class RegionProxy:
    """The HTTP CONNECT proxy for links to a region."""

    region: str
    proxy: model.Address


_LISTEN = "an IP address and port such as 10.0.0.7:9000"
_ADDRESS = f"{_LISTEN}, not 0.0.0.0"
_NAME = "1 to 63 of a-z, 0-9 and -"

TABLE = (
    settings.Setting(
        "cluster",
        keys.check_name,
        "filbertlift",
        _NAME,
        "Name of the cluster; nodes of other clusters are refused.",
    ),
    settings.Setting(
        "region", keys.check_name, None, _NAME, "Region of the host."
    ),
    settings.Setting(
        "data_centre",
        parse_data_centre,
        None,
        f"{_NAME}, not {RESERVED_DATA_CENTRE}",
        "Data centre of the host.",
    ),
    settings.Setting(
        "service",
        keys.check_name,
        None,
        _NAME,
        "Service of the target beside this node.",
    ),
    settings.Setting(
        "listen", parse_listen, None, _LISTEN, "Address for callers (HTTP)."
    ),
    settings.Setting(
        "link",
        parse_address,
        None,
        _ADDRESS,
        "Address for other nodes (TCP, and UDP on the same port).",
    ),
    settings.Setting(
        "status",
        parse_address,
        None,
        _ADDRESS,
        "Address of the operators' pages (HTTP).",
    ),
    settings.Setting(
        "target", parse_address, None, _ADDRESS, "Address of the target (HTTP)."
    ),
    settings.Setting(
        "store",
        parse_store,
        "",
        "a URL such as http://10.0.0.1:7000, or empty for none",
        "URL of the platform's store.",
    ),
    settings.Setting(
        "peers",
        parse_peers,
        "",
        "addresses joined by commas, or empty",
        "Link addresses of other nodes, asked first at start.",
    ),
    settings.Setting(
        "secrets",
        parse_secrets,
        None,
        "one or two secrets joined by a comma",
        "Cluster secrets; the first one signs, each one verifies.",
        is_secret=True,
    ),
    settings.Setting(
        "region_proxy",
        parse_proxies,
        "",
        "region=host:port pairs joined by commas, or empty",
        "HTTP CONNECT proxy for links to another region.",
    ),
    settings.Setting(
        "policy",
        settings.make_choice_parser(POLICIES),
        "filbertlift",
        "filbertlift or fifo",
        "Admission and choice of target; fifo is the plain baseline.",
    ),
    settings.Setting(
        "drain_limit",
        settings.make_number_parser(0, 86_400),
        "900",
        "0 to 86400",
        "Longest time that a planned stop waits for work, in seconds.",
    ),
    settings.Setting(
        "leave_notice",
        settings.make_number_parser(0, 60),
        "2",
        "0 to 60",
        "Time from announcing a stop to refusing calls, in seconds.",
    ),
    settings.Setting(
        "start_jitter",
        settings.make_number_parser(0, 600),
        "2",
        "0 to 600",
        "Longest random delay before a starting node asks its peers or the"
        " store, in seconds.",
    ),
)


@attrs.frozen
class NodeSettings:
    """The validated settings of a node; `TABLE` describes each of them.

    They are read from flags and the environment, while the adapter of the
    users' platform fills those of `filbertlift_sidecar.settings`.
    """

    cluster: str
    region: str
    data_centre: str
    service: str
    listen: model.Address
    link: model.Address
    status: model.Address
    target: model.Address
    store: str
    peers: tuple[model.Address, ...]
    secrets: tuple[bytes, ...]
    region_proxy: tuple[RegionProxy, ...]
    policy: str
    drain_limit: float
    leave_notice: float
    start_jitter: float

    @classmethod
    def from_sources(
        cls, flags: Mapping[str, str | None], environ: Mapping[str, str]
    ) -> "NodeSettings":
        """Returns the settings from flags, the environment and defaults.

        Raises:
            SettingError: if settings are missing or have values that are not
                allowed; the message lists all of them.
        """
        return cls(**settings.read_settings(TABLE, flags, environ))

    @property
    def place(self) -> model.Place:
        """Region and data centre of the host."""
        return model.Place(self.region, self.data_centre)

    def find_proxy(self, region: str) -> model.Address | None:
        """Returns the proxy for links to a region, None for direct links."""
        for entry in self.region_proxy:
            if entry.region == region and region != self.region:
                return entry.proxy
        return None
