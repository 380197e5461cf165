@0xd31e6b1f0a5c4e02;

struct StreamOffset {
  stream @0 :Text;
  offset @1 :UInt64;
}

struct ServiceSlots {
  service @0 :Text;
  endpoints @1 :UInt32;
  slots @2 :UInt32;
}

struct MemberRecord {
  vmId @0 :Text;
  dataCentre @1 :Text;
  region @2 :Text;
  host @3 :Text;
  ingressPort @4 :UInt16;
  peerPort @5 :UInt16;
  gossipPort @6 :UInt16;
  adminPort @7 :UInt16;
  incarnation @8 :UInt64;
  edition @9 :UInt64;
  state @10 :Text;
  endpointsVersion @11 :UInt64;
  services @12 :List(ServiceSlots);
}

struct MemberVerdict {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  edition @2 :UInt64;
  state @3 :Text;
}

struct Probe {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  endpointsVersion @2 :UInt64;
  number @3 :UInt64;
  target @4 :Text;
  offsets @5 :List(StreamOffset);
  records @6 :List(MemberRecord);
  verdicts @7 :List(MemberVerdict);
}

struct ProbeAck {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  endpointsVersion @2 :UInt64;
  number @3 :UInt64;
  records @4 :List(MemberRecord);
  verdicts @5 :List(MemberVerdict);
}

struct ProbeRequest {
  vmId @0 :Text;
  number @1 :UInt64;
  target @2 :Text;
}

struct Join {
  record @0 :MemberRecord;
}

struct Members {
  records @0 :List(MemberRecord);
  verdicts @1 :List(MemberVerdict);
}

struct TreeNode {
  level @0 :UInt32;
  index @1 :UInt32;
  digest @2 :UInt64;
}

struct TreeDigest {
  nodes @0 :List(TreeNode);
}

struct BucketKeys {
  buckets @0 :List(UInt32);
  keys @1 :List(MemberVerdict);
}

struct MemberQuery {
  vmIds @0 :List(Text);
}

struct EndpointQuery {
  services @0 :List(Text);
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

struct EndpointDetail {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  version @2 :UInt64;
  service @3 :Text;
  part @4 :UInt32;
  parts @5 :UInt32;
  endpoints @6 :List(EndpointRecord);
}

struct EndpointStateRecord {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
  state @2 :Text;
}

struct EndpointStates {
  vmId @0 :Text;
  incarnation @1 :UInt64;
  states @2 :List(EndpointStateRecord);
}

struct Envelope {
  union {
    probe @0 :Probe;
    probeAck @1 :ProbeAck;
    probeRequest @2 :ProbeRequest;
    join @3 :Join;
    members @4 :Members;
    treeDigest @5 :TreeDigest;
    bucketKeys @6 :BucketKeys;
    memberQuery @7 :MemberQuery;
    endpointQuery @8 :EndpointQuery;
    endpointDetail @9 :EndpointDetail;
    endpointStates @10 :EndpointStates;
  }
}
