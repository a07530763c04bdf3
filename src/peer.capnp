@0xd2b7a5c1e94f3068;

interface PeerHost {
  # One host's process, as its peers call it.

  exchange @0 (digest :PeerDigest) -> (digest :PeerDigest);
  # Gives what the caller knows and takes what the callee knows.

  fetchConfig @1 () -> (revision :UInt64, value :Data);
  # The configuration in force, its value deflated; revision 0 while there is none.
}

struct PeerDigest {
  sender @0 :MemberBeat;
  revision @1 :UInt64;
  echo @2 :HeartbeatEcho;
  complete @3 :Bool;
  beats @4 :List(MemberBeat);
  records @5 :List(MemberRecord);
  wanted @6 :List(UInt64);
  demands @7 :List(DemandReport);
  loads @8 :List(LoadReport);
  marks @9 :List(DrainMark);
  newestRevision @10 :UInt64;
  newestHost @11 :UInt64;
  # The highest revision that the sender heard of, and a host that has it in force.
}

enum HostState {
  serving @0;
  draining @1;
  left @2;
}

struct MemberBeat {
  host @0 :UInt64;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt32;
  state @3 :HostState;
  age @4 :UInt16;
  # Hundredths of a second since the heartbeat rose at the sender of the digest.
}

struct HeartbeatEcho {
  incarnation @0 :UInt64;
  heartbeat @1 :UInt32;
}

struct MemberRecord {
  host @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  heartbeat @4 :UInt32;
  state @5 :HostState;
  revision @6 :UInt64;
}

struct DemandReport {
  customer @0 :UInt64;
  rate @1 :UInt32;
  concurrent @2 :UInt32;
}

struct LoadReport {
  endpoint @0 :UInt64;
  running @1 :UInt16;
  waiting @2 :UInt16;
  age @3 :UInt16;
  # Hundredths of a second since the load was read.
  leaving @4 :Bool;
}

struct DrainMark {
  endpoint @0 :UInt64;
  version @1 :UInt64;
  draining @2 :Bool;
}
