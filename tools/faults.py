"""Faults for the mutation checks, each with the test that has to find it."""

from typing import Final

import attrs

CALLS_TEST: Final = "libs/calls/tests/test_at_most_once.py"
ADMISSION_TEST: Final = "libs/calls/tests/test_admission.py"
KEEPER_TEST: Final = "libs/calls/tests/test_keeper.py"
PUBLISHER_TEST: Final = "libs/store/tests/test_publisher.py"
RACE_TEST: Final = "libs/store/tests/test_publication_race.py"
SNAPSHOT_TEST: Final = "libs/config/tests/test_snapshot.py"
MEMBERS_TEST: Final = "libs/membership/tests/test_members.py"
VERSIONS_TEST: Final = "libs/distribution/tests/test_versions.py"
REPLICA_TEST: Final = "libs/distribution/tests/test_replica.py"
ANSWER_TEST: Final = "libs/sidecar/tests/test_answerreader.py"
EXCHANGE_TEST: Final = "libs/sidecar/tests/test_exchange.py"


@attrs.frozen
class Fault:
    """One fault, as a text patch of a module.

    Attributes:
        name: what the patched code does wrong.
        library: library of the module.
        module: file name without `.py`.
        old: text that occurs exactly once in the module.
        new: text that replaces it.
        test: test file that has to fail, relative to the root.
    """

    name: str
    library: str
    module: str
    old: str
    new: str
    test: str


FAULTS: Final = (
    Fault(
        "retry a call that may have run and is not idempotent",
        "calls",
        "outcomes",
        "    if ran and not call.idempotent:\n        return False\n",
        "",
        CALLS_TEST,
    ),
    Fault(
        "report not run at the deadline, before the withdrawal is confirmed",
        "calls",
        "outcomes",
        "    AttemptEnd.DEADLINE_SENT: codes.TIMEOUT,\n",
        "",
        CALLS_TEST,
    ),
    Fault(
        "report not run for a lost link without settling first",
        "calls",
        "outcomes",
        "    if attempt.end is AttemptEnd.LINK_LOST_SENT and"
        " call.time_left_s > 0:\n"
        "        return SettleFirst(codes.LINK_LOST)\n",
        "    if attempt.end is AttemptEnd.LINK_LOST_SENT:\n"
        "        return _answer_not_run(attempt, call, codes.WITHDRAWN)\n",
        CALLS_TEST,
    ),
    Fault(
        "report not run although an earlier attempt may have run",
        "calls",
        "outcomes",
        "    if call.may_have_run and not (",
        "    if False and not (",
        CALLS_TEST,
    ),
    Fault(
        "ignore the incarnation in a settlement",
        "calls",
        "keeper",
        "        if inquiry.incarnation != self.incarnation:\n"
        "            return records.Settlement(call_id,",
        "        if False:\n            return records.Settlement(call_id,",
        CALLS_TEST,
    ),
    Fault(
        "ignore the incarnation of a repeat",
        "calls",
        "keeper",
        "        if refusal is not None:\n            return refusal\n",
        "",
        CALLS_TEST,
    ),
    Fault(
        "settle a call as not run after its id has expired",
        "calls",
        "keeper",
        "        if inquiry.age_s > RETENTION_S - MAX_FRAME_LIFETIME_S:\n",
        "        if False:\n",
        CALLS_TEST,
    ),
    Fault(
        "confirm the withdrawal of a running call",
        "calls",
        "keeper",
        "        if entry.state is records.CallState.RUNNING"
        " or len(entry.askers) > 1:\n",
        "        if entry.state is records.CallState.RUNNING:\n"
        "            return records.Withdrawn(call_id)\n"
        "        if len(entry.askers) > 1:\n",
        CALLS_TEST,
    ),
    Fault(
        "record no tombstone for a settlement",
        "calls",
        "keeper",
        "        self._hold(\n"
        "            call_id,\n"
        "            _Entry(\n"
        "                records.CallState.ABSENT,",
        "        (lambda *_: None)(\n"
        "            call_id,\n"
        "            _Entry(\n"
        "                records.CallState.ABSENT,",
        CALLS_TEST,
    ),
    Fault(
        "reset the attempt number in the tombstone of a withdrawal",
        "calls",
        "keeper",
        "        self.drop(call_id, codes.WITHDRAWN, now)\n",
        "        entry.attempt = 0\n"
        "        self.drop(call_id, codes.WITHDRAWN, now)\n",
        KEEPER_TEST,
    ),
    Fault(
        "run every repeat of a dropped call",
        "calls",
        "keeper",
        "    if call.attempt <= entry.attempt:\n        return False\n",
        "",
        CALLS_TEST,
    ),
    Fault(
        "withdraw a call that another asker waits for",
        "calls",
        "keeper",
        " or len(entry.askers) > 1:",
        ":",
        CALLS_TEST,
    ),
    Fault(
        "run a second copy of a call that was refused for a reused key",
        "calls",
        "keeper",
        "    entry.attempt = max(entry.attempt, call.attempt)\n"
        "    if entry.fingerprint",
        "    if entry.fingerprint",
        KEEPER_TEST,
    ),
    Fault(
        "answer a reused key with the answer of another request",
        "calls",
        "keeper",
        "    if entry.fingerprint != call.fingerprint:\n",
        "    if False:\n",
        CALLS_TEST,
    ),
    Fault(
        "settle a reused key with the answer of another request",
        "calls",
        "keeper",
        "        if is_absent or entry.fingerprint != inquiry.fingerprint:\n",
        "        if is_absent:\n",
        CALLS_TEST,
    ),
    Fault(
        "expire a running call after its retention",
        "calls",
        "keeper",
        "            if entry.state in _OPEN:\n                entry.expires",
        "            if False:\n                entry.expires",
        CALLS_TEST,
    ),
    Fault(
        "exceed the slots",
        "calls",
        "admission",
        "        if self._total >= self.slots:\n",
        "        if self._total > self.slots:\n",
        CALLS_TEST,
    ),
    Fault(
        "start work while draining",
        "calls",
        "admission",
        "        if self.paused is not None:\n            return results\n",
        "",
        ADMISSION_TEST,
    ),
    Fault(
        "serve long work first",
        "calls",
        "queues",
        "        for work in _CLASSES if include_long else _SHORT:\n",
        "        for work in reversed(_CLASSES if include_long else _SHORT):\n",
        CALLS_TEST,
    ),
    Fault(
        "let long work take every slot",
        "calls",
        "admission",
        "        return slots - 1\n",
        "        return slots\n",
        ADMISSION_TEST,
    ),
    Fault(
        "retry a publication without looking for it in the history",
        "store",
        "publisher",
        "        if record.publication == publication:\n",
        "        if False:\n",
        RACE_TEST,
    ),
    Fault(
        "report failure after a lost answer",
        "store",
        "publisher",
        "    if progress.pending_write is not None:\n"
        "        return _make_unsettled(request.publication,"
        " progress.pending_write)\n"
        "    reason",
        "    reason",
        PUBLISHER_TEST,
    ),
    Fault(
        "treat a conflict answer as proof that the write failed",
        "store",
        "publisher",
        "        progress.last_error = str(error)\n        return False",
        "        progress.pending_write = earlier\n        return False",
        PUBLISHER_TEST,
    ),
    Fault(
        "publish again when the history no longer covers the earlier write",
        "store",
        "publisher",
        "    if progress.pending_write.version"
        " <= head.version - heads.HISTORY_LENGTH:\n",
        "    if False:\n",
        PUBLISHER_TEST,
    ),
    Fault(
        "delete parts without writing the head first",
        "store",
        "cleanup",
        "    yield store.compare_and_swap(\n"
        "        interface.head_key(cluster), head.revision, head.value\n"
        "    )\n",
        "",
        PUBLISHER_TEST,
    ),
    Fault(
        "delete parts that the oldest version of the history names",
        "store",
        "cleanup",
        "drop.version <= oldest and",
        "drop.version <= oldest + 1 and",
        PUBLISHER_TEST,
    ),
    Fault(
        "keep a part in the journal after a version names it again",
        "store",
        "cleanup",
        "    journal = remove_keys(journal, after)\n",
        "",
        PUBLISHER_TEST,
    ),
    Fault(
        "count parts as written although the head has changed",
        "store",
        "parts",
        "        if self._head_revision != loaded.revision:\n",
        "        if self._head_revision == -1:\n",
        PUBLISHER_TEST,
    ),
    Fault(
        "do not rewrite a part that exists",
        "store",
        "parts",
        "            expected = entry.revision if entry is not None else 0\n",
        "            if entry is not None:\n                return\n",
        PUBLISHER_TEST,
    ),
    Fault(
        "apply a delta without checking the root",
        "config",
        "head",
        "    if hash_pages(head.pages) != head.root:\n",
        "    if False:\n",
        SNAPSHOT_TEST,
    ),
    Fault(
        "overwrite a section that was changed and changed back",
        "config",
        "publication",
        "    return current != base\n",
        "    hashes = [getattr(entry, 'hash', '')"
        " for entry in (current, base)]\n"
        "    return hashes[0] != hashes[1]\n",
        SNAPSHOT_TEST,
    ),
    Fault(
        "drop the record of a removal at once",
        "config",
        "snapshot",
        "version - heads.HISTORY_LENGTH\n",
        "version\n",
        SNAPSHOT_TEST,
    ),
    Fault(
        "accept the token of a withdrawn key",
        "config",
        "tokens",
        "            if known.get(item.name)"
        " == previous._keys.get(item.name)\n",
        "",
        SNAPSHOT_TEST,
    ),
    Fault(
        "also check the caller against the service that had the records",
        "config",
        "routes",
        "        if found.record_depth:\n            found, since",
        "        if caller in found.callers and found.record_depth:\n"
        "            found, since",
        SNAPSHOT_TEST,
    ),
    Fault(
        "omit the recorded floor from the answer to a restarted node",
        "distribution",
        "replica",
        "            self.floor_table.floor_of(sender),\n",
        "",
        VERSIONS_TEST,
    ),
    Fault(
        "settle a floor of 0 on restart",
        "distribution",
        "replica",
        "self.state.set_floor(max(floor, self.state.newest_seen))",
        "self.state.set_floor(0)",
        REPLICA_TEST,
    ),
    Fault(
        "settle the floor before all neighbours have responded",
        "distribution",
        "floors",
        "        if self.neighbours - self.responses.keys():\n"
        "            return None\n",
        "",
        VERSIONS_TEST,
    ),
    Fault(
        "put a candidate in force without a witness",
        "distribution",
        "replica",
        "        if self._witnesses.is_alone:\n",
        "        if True:\n",
        REPLICA_TEST,
    ),
    Fault(
        "count a witness that a restarted node does not ask",
        "distribution",
        "witnesses",
        "(self._known.get(peer, 0) for peer in self._chosen)",
        "self._known.values()",
        VERSIONS_TEST,
    ),
    Fault(
        "accept an older version",
        "distribution",
        "versions",
        "        if snapshot.version <= self.version or"
        " snapshot.version < self.floor:\n",
        "        if snapshot == self.in_force:\n",
        VERSIONS_TEST,
    ),
    Fault(
        "count a confirmation of a newer version for the one in force",
        "distribution",
        "freshness",
        "        if version <= self.version:\n",
        "        if True:\n",
        REPLICA_TEST,
    ),
    Fault(
        "ignore the delay of a heartbeat",
        "distribution",
        "freshness",
        "- max(transit, 0.0)",
        "",
        REPLICA_TEST,
    ),
    Fault(
        "let an old ALIVE record replace DEAD",
        "membership",
        "members",
        "    return update.state > known.state\n",
        "    return update.state != known.state\n",
        MEMBERS_TEST,
    ),
    Fault(
        "forget the incarnation of an expired member",
        "membership",
        "members",
        "        return self.members.get(address) or"
        " self._forgotten.get(address)\n",
        "        return self.members.get(address)\n",
        MEMBERS_TEST,
    ),
    Fault(
        "do not detect that this node was paused",
        "membership",
        "members",
        "        if last is None or now - last < SUSPECT_TIMEOUT_S:\n",
        "        if True:\n",
        MEMBERS_TEST,
    ),
    Fault(
        "do not refute a suspicion of this node",
        "membership",
        "members",
        "        if update.incarnation < self.own.incarnation:\n",
        "        if update.incarnation <= self.own.incarnation:\n",
        MEMBERS_TEST,
    ),
    Fault(
        "suspect others while most of this node's own probes fail",
        "membership",
        "probes",
        "if not self.is_healthy or self._allowance",
        "if self._allowance",
        MEMBERS_TEST,
    ),
    Fault(
        "suspect members without a limit",
        "membership",
        "probes",
        "        return self._table.suspected < MAX_SUSPECTED\n",
        "        return True\n",
        MEMBERS_TEST,
    ),
    Fault(
        "never contact a DEAD member that responds",
        "membership",
        "probes",
        "            return [Reconnect(probe.target)]\n",
        "            return []\n",
        MEMBERS_TEST,
    ),
    Fault(
        "accept a refusal without an id on a reused connection",
        "sidecar",
        "answerreader",
        "        is_due = is_refusal and not is_reused\n",
        "        is_due = is_refusal\n",
        ANSWER_TEST,
    ),
    Fault(
        "take an answer to another request that ends with its connection",
        "sidecar",
        "answerreader",
        "    if is_whole and owner is Owner.OUTSTANDING:\n",
        "    if is_whole:\n",
        ANSWER_TEST,
    ),
    Fault(
        "take a whole answer to another request",
        "sidecar",
        "answerreader",
        "        is_due = answered_id == request.request_id\n",
        "        is_due = True\n",
        ANSWER_TEST,
    ),
    Fault(
        "send a request on a connection that carried its id",
        "sidecar",
        "exchange",
        "            if request.request_id in connection.used_ids:\n",
        "            if False:\n",
        EXCHANGE_TEST,
    ),
    Fault(
        "stop probing a link when its last call is withdrawn",
        "sidecar",
        "peerlink",
        "        return self.outstanding > 0 or self._is_awaiting\n",
        "        return self.outstanding > 0\n",
        "libs/sidecar/tests/test_peerlink.py",
    ),
    Fault(
        "acknowledge a departure before it is kept elsewhere",
        "sidecar",
        "control",
        "            self._acknowledge_once_kept(reply)\n",
        "            self._send(reply, 200)\n",
        "libs/sidecar/tests/test_control.py",
    ),
    Fault(
        "serve the oldest of the late calls first",
        "mesh",
        "backlog",
        "is_late, -latest if is_late else latest\n",
        "is_late, latest\n",
        "libs/mesh/tests/test_backlog.py",
    ),
    Fault(
        "take short deadlines of mixed callers for returning ones",
        "mesh",
        "patience",
        "        if self.short_share.value > MAX_MIXED_SHARE:\n",
        "        if False:\n",
        "libs/mesh/tests/test_patience.py",
    ),
    Fault(
        "count a kilobyte between regions like one within them",
        "mesh",
        "placement",
        "    Distance.ELSEWHERE: 0.035,\n",
        "    Distance.ELSEWHERE: 0.0035,\n",
        "libs/mesh/tests/test_placement.py",
    ),
)
