@0xd31e6b1f0a5c4e0a;

struct TokenRequest {
  customer @0 :Text;
  service @1 :Text;
  period @2 :UInt64;
  wanted @3 :UInt32;
  spent @4 :UInt32;
  returned @5 :UInt32;
  hold @6 :UInt32;
}

struct TokenGrant {
  customer @0 :Text;
  service @1 :Text;
  period @2 :UInt64;
  tokens @3 :UInt32;
  hold @4 :UInt32;
  divisor @5 :UInt32;
  retryMs @6 :UInt32;
}

struct Envelope {
  union {
    tokenRequest @0 :TokenRequest;
    tokenGrant @1 :TokenGrant;
  }
}
