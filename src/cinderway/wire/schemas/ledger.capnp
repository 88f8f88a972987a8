@0xb8c2e94a1d50f704;
# Protocol of entries and operators with the ledger of run-once requests.

struct Frame {
  callId @0 :UInt64;
  union {
    claim @1 :Claim;
    claimAnswer @2 :ClaimAnswer;
    finish @3 :Finish;
    abandon @4 :Abandon;
    awaitClaim @5 :AwaitClaim;
    settle @6 :Settle;
    listClaims @7 :ListClaims;
    claimList @8 :ClaimList;
    done @9 :Done;
    failure @10 :Failure;
  }
}

struct ClaimName {
  service @0 :Text;
  caller @1 :Text;
  key @2 :Text;
}

struct Header {
  name @0 :Data;
  value @1 :Data;
}

struct StoredAnswer {
  isWhole @0 :Bool;
  status @1 :UInt16;
  headers @2 :List(Header);
  body @3 :Data;
}

struct Claim {
  name @0 :ClaimName;
  fingerprint @1 :Data;
  attemptId @2 :Text;
  entry @3 :Text;
  runMs @4 :UInt64;
  retentionMs @5 :UInt64;
}

struct ClaimAnswer {
  ruling @0 :Text;
  answer @1 :StoredAnswer;
}

struct Finish {
  name @0 :ClaimName;
  attemptId @1 :Text;
  resolution @2 :Text;
  answer @3 :StoredAnswer;
}

struct Abandon {
  name @0 :ClaimName;
  attemptId @1 :Text;
}

struct AwaitClaim {
  name @0 :ClaimName;
  waitMs @1 :UInt32;
}

struct Settle {
  name @0 :ClaimName;
  resolution @1 :Text;
}

struct ListClaims { limit @0 :UInt32; }

struct ClaimRecord {
  name @0 :ClaimName;
  attemptId @1 :Text;
  entry @2 :Text;
  ageMs @3 :UInt64;
}

struct ClaimList { claims @0 :List(ClaimRecord); }
struct Done {}

struct Failure {
  code @0 :Text;
  detail @1 :Text;
  step @2 :Text;
  peer @3 :Text;
  leader @4 :Text;
}
