@0xd31e6b1f0a5c4e01;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct LoadReport {
  endpointId @0 :Text;
  running @1 :UInt32;
  queued @2 :UInt32;
  slots @3 :UInt32;
  health @4 :Text;
  warmup @5 :Float32;
  ratePerS @6 :Float32;
}

struct RequestHead {
  attemptId @0 :UInt64;
  requestId @1 :Text;
  endpointId @2 :Text;
  service @3 :Text;
  route @4 :Text;
  kind @5 :Text;
  idempotent @6 :Bool;
  priority @7 :UInt8;
  budgetMs @8 :UInt32;
  method @9 :Text;
  target @10 :Text;
  headers @11 :List(Header);
  data @12 :Data;
  last @13 :Bool;
  mayWait @14 :Bool;
  repeats @15 :Bool;
  lastResort @16 :Bool;
  confirms @17 :Bool;
  ratePerS @18 :Float32;
  fingerprint @19 :Data;
}

struct RequestChunk {
  attemptId @0 :UInt64;
  data @1 :Data;
  last @2 :Bool;
}

struct ResponseHead {
  attemptId @0 :UInt64;
  status @1 :UInt16;
  headers @2 :List(Header);
  data @3 :Data;
  last @4 :Bool;
  load @5 :LoadReport;
}

struct ResponseChunk {
  attemptId @0 :UInt64;
  data @1 :Data;
  last @2 :Bool;
}

struct Credit {
  attemptId @0 :UInt64;
  size @1 :UInt32;
  body @2 :Text;
}

struct Refusal {
  attemptId @0 :UInt64;
  reason @1 :Text;
  retryAfterMs @2 :UInt32;
  load @3 :LoadReport;
}

struct Failure {
  attemptId @0 :UInt64;
  reason @1 :Text;
  load @2 :LoadReport;
}

struct Cancel {
  attemptId @0 :UInt64;
}

struct Leaving {
  vmId @0 :Text;
}

struct Ping {
  nonce @0 :UInt64;
}

struct Pong {
  nonce @0 :UInt64;
}

struct LoadNotice {
  load @0 :LoadReport;
}

struct TrialInvite {
  endpointId @0 :Text;
  anyWork @1 :Bool;
}

struct Straggling {
  attemptId @0 :UInt64;
}

struct SlotReady {
  attemptId @0 :UInt64;
}

struct Start {
  attemptId @0 :UInt64;
}

struct Suspicion {
  fingerprint @0 :Data;
  service @1 :Text;
  crashes @2 :List(Data);
  excused @3 :List(Data);
  ageMs @4 :UInt64;
}

struct Suspicions {
  suspicions @0 :List(Suspicion);
}

struct Envelope {
  union {
    requestHead @0 :RequestHead;
    requestChunk @1 :RequestChunk;
    responseHead @2 :ResponseHead;
    responseChunk @3 :ResponseChunk;
    credit @4 :Credit;
    refusal @5 :Refusal;
    failure @6 :Failure;
    cancel @7 :Cancel;
    leaving @8 :Leaving;
    ping @9 :Ping;
    pong @10 :Pong;
    loadNotice @11 :LoadNotice;
    trialInvite @12 :TrialInvite;
    straggling @13 :Straggling;
    slotReady @14 :SlotReady;
    start @15 :Start;
    suspicions @16 :Suspicions;
  }
}
