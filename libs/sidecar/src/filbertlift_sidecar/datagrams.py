"""Codec of the datagrams that nodes exchange.

Unlike `filbertlift_wire.datagrams`, it encodes digests and records of hosts in
msgpack, without a secret.
"""

from collections.abc import Callable
from collections.abc import Sequence
import socket
import struct
from typing import Annotated
from typing import Any
from typing import Final
from typing import TypeVar

import attrs
import msgspec

from filbertlift_core import decoding
from filbertlift_core import model
from filbertlift_mesh import directory
from filbertlift_mesh import evidence
from filbertlift_mesh import quotas
from filbertlift_mesh import rollouts
from filbertlift_sidecar import exceptions
from filbertlift_sidecar import rolloutrows

# Kinds of datagrams. `VERSION_ONLY` and `PROBE` carry nothing but the version
# in force; a probe is answered by the other one. `HOLD` asks to hold departures
# of the sender's host and `ASK` for those that are held, both answered by
# `HELD`. `ROLLOUTS` announces the states of orders and is answered by
# `ROLLOUTS_KNOWN`; `EVIDENCE` reports the runs of the target on the sender's
# host. `QUOTA_REPORT` has the requests of organisations at the sender, and
# `QUOTA_VERDICT` the fractions of them to admit. Builds that do not know a kind
# from `HOLD` on count its datagrams as malformed.
DIGEST: Final = 0
RECORDS: Final = 1
VERSION_ONLY: Final = 2
PROBE: Final = 3
HOLD: Final = 4
HELD: Final = 5
ASK: Final = 6
ROLLOUTS: Final = 7
ROLLOUTS_KNOWN: Final = 8
EVIDENCE: Final = 9
QUOTA_REPORT: Final = 10
QUOTA_VERDICT: Final = 11
_ROLLOUT_KINDS: Final = frozenset((ROLLOUTS, ROLLOUTS_KNOWN))
_DEPARTURE_KINDS: Final = frozenset((HOLD, HELD, ASK))

_Kind = Annotated[int, msgspec.Meta(ge=0, le=255)]
State = Annotated[int, msgspec.Meta(ge=0, le=int(max(directory.TargetState)))]
_Pair = tuple[decoding.IpNumber, decoding.Port]
_Row = tuple[
    decoding.IpNumber,
    decoding.Port,
    decoding.Stamp,
    decoding.Count,
    decoding.Count,
]
_Record = tuple[
    decoding.IpNumber,
    decoding.Port,
    decoding.Stamp,
    decoding.Count,
    decoding.Name,
    decoding.Name,
    bool,
    decoding.Name,
    decoding.Stamp,
    decoding.Name,
    decoding.Slots,
    State,
    bool,
    decoding.Count,
]
# First byte of the datagrams of quotas, which have four fields.
_QUOTA_PREFIX: Final = 0x94
# Fractions are sent as whole parts of this.
_FRACTION_PARTS: Final = 10_000
_ReportHead = tuple[decoding.Stamp, decoding.Stamp, bool]
_VerdictHead = tuple[decoding.Stamp]
_ReportRow = tuple[decoding.Name, decoding.Count, decoding.Count, int]
_VerdictRow = tuple[
    decoding.Name, Annotated[int, msgspec.Meta(ge=0, le=_FRACTION_PARTS)]
]
# Release of the target of a record in the same datagram, among the records.
# Builds that do not know releases reject this entry and keep the record.
_Release = tuple[
    decoding.IpNumber,
    decoding.Port,
    decoding.Stamp,
    decoding.Count,
    decoding.Name,
]
_Departure = tuple[decoding.Name, decoding.Stamp, State]
_T = TypeVar("_T")


@attrs.frozen
class Datagram:
    """A datagram between nodes.

    Attributes:
        kind: kind of the datagram.
        version: version in force at the sender, -1 before the first.
        rows: rows of a digest.
        records: records of hosts.
        wanted: addresses of the hosts whose records the sender requests.
        rejected: reasons why entries of a received datagram were left out.
        departures: departures of targets, without service and slots.
        report: requests of organisations.
        verdict: fractions of the requests of organisations to admit.
        states: states of orders, with times relative to now.
        reports: evidence about targets.
    """

    kind: int
    version: int
    rows: Sequence[directory.DigestRow] = ()
    records: Sequence[directory.HostRecord] = ()
    wanted: Sequence[model.Address] = ()
    rejected: Sequence[str] = ()
    departures: Sequence[directory.TargetRecord] = ()
    report: quotas.Report | None = None
    verdict: quotas.Verdict | None = None
    states: Sequence[rollouts.Rollout] = ()
    reports: Sequence[evidence.Report] = ()


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[_Kind, decoding.Version, list[_Row], list[_Record], list[_Pair]]
)
# Leaves the entries undecoded, so that each can be rejected by itself.
_RAW_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[
        _Kind,
        decoding.Version,
        list[msgspec.Raw],
        list[msgspec.Raw],
        list[msgspec.Raw],
    ]
)
_DEPARTURES_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[_Kind, decoding.Version, list[msgspec.Raw]]
)
_QUOTA_DECODER: Final = msgspec.msgpack.Decoder(
    tuple[_Kind, decoding.Version, msgspec.Raw, list[msgspec.Raw]]
)
_REPORT_HEAD_DECODER: Final = msgspec.msgpack.Decoder(_ReportHead)
_REPORT_ROW_DECODER: Final = msgspec.msgpack.Decoder(_ReportRow)
_VERDICT_HEAD_DECODER: Final = msgspec.msgpack.Decoder(_VerdictHead)
_VERDICT_ROW_DECODER: Final = msgspec.msgpack.Decoder(_VerdictRow)
_ROW_DECODER: Final = msgspec.msgpack.Decoder(_Row)
_RECORD_DECODER: Final = msgspec.msgpack.Decoder(_Record)
_RELEASE_DECODER: Final = msgspec.msgpack.Decoder(_Release)
_PAIR_DECODER: Final = msgspec.msgpack.Decoder(_Pair)
_DEPARTURE_DECODER: Final = msgspec.msgpack.Decoder(_Departure)


def encode_datagram(datagram: Datagram) -> bytes:
    """Returns the bytes of a datagram."""
    if datagram.kind in _DEPARTURE_KINDS:
        rows = [
            (target.target_id, target.born_ms, int(target.state))
            for target in datagram.departures
        ]
        return _ENCODER.encode((datagram.kind, datagram.version, rows))
    if datagram.report is not None:
        return _encode_report(datagram, datagram.report)
    if datagram.verdict is not None:
        return _encode_verdict(datagram, datagram.verdict)
    if datagram.kind in _ROLLOUT_KINDS:
        states = [rolloutrows.encode_rollout(row) for row in datagram.states]
        return _ENCODER.encode((datagram.kind, datagram.version, states))
    if datagram.kind == EVIDENCE:
        reports = [rolloutrows.encode_report(row) for row in datagram.reports]
        return _ENCODER.encode((datagram.kind, datagram.version, reports))
    return _ENCODER.encode(
        (
            datagram.kind,
            datagram.version,
            [_encode_row(row) for row in datagram.rows],
            _encode_records(datagram.records),
            [_pack_address(address) for address in datagram.wanted],
        )
    )


def decode_datagram(data: bytes) -> Datagram:
    """Returns a received datagram without the entries that are invalid.

    Raises:
        DatagramError: if the datagram as a whole is malformed.
    """
    if data and data[0] == _QUOTA_PREFIX:
        return _decode_quotas(data)
    try:
        kind, version, rows, records, wanted = _DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return _decode_entries(data)
    return Datagram(
        kind,
        version,
        [_decode_row(row) for row in rows],
        [_decode_record(record) for record in records],
        [_unpack_address(*pair) for pair in wanted],
    )


def _decode_entries(data: bytes) -> Datagram:
    """Decodes the entries of a datagram one by one."""
    try:
        kind, version, rows, records, wanted = _RAW_DECODER.decode(data)
    except decoding.DECODE_ERRORS:
        return _decode_departures(data)
    rejected: list[str] = []
    return Datagram(
        kind,
        version,
        _decode_valid(rows, _ROW_DECODER, _decode_row, rejected),
        _decode_records(records, rejected),
        _decode_valid(
            wanted,
            _PAIR_DECODER,
            lambda pair: _unpack_address(*pair),
            rejected,
        ),
        rejected,
    )


def _decode_departures(data: bytes) -> Datagram:
    try:
        kind, version, rows = _DEPARTURES_DECODER.decode(data)
    except decoding.DECODE_ERRORS as error:
        raise exceptions.DatagramError(str(error)) from error
    rejected: list[str] = []
    if kind in _ROLLOUT_KINDS:
        states = _decode_valid(
            rows,
            rolloutrows.ROLLOUT_DECODER,
            rolloutrows.decode_rollout,
            rejected,
        )
        return Datagram(kind, version, rejected=rejected, states=states)
    if kind == EVIDENCE:
        reports = _decode_valid(
            rows,
            rolloutrows.REPORT_DECODER,
            rolloutrows.decode_report,
            rejected,
        )
        return Datagram(kind, version, rejected=rejected, reports=reports)
    departures = _decode_valid(
        rows, _DEPARTURE_DECODER, _decode_departure, rejected
    )
    return Datagram(kind, version, rejected=rejected, departures=departures)


def _encode_report(datagram: Datagram, report: quotas.Report) -> bytes:
    head = (report.owner_ms, report.incarnation_ms, report.is_asking)
    rows = [
        (row.name, row.epoch, row.arrivals, row.admitted) for row in report.rows
    ]
    return _ENCODER.encode((datagram.kind, datagram.version, head, rows))


def _encode_verdict(datagram: Datagram, verdict: quotas.Verdict) -> bytes:
    rows = [
        (name, int(fraction * _FRACTION_PARTS))
        for name, fraction in verdict.fractions.items()
    ]
    head = (verdict.owner_ms,)
    return _ENCODER.encode((datagram.kind, datagram.version, head, rows))


def _decode_quotas(data: bytes) -> Datagram:
    rejected: list[str] = []
    report: quotas.Report | None = None
    verdict: quotas.Verdict | None = None
    try:
        kind, version, head, entries = _QUOTA_DECODER.decode(data)
        if kind == QUOTA_REPORT:
            rows = _decode_valid(
                entries,
                _REPORT_ROW_DECODER,
                lambda row: quotas.Row(*row),
                rejected,
            )
            fields = _REPORT_HEAD_DECODER.decode(head)
            report = quotas.Report(*fields, tuple(rows))
        elif kind == QUOTA_VERDICT:
            pairs = _decode_valid(
                entries,
                _VERDICT_ROW_DECODER,
                lambda row: (row[0], row[1] / _FRACTION_PARTS),
                rejected,
            )
            (owner_ms,) = _VERDICT_HEAD_DECODER.decode(head)
            verdict = quotas.Verdict(owner_ms, dict(pairs))
        else:
            raise exceptions.DatagramError(f"unknown kind {kind}")
    except decoding.DECODE_ERRORS as error:
        raise exceptions.DatagramError(str(error)) from error
    return Datagram(
        kind, version, rejected=rejected, report=report, verdict=verdict
    )


def _decode_records(
    entries: Sequence[msgspec.Raw], rejected: list[str]
) -> list[directory.HostRecord]:
    """Returns the valid records with the releases of their targets."""
    releases: dict[tuple[Any, ...], str] = {}
    others: list[msgspec.Raw] = []
    for entry in entries:
        try:
            row = _RELEASE_DECODER.decode(entry)
        except decoding.DECODE_ERRORS:
            others.append(entry)
            continue
        releases[_unpack_address(row[0], row[1]), row[2], row[3]] = row[4]
    records = _decode_valid(others, _RECORD_DECODER, _decode_record, rejected)
    return [
        _add_release(record, releases.get((record.address, *record.stamp), ""))
        for record in records
    ]


def _add_release(
    record: directory.HostRecord, release: str
) -> directory.HostRecord:
    if not release or record.target is None:
        return record
    target = attrs.evolve(record.target, release=release)
    return attrs.evolve(record, target=target)


def _decode_valid(
    entries: Sequence[msgspec.Raw],
    decoder: Any,
    convert: Callable[[Any], _T],
    rejected: list[str],
) -> list[_T]:
    """Returns the valid entries; appends the reasons against the others."""
    valid: list[_T] = []
    for entry in entries:
        try:
            valid.append(convert(decoder.decode(entry)))
        except decoding.DECODE_ERRORS as error:
            rejected.append(str(error))
    return valid


def _pack_address(address: model.Address) -> tuple[int, int]:
    number = struct.unpack(">I", socket.inet_aton(address.host))[0]
    return number, address.port


def _unpack_address(number: int, port: int) -> model.Address:
    return model.Address(socket.inet_ntoa(struct.pack(">I", number)), port)


def _encode_row(row: directory.DigestRow) -> _Row:
    number, port = _pack_address(row.address)
    return number, port, row.incarnation_ms, row.revision, row.beat


def _decode_row(row: _Row) -> directory.DigestRow:
    return directory.DigestRow(_unpack_address(row[0], row[1]), *row[2:])


def _decode_departure(row: _Departure) -> directory.TargetRecord:
    return directory.TargetRecord(
        row[0], row[1], "", 0, directory.TargetState(row[2])
    )


def _encode_records(
    records: Sequence[directory.HostRecord],
) -> list[_Record | _Release]:
    """Returns the rows of records, and of the releases that they have."""
    rows: list[_Record | _Release] = [
        _encode_record(record) for record in records
    ]
    rows += [
        (
            *_pack_address(record.address),
            *record.stamp,
            record.target.release,
        )
        for record in records
        if record.target is not None and record.target.release
    ]
    return rows


def _encode_record(record: directory.HostRecord) -> _Record:
    number, port = _pack_address(record.address)
    target = record.target
    return (
        number,
        port,
        record.incarnation_ms,
        record.revision,
        record.place.region,
        record.place.data_centre,
        record.is_leaving,
        target.target_id if target else "",
        target.born_ms if target else 0,
        target.service if target else "",
        target.slots if target else 0,
        int(target.state) if target else 0,
        record.has_store,
        record.link_kbps,
    )


def _decode_record(row: _Record) -> directory.HostRecord:
    target = None
    if row[7]:
        target = directory.TargetRecord(
            row[7], row[8], row[9], row[10], directory.TargetState(row[11])
        )
    return directory.HostRecord(
        _unpack_address(row[0], row[1]),
        row[2],
        row[3],
        model.Place(row[4], row[5]),
        row[6],
        target,
        row[12],
        row[13],
    )
