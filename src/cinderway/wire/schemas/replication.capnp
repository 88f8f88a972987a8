@0xd1a7be5c03f94602;
# Messages between the replicas of one group. Sources: Ongaro, "Consensus:
# Bridging Theory and Practice" (2014), chapters 3, 4, 6 and 9.

struct Frame {
  callId @0 :UInt64;
  union {
    voteRequest @1 :VoteRequest;
    voteReply @2 :VoteReply;
    appendRequest @3 :AppendRequest;
    appendReply @4 :AppendReply;
    snapshotRequest @5 :SnapshotRequest;
    takeOver @6 :TakeOver;
    joinRequest @7 :JoinRequest;
  }
}

struct VoteRequest {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  isPreVote @5 :Bool;
  isTransfer @6 :Bool;
  senderAddress @7 :Text;
  clusterId @8 :UInt64;
  nonce @9 :UInt64;
}

struct VoteReply {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
  isGranted @3 :Bool;
  isPreVote @4 :Bool;
}

struct Entry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct AppendRequest {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
  previousIndex @3 :UInt64;
  previousTerm @4 :UInt64;
  commitIndex @5 :UInt64;
  round @6 :UInt64;
  entries @7 :List(Entry);
  senderAddress @8 :Text;
  silentMembers @9 :List(UInt64);
}

struct AppendReply {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
  isMatch @3 :Bool;
  matchIndex @4 :UInt64;
  round @5 :UInt64;
  supportsProvenLosses @6 :Bool;
  isLeaving @7 :Bool;
  supportsAllProofs @8 :Bool;
}

struct SnapshotRequest {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
  snapshot @3 :Snapshot;
  senderAddress @4 :Text;
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  membership @2 :Data;
  data @3 :Data;
}

struct TakeOver {
  sender @0 :UInt64;
  target @1 :UInt64;
  term @2 :UInt64;
}

struct JoinRequest {
  sender @0 :UInt64;
  target @1 :UInt64;
  address @2 :Text;
  clusterId @3 :UInt64;
  answeredNonce @4 :UInt64;
}
