@0xd3a9c47b15e60f82;
# Headers of the frames between nodes. Fields are only ever added, with new
# ordinals, so that wire versions n and n-1 understand each other.

struct Member {
  address @0 :Text;
  region @1 :Text;
  dataCentre @2 :Text;
  service @3 :Text;
  target @4 :Text;
  incarnation @5 :UInt64;
  state @6 :UInt8;
  status @7 :Text;
}

struct Greeting {
  cluster @0 :Text;
  wireVersion @1 :UInt16;
  member @2 :Member;
  version @3 :UInt64;
  proof @4 :Data;
  nonce @5 :Data;
}

struct Heartbeat {
  version @0 :UInt64;
  root @1 :Text;
  ageMs @2 :Int64;
  queue @3 :UInt32;
}

struct Call {
  stream @0 :UInt32;
  attempt @1 :UInt16;
  depth @2 :UInt8;
  keyed @3 :Bool;
  more @4 :Bool;
  version @5 :UInt64;
  deadlineMs @6 :UInt64;
  incarnation @7 :UInt64;
  callId @8 :Data;
  fingerprint @9 :Data;
  caller @10 :Text;
  token @11 :Text;
  service @12 :Text;
  method @13 :Text;
  path @14 :Text;
  # Name and value of each header in turn, one a line.
  headers @15 :Text;
}

struct Answer {
  stream @0 :UInt32;
  status @1 :UInt16;
  outcome @2 :UInt8;
  retried @3 :Bool;
  more @4 :Bool;
  version @5 :UInt64;
  incarnation @6 :UInt64;
  retryAfterMs @7 :UInt32;
  queue @8 :UInt32;
  code @9 :Text;
  headers @10 :Text;
}

struct Chunk {
  stream @0 :UInt32;
  last @1 :Bool;
  failed @2 :Bool;
}

struct Credit {
  stream @0 :UInt32;
  bytes @1 :UInt32;
}

struct Cancel {
  stream @0 :UInt32;
  callId @1 :Data;
}

struct Cancelled {
  stream @0 :UInt32;
  callId @1 :Data;
  ran @2 :Bool;
}

struct Settle {
  stream @0 :UInt32;
  callId @1 :Data;
  incarnation @2 :UInt64;
}

struct Settled {
  stream @0 :UInt32;
  callId @1 :Data;
  outcome @2 :UInt8;
  known @3 :Bool;
  running @4 :Bool;
  status @5 :UInt16;
  headers @6 :Text;
}

struct Notice {
  version @0 :UInt64;
  root @1 :Text;
  ageMs @2 :Int64;
}

struct Fetch {
  baseVersion @0 :UInt64;
}

struct SectionSize {
  name @0 :Text;
  bytes @1 :UInt32;
}

struct Update {
  baseVersion @0 :UInt64;
  # The raw body holds the head and then the changed sections, in this order.
  headBytes @1 :UInt32;
  whole @2 :Bool;
  changed @3 :List(SectionSize);
  removed @4 :List(Text);
  last @5 :Bool;
}

struct Gossip {
  members @0 :List(Member);
}

struct DigestEntry {
  dataCentre @0 :Text;
  digest @1 :Text;
}

struct Digest {
  entries @0 :List(DigestEntry);
}

struct Report {
  version @0 :UInt64;
}

struct AskFloor {
  address @0 :Text;
}

struct Floor {
  version @0 :UInt64;
  floor @1 :UInt64;
  complete @2 :Bool;
}

struct Probe {
  sequence @0 :UInt64;
  sender @1 :Text;
  version @2 :UInt64;
  ageMs @3 :Int64;
  about @4 :Text;
}

struct Header {
  union {
    unknown @0 :Void;
    hello @1 :Greeting;
    welcome @2 :Greeting;
    heartbeat @3 :Heartbeat;
    call @4 :Call;
    answer @5 :Answer;
    chunk @6 :Chunk;
    credit @7 :Credit;
    cancel @8 :Cancel;
    cancelled @9 :Cancelled;
    settle @10 :Settle;
    settled @11 :Settled;
    notice @12 :Notice;
    fetch @13 :Fetch;
    update @14 :Update;
    gossip @15 :Gossip;
    digest @16 :Digest;
    report @17 :Report;
    reported @18 :Report;
    askFloor @19 :AskFloor;
    floor @20 :Floor;
    ping @21 :Probe;
    ack @22 :Probe;
    pingRequest @23 :Probe;
  }
}
