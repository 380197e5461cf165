@0xb7d2c6a19e3f4805;

using Members = import "members.capnp";

struct QuarantineRecord {
  fingerprint @0 :Data;
  service @1 :Text;
  crashes @2 :List(Data);
  crashedAtMs @3 :UInt64;
}

struct VmEntry {
  vmId @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  host @3 :Text;
  peerPort @4 :UInt16;
  incarnation @5 :UInt64;
  edition @6 :UInt64;
  state @7 :Text;
  endpoints @8 :List(Members.EndpointRecord);
  quarantined @9 :List(QuarantineRecord);
}

struct StateQuery {
  revision @0 :UInt64;
  entries @1 :Bool;
  acceptsDelta @2 :Bool;
}

struct RecordDelta {
  base @0 :UInt64;
  data @1 :Data;
  digest @2 :Data;
}

struct StateAnswer {
  config @0 :Data;
  entries @1 :List(VmEntry);
  delta @2 :RecordDelta;
}

struct ConfigNotice {
  revision @0 :UInt64;
  storeEra @1 :UInt64;
}

struct Envelope {
  union {
    vmEntry @0 :VmEntry;
    stateQuery @1 :StateQuery;
    stateAnswer @2 :StateAnswer;
    configNotice @3 :ConfigNotice;
  }
}
