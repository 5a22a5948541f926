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
  number @4 :UInt32;
  echo @5 :UInt32;
  heldMs @6 :UInt32;
}

struct Notice {
  version @0 :UInt64;
  root @1 :Text;
  ageMs @2 :Int64;
}

struct Fetch {
  baseVersion @0 :UInt64;
}

struct Update {
  baseVersion @0 :UInt64;
  # The raw body holds a part of the encoded delta.
  last @1 :Bool;
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
    notice @4 :Notice;
    fetch @5 :Fetch;
    update @6 :Update;
    gossip @7 :Gossip;
    digest @8 :Digest;
    report @9 :Report;
    reported @10 :Report;
    askFloor @11 :AskFloor;
    floor @12 :Floor;
    ping @13 :Probe;
    ack @14 :Probe;
    pingRequest @15 :Probe;
  }
}
