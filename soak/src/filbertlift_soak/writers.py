"""Another writer of the store, which leaves odd entries beside the nodes' own.

The keys are spelled out here: the writer is no part of the system.
"""

import random
from typing import Final

from filbertlift_core import model
from filbertlift_mesh import configuration
from filbertlift_platform import names
from filbertlift_platform_fakes import documents
from filbertlift_standins import keyspace

HOSTS: Final = "filbertlift/hosts/"
DEPARTURES: Final = "filbertlift/left/"
_DEEP: Final = b"[" * 100_000
_LONG_NUMBER: Final = "9" * 150
ODD_HOSTS: Final = (
    "",
    "nobody",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + _LONG_NUMBER,
    "127.0.0.1:-7",
    "300.0.0.1:7000",
    "host.example:7000",
    "0.0.0.0:7000",
    "255.255.255.255:7000",
    # A valid address at which nobody answers.
    "127.0.0.1:9",
)
ODD_DEPARTURES: Final = (
    b"",
    b"\xff\xfe",
    b'["i", 1e400, 2]',
    b'["i", 99999999999999999999, 2]',
    b'["i", 1, 9]',
    _DEEP,
)
ODD_CONFIGURATIONS: Final = (
    b"",
    b"\xff\xfe",
    b"{}",
    b'{"version":"00000001","routes":{},"services":{},"more":' + _DEEP,
    b'{"version":"fffffffffffffffff","routes":{},"services":{}}',
    b'{"version":"ffffffff","routes":{"r":{}},"services":{}}',
    documents.encode_configuration(
        2**32 - 1,
        [
            configuration.Route(
                "r",
                "h",
                "/",
                configuration.CallKind.SAFE,
                1e300,
                1.0,
                1,
                0,
                (configuration.Share("s", 1.0),),
            )
        ],
        ["s"],
    ),
)


def write_odd_entries(
    keys: keyspace.Keyspace, host: model.Address, rng: random.Random
) -> None:
    """Writes odd entries of hosts, and an odd departure of one host."""
    puts = [
        keyspace.Put(HOSTS + text, rng.choice((b"", b"\xff", _DEEP)))
        for text in rng.sample(ODD_HOSTS, 4)
    ]
    departure = rng.choice(ODD_DEPARTURES)
    puts.append(keyspace.Put(DEPARTURES + str(host), departure))
    keys.change((), puts, ())


def write_odd_configuration(
    keys: keyspace.Keyspace, rng: random.Random
) -> None:
    """Replaces the configuration by one that no node may take."""
    value = rng.choice(ODD_CONFIGURATIONS)
    keys.change((), [keyspace.Put(names.CONFIGURATION_KEY, value)], ())
