@0xa3f1c9d27b5e4801;
# Handshake of every connection: both sides prove that they hold the shared key.

struct Frame {
  callId @0 :UInt64;
  union {
    hello @1 :Hello;
    challenge @2 :Challenge;
    proof @3 :Proof;
    welcome @4 :Welcome;
    refusal @5 :Refusal;
  }
}

struct Hello {
  conversation @0 :Text;
  version @1 :UInt32;
  name @2 :Text;
  nonce @3 :Data;
}

struct Challenge {
  name @0 :Text;
  nonce @1 :Data;
  proof @2 :Data;
}

struct Proof { proof @0 :Data; }
struct Welcome {}

struct Refusal {
  code @0 :Text;
  detail @1 :Text;
}
