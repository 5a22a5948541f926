"""Topologies: the regions, services, targets and calls of a deployment."""

import attrs

from filbertlift_core import model
from filbertlift_standins import schedule


@attrs.frozen
class ServicePlan:
    """A service and the data centres of its targets."""

    name: str
    data_centres: tuple[str, ...]
    slots: int
    connections: int


@attrs.frozen
class RecordMove:
    """The hand-over of a former partner's records to another service.

    Attributes:
        service: service that holds the records before the hand-over.
        path: path of the records within the service.
        custody: service that holds them afterwards.
    """

    service: str
    path: str
    custody: str


@attrs.frozen
class Topology:
    """The parts of a deployment.

    Attributes:
        name: name of the cluster and of its folder under examples/.
        places: data centres with their regions; the store is in the first
            region.
        services: services with their targets.
        caller: name of the external caller, which is not a service.
        operations: calls that the caller makes.
        move: hand-over that the demo publishes.
        delay_ms: one-way delay between the regions.
        rate_mbps: bandwidth limit in each direction between the regions.
    """

    name: str
    places: tuple[model.Place, ...]
    services: tuple[ServicePlan, ...]
    caller: str
    operations: tuple[schedule.Operation, ...]
    move: RecordMove
    delay_ms: float = 20.0
    rate_mbps: float = 30.0

    @property
    def regions(self) -> list[str]:
        """The regions in order; the store is in the first one."""
        return list(dict.fromkeys(place.region for place in self.places))

    @property
    def service_names(self) -> list[str]:
        """Names of the services."""
        return [plan.name for plan in self.services]

    def find_place(self, data_centre: str) -> model.Place:
        """Returns the place of a data centre."""
        for place in self.places:
            if place.data_centre == data_centre:
                return place
        raise KeyError(data_centre)


def _make_places(regions: dict[str, list[str]]) -> tuple[model.Place, ...]:
    return tuple(
        model.Place(region, data_centre)
        for region, names in regions.items()
        for data_centre in names
    )


def _parse_operation(text: str) -> schedule.Operation:
    return schedule.Operation.parse(text)


def with_share(
    operation: schedule.Operation, share: float
) -> schedule.Operation:
    """Returns the operation with another weight."""
    return attrs.evolve(operation, share=share)


def make_fleet(nodes: int) -> Topology:
    """Returns a fleet to measure the control plane with.

    It has three services, two regions and four data centres.

    Args:
        nodes: number of nodes, a multiple of twelve.
    """
    data_centres = ("a1", "a2", "b1", "b2") * (nodes // 12)
    return Topology(
        name=f"fleet-{nodes}",
        places=_make_places({"a": ["a1", "a2"], "b": ["b1", "b2"]}),
        services=tuple(
            ServicePlan(name, data_centres, 16, 100)
            for name in ("yards", "confirm", "papers")
        ),
        caller="fleet-caller",
        operations=(),
        move=RecordMove("papers", "/none", "yards"),
    )


def make_desk(
    operations: tuple[schedule.Operation, ...], targets: int = 4, other: int = 0
) -> Topology:
    """Returns one data centre with the service `desk`, to measure calls with.

    Args:
        operations: calls that the caller makes.
        targets: number of targets of the service `desk`.
        other: number of targets of the service `other`; no calls are meant
            for it, but its nodes can serve as entries.
    """
    services = [ServicePlan("desk", ("a1",) * targets, 6, 130)]
    if other:
        services.append(ServicePlan("other", ("a1",) * other, 6, 130))
    return Topology(
        name="desk",
        places=_make_places({"a": ["a1"]}),
        services=tuple(services),
        caller="desk-caller",
        operations=operations,
        move=RecordMove("desk", "/none", "desk"),
    )


_TUSSOCK_ROAD_DATA_CENTRES = ("hamilton", "palmerston", "ashburton", "gore")
TUSSOCK_ROAD = Topology(
    name="tussock-road",
    places=_make_places(
        {
            "north-is": ["hamilton", "palmerston"],
            "south-is": ["ashburton", "gore"],
        }
    ),
    services=(
        ServicePlan("yards", _TUSSOCK_ROAD_DATA_CENTRES, 6, 130),
        ServicePlan("confirm", _TUSSOCK_ROAD_DATA_CENTRES, 6, 130),
        ServicePlan("papers", _TUSSOCK_ROAD_DATA_CENTRES, 6, 130),
        ServicePlan("mokau-custody", ("hamilton", "ashburton"), 6, 130),
    ),
    caller="cartage-firms",
    operations=(
        _parse_operation("check=GET /yards/checks/{n};share=0.1;work_ms=3"),
        _parse_operation("counter=GET /yards/slots/{n};share=0.4;work_ms=8"),
        _parse_operation(
            "booking=POST /confirm/bookings;share=0.25;work_ms=12;"
            "body_bytes=300;keyed=1"
        ),
        _parse_operation(
            "partner=POST /papers/partners/mokau/{n};share=0.15;work_ms=8;"
            "body_bytes=200;keyed=1"
        ),
        _parse_operation(
            "long=GET /papers/manifests/{n};share=0.04;work_ms=150;"
            "answer_bytes=400000;deadline_ms=20000"
        ),
    ),
    move=RecordMove("papers", "/partners/mokau", "mokau-custody"),
)

_CALDERMOOR_DATA_CENTRES = ("edin-a", "edin-b", "glas-a", "glas-b")
CALDERMOOR = Topology(
    name="caldermoor",
    places=_make_places(
        {"edin": ["edin-a", "edin-b"], "glas": ["glas-a", "glas-b"]}
    ),
    services=(
        ServicePlan("enquiry-desk", _CALDERMOOR_DATA_CENTRES, 18, 110),
        ServicePlan("issuance", _CALDERMOOR_DATA_CENTRES, 18, 110),
        ServicePlan("archive", _CALDERMOOR_DATA_CENTRES, 18, 110),
        ServicePlan("kilbride-custody", ("edin-b", "glas-a"), 18, 110),
    ),
    caller="law-firms",
    operations=(
        _parse_operation(
            "check=GET /issuance/seal-register/{n};share=0.1;work_ms=3"
        ),
        _parse_operation(
            "counter=GET /enquiry-desk/status/{n};share=0.4;work_ms=6"
        ),
        _parse_operation(
            "fee=POST /issuance/fees;share=0.25;work_ms=12;"
            "body_bytes=300;keyed=1"
        ),
        _parse_operation(
            "partner=POST /archive/partners/kilbride/{n};share=0.15;work_ms=8;"
            "body_bytes=200;keyed=1"
        ),
        _parse_operation(
            "long=GET /archive/bundles/{n};share=0.04;work_ms=200;"
            "answer_bytes=600000;deadline_ms=20000"
        ),
    ),
    move=RecordMove("archive", "/partners/kilbride", "kilbride-custody"),
)

EXAMPLES = (TUSSOCK_ROAD, CALDERMOOR)
