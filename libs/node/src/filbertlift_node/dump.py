"""The state of a node as plain values, for its pages and SIGUSR1."""

import resource
from typing import TYPE_CHECKING
from typing import Any

from filbertlift_core import model

if TYPE_CHECKING:
    from filbertlift_node import node as nodes


def describe_version(node: "nodes.Node") -> dict[str, Any]:
    """Returns the version in force, the lifecycle state and readiness."""
    state = node.control.versions.replica.state
    return {
        "version": state.version,
        "root": state.in_force.root if state.in_force else "",
        "lifecycle": node.state,
        "ready": node.state == "ready",
        "waiting_for": describe_wait(node),
    }


def describe_wait(node: "nodes.Node") -> str:
    """Returns what a joining node waits for, or an empty string."""
    if node.state != "joining":
        return ""
    state = node.control.versions.replica.state
    if not state.is_floor_known:
        return "version floor: the store, or at least two peers"
    if state.candidate is not None:
        return "acknowledgement of a version by a neighbour"
    if state.in_force is None:
        return "a published configuration"
    return "confirmation of the version after a pause"


def describe_state(node: "nodes.Node") -> dict[str, Any]:
    """Returns the full dump of the node."""
    replica = node.control.versions.replica
    in_force: Any = replica.state.in_force
    age = node.entry.sources.age_s()
    return {
        **describe_version(node),
        "cluster": node.settings.cluster,
        "address": str(node.settings.link),
        "region": node.settings.region,
        "data_centre": node.settings.data_centre,
        "service": node.settings.service,
        "incarnation": node.incarnation,
        "floor": replica.state.floor,
        "newest_seen": replica.state.newest_seen,
        "publication": in_force.head.publication if in_force else "",
        "freshness_age_s": age if age < 1e9 else None,
        "members": [
            _describe_member(member)
            for member in sorted(
                node.control.members.table.members.values(),
                key=lambda member: member.address,
            )
        ],
        "targets": _describe_targets(node),
        "queues": _describe_queues(node),
        "calls_in_flight": {
            "entry": len(node.entry.flows),
            "keeper": node.relay.in_flight,
            "remote": node.remote.in_flight,
            "ids_held": len(node.relay.keeper),
        },
        "links": [
            {
                "peer": str(link.peer.address),
                "sent_control": link.counters.sent_control,
                "sent_calls": link.counters.sent_calls,
                "received_control": link.counters.received_control,
                "received_calls": link.counters.received_calls,
            }
            for link in node.links.list_links()
        ],
        "control": _describe_control(node),
    }


def _describe_member(member: model.Member) -> dict[str, Any]:
    return {
        "address": str(member.address),
        "status_address": str(member.status),
        "service": member.service,
        "data_centre": member.place.data_centre,
        "region": member.place.region,
        "state": member.state.name.lower(),
        "incarnation": member.incarnation,
    }


def _describe_targets(node: "nodes.Node") -> list[dict[str, Any]]:
    return [
        {
            "service": name,
            "address": str(view.target.address),
            "tier": view.tier.name.lower(),
            "in_flight": view.in_flight,
            "queue": view.queue,
            "latency_s": view.latency_s,
            "ejected": view.ejected_until is not None,
        }
        for name, service in sorted(node.entry.list_views().items())
        for view in service.views.values()
    ]


def _describe_queues(node: "nodes.Node") -> dict[str, Any]:
    load = node.relay.admission.get_load()
    names = [work.name.lower() for work in model.WorkClass]
    return {
        "slots": load.slots,
        "running": dict(zip(names, load.running, strict=True)),
        "queued": dict(zip(names, load.queued, strict=True)),
        "mean_s": dict(zip(names, load.mean_s, strict=True)),
        "paused": node.relay.admission.paused,
        "shed": node.relay.shed,
    }


def _describe_control(node: "nodes.Node") -> dict[str, Any]:
    total = node.links.count_bytes()
    packets = node.datagrams.counters
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "bytes_sent": total.sent_control + packets.sent_bytes,
        "bytes_received": total.received_control + packets.received_bytes,
        "cpu_s": usage.ru_utime + usage.ru_stime,
    }
