"""Settings of the node: one table with defaults, units and checks."""

from collections.abc import Mapping

import attrs

from filbertlift_core import model
from filbertlift_core import settings

POLICIES = ("filbertlift", "fifo")


def parse_proxies(text: str) -> tuple["RegionProxy", ...]:
    """Returns the proxies of `region=host:port` pairs joined by commas."""
    proxies = []
    for part in text.split(","):
        if not part.strip():
            continue
        region, separator, address = part.strip().partition("=")
        if not separator or not region:
            raise ValueError(part)
        proxies.append(RegionProxy(region, model.Address.parse(address)))
    return tuple(proxies)


def parse_secrets(text: str) -> tuple[bytes, ...]:
    """Returns the cluster secrets of a comma-separated list of one or two."""
    secrets = tuple(part.encode() for part in text.split(",") if part)
    if not 1 <= len(secrets) <= 2:
        raise ValueError("one or two secrets")
    return secrets


@attrs.frozen
class RegionProxy:
    """The HTTP CONNECT proxy through which a region is reached."""

    region: str
    proxy: model.Address


_ADDRESS = "an IP address and port such as 10.0.0.7:9000"
_address = model.Address.parse

TABLE = (
    settings.Setting(
        "cluster",
        settings.parse_text,
        "filbertlift",
        "any text",
        "Name of the cluster; nodes of other clusters are refused.",
    ),
    settings.Setting(
        "region", settings.parse_text, None, "any text", "Region of the host."
    ),
    settings.Setting(
        "data_centre",
        settings.parse_text,
        None,
        "any text",
        "Data centre of the host.",
    ),
    settings.Setting(
        "service",
        settings.parse_text,
        None,
        "any text",
        "Service of the target beside this node.",
    ),
    settings.Setting(
        "listen", _address, None, _ADDRESS, "Address for callers (HTTP)."
    ),
    settings.Setting(
        "link",
        _address,
        None,
        _ADDRESS,
        "Address for other nodes (TCP, and UDP on the same port).",
    ),
    settings.Setting(
        "status",
        _address,
        None,
        _ADDRESS,
        "Address of the operators' pages (HTTP).",
    ),
    settings.Setting(
        "target", _address, None, _ADDRESS, "Address of the target (HTTP)."
    ),
    settings.Setting(
        "store",
        str,
        "",
        "a URL, or empty for none",
        "URL of the platform's store.",
    ),
    settings.Setting(
        "peers",
        settings.parse_addresses,
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
    """The checked settings of a node; the table describes each."""

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
            SettingError: names every setting that is missing or not allowed.
        """
        return cls(**settings.read_settings(TABLE, flags, environ))

    @property
    def place(self) -> model.Place:
        """Where the host stands."""
        return model.Place(self.region, self.data_centre)

    def find_proxy(self, region: str) -> model.Address | None:
        """Returns the proxy for links to a region, None for a direct one."""
        for entry in self.region_proxy:
            if entry.region == region and region != self.region:
                return entry.proxy
        return None
