@0xc7a94d20be615f38;

struct LogEntry {
  offset @0 :UInt64;
  timeS @1 :Float64;
  data @2 :Data;
}

struct StreamOffset {
  stream @0 :Text;
  offset @1 :UInt64;
}

struct StreamRecords {
  stream @0 :Text;
  entries @1 :List(LogEntry);
  pulled @2 :Bool;
}

struct StreamPull {
  stream @0 :Text;
  start @1 :UInt64;
  asOf @2 :UInt64;
  part @3 :UInt32;
}

struct StreamState {
  stream @0 :Text;
  asOf @1 :UInt64;
  part @2 :UInt32;
  parts @3 :UInt32;
  data @4 :Data;
}

struct OffsetsQuery {
  sender @0 :Text;
}

struct StreamBeat {
  ready @0 :Bool;
  available @1 :Bool;
  offsets @2 :List(StreamOffset);
}

struct Envelope {
  union {
    streamRecords @0 :StreamRecords;
    streamPull @1 :StreamPull;
    streamState @2 :StreamState;
    offsetsQuery @3 :OffsetsQuery;
    streamBeat @4 :StreamBeat;
  }
}
