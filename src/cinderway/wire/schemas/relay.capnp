@0xc4f19d3a7be25061;
# Protocol by which entries relay requests for each other.
# A field `packed` holds the whole message as MessagePack.

struct Frame {
  callId @0 :UInt64;
  union {
    relayRequest @1 :RelayRequest;
    relayAccepted @2 :RelayAccepted;
    relayBody @3 :RelayBody;
    relayRefused @4 :RelayRefused;
    relayedHead @5 :RelayedHead;
    relayedEnd @6 :RelayedEnd;
    relayedFailure @7 :RelayedFailure;
  }
}

struct RelayRequest {
  packed @0 :Data;
}

struct RelayAccepted {}

struct RelayBody {
  packed @0 :Data;
}

struct RelayRefused {
  packed @0 :Data;
}

struct RelayedHead {
  packed @0 :Data;
}

struct RelayedEnd {}

struct RelayedFailure {
  packed @0 :Data;
}
