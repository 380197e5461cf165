@0xd31e6b1f0a5c4e02;

struct VmRecord {
  vmId @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  host @3 :Text;
  ingressPort @4 :UInt16;
  peerPort @5 :UInt16;
  gossipPort @6 :UInt16;
  adminPort @7 :UInt16;
  incarnation @8 :UInt64;
  state @9 :Text;
}

struct EndpointRecord {
  endpointId @0 :Text;
  vmId @1 :Text;
  service @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
  slots @5 :UInt32;
  connections @6 :UInt32;
  incarnation @7 :UInt64;
  state @8 :Text;
  health @9 :Text;
}

struct DirectoryQuery {
  sender @0 :VmRecord;
}

struct DirectoryReply {
  sender @0 :VmRecord;
  vms @1 :List(VmRecord);
  endpoints @2 :List(EndpointRecord);
}

struct Envelope {
  union {
    directoryQuery @0 :DirectoryQuery;
    directoryReply @1 :DirectoryReply;
  }
}
