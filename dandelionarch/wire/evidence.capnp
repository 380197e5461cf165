@0xd31e6b1f0a5c4e44;

struct KindSummary {
  kind @0 :Text;
  count @1 :UInt32;
  failures @2 :UInt32;
  timed @3 :UInt32;
  medianLog @4 :Float64;
  spreadLog @5 :Float64;
}

struct EvidenceQuery {
  endpointId @0 :Text;
  kinds @1 :List(Text);
  capLogs @2 :List(Float64);
  windowS @3 :Float64;
}

struct EvidenceSummary {
  endpointId @0 :Text;
  kinds @1 :List(KindSummary);
}

struct Envelope {
  union {
    evidenceQuery @0 :EvidenceQuery;
    evidenceSummary @1 :EvidenceSummary;
  }
}
