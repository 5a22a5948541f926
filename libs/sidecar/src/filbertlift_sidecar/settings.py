"""Settings of a node beside a target, checked."""

from collections.abc import Mapping

import attrs

from filbertlift_core import model


@attrs.frozen
class NodeSettings:
    """What a node has to know before it starts.

    Attributes:
        name: name of the host, for logs.
        place: region and data centre of the host.
        service: service of the target beside the node.
        target: HTTP address of the target.
        outbound: where callers on this host send their calls.
        ready: where the platform asks whether the node is ready.
        control: where the target reports.
        peers: where other nodes reach this one, TCP and UDP.
        links: where it takes links of peers; None for `peers`.
        metrics: where metrics and the dump are served.
        store: HTTP address of the store.
        beat_interval_s: interval of the target's heartbeats, in seconds.
        grace_s: time between SIGTERM and SIGKILL, in seconds.
        link_kbps: capacity of the host's link, in kilobits a second.
        repeat_ratio: repeats allowed for each call of a service.
        repeat_slack: repeats allowed in a window besides.
        repeat_window_s: length of the window, in seconds.
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
    links: model.Address | None = None

    def describe(self) -> Mapping[str, str]:
        """Returns the settings as text, for the log and the dump."""
        return {
            field.name: str(getattr(self, field.name))
            for field in attrs.fields(type(self))
        }
