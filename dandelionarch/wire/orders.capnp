@0xd31e6b1f0a5c4e07;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimQuery {
  key @0 :Text;
  body @1 :Text;
  claimId @2 :Text;
  vmId @3 :Text;
  incarnation @4 :UInt64;
  sequence @5 :UInt64;
  waitMs @6 :UInt32;
}

struct ClaimReply {
  verdict @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
  hasBody @4 :Bool;
}

struct OrderOutcome {
  key @0 :Text;
  claimId @1 :Text;
  sequence @2 :UInt64;
  ran @3 :Bool;
  status @4 :UInt16;
  headers @5 :List(Header);
  body @6 :Data;
  hasBody @7 :Bool;
}

struct Envelope {
  union {
    claimQuery @0 :ClaimQuery;
    claimReply @1 :ClaimReply;
    orderOutcome @2 :OrderOutcome;
  }
}
