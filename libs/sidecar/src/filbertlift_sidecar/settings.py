"""Validated settings of a node."""

from collections.abc import Mapping
from typing import Final

import attrs

from filbertlift_core import model
from filbertlift_sidecar import descriptors

# Memory that a process may take unless its settings say otherwise, in bytes.
DEFAULT_MEMORY_BYTES: Final = 300_000_000


@attrs.frozen
class RolloutLimits:
    """Limits of the roll-out of a new release.

    Attributes:
        expose_share: largest share of the requests of a service that a bad
            release may get between the order and its deadline.
        expose_slack: further requests that it may get.
        rollback_s: time after its 50th bad answer from which it gets none, in
            seconds.
    """

    expose_share: float
    expose_slack: float
    rollback_s: float


@attrs.frozen
class NodeSettings:
    """Settings of a node.

    The adapter of the users' platform fills them from its own file, unlike
    those of `filbertlift_node.settings`, which parses them itself.

    Attributes:
        name: name of the host, for logs.
        place: region and data centre of the host.
        service: service of the target on this host.
        target: HTTP address of the target.
        outbound: address at which callers on this host send their calls.
        ready: address of the readiness check.
        control: address at which the target reports.
        peers: address at which other nodes reach this one, TCP and UDP.
        metrics: address at which metrics and the dump are served.
        store: HTTP address of the store.
        beat_interval_s: interval of the target's heartbeats, in seconds.
        grace_s: time between SIGTERM and SIGKILL, in seconds.
        link_kbps: capacity of the host's link, in kilobits per second.
        repeat_ratio: repeats allowed per call of a service.
        repeat_slack: further repeats allowed in each window.
        repeat_window_s: length of the window, in seconds.
        memory_bytes: memory that the process may take, in bytes.
        quota_window_s: length of the window of quotas, in seconds.
        quota_over: share by which a quota may be exceeded in a window.
        quota_slack: further requests over a quota in a window.
        descriptors: file descriptors that the process may have open.
        links: address at which links of peers are accepted; None for `peers`.
        rollouts: limits of roll-outs; None if the versions of targets are
            ignored.
        learns_speeds: whether the speed and the limit of each target are
            learned.
        has_organisations: whether callers may send the keys of organisations.
    """

    name: str
    place: model.Place
    service: str
    target: model.Address
    outbound: model.Address
    ready: model.Address
    control: model.Address
    peers: model.Address
    metrics: model.Address
    store: model.Address
    beat_interval_s: float
    grace_s: float
    link_kbps: int
    repeat_ratio: float
    repeat_slack: float
    repeat_window_s: float
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    quota_window_s: float = 5.0
    quota_over: float = 0.1
    quota_slack: float = 20.0
    descriptors: int = descriptors.DEFAULT_DESCRIPTORS
    links: model.Address | None = None
    rollouts: RolloutLimits | None = None
    learns_speeds: bool = False
    has_organisations: bool = False

    def describe(self) -> Mapping[str, str]:
        """Returns the settings as text, for the log and the dump."""
        return {
            field.name: str(getattr(self, field.name))
            for field in attrs.fields(type(self))
        }
