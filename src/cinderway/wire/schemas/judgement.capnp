@0xc6d4f01e92ab7305;
# Protocol between entries, which report evidence, and assessors, which send verdicts.

struct Frame {
  callId @0 :UInt64;
  union {
    evidenceReport @1 :EvidenceReport;
    verdictSheet @2 :VerdictSheet;
    requestRuns @3 :RequestRuns;
    requestRulings @4 :RequestRulings;
    serverLimits @5 :ServerLimits;
  }
}

struct RequestRuns {
  packed @0 :Data;
}

struct RequestRulings {
  packed @0 :Data;
}

struct ServerLimits {
  packed @0 :Data;
}

struct EvidenceReport {
  entry @0 :Text;
  dataHall @1 :Text;
  group @2 :UInt16;
  sequence @3 :UInt64;
  sheetSequence @4 :UInt64;
  servers @5 :List(ServerEvidence);
}

struct ServerEvidence {
  service @0 :Text;
  server @1 :Text;
  good @2 :UInt32;
  error @3 :UInt32;
  unreachable @4 :UInt32;
  cut @5 :UInt32;
  slow @6 :UInt32;
  overdue @7 :UInt32;
  timeSumMs @8 :Float64;
  timeCount @9 :UInt32;
  probes @10 :UInt32;
  isDraining @11 :Bool;
  answerTimesMs @12 :List(UInt32);
  lateAnswers @13 :UInt32;
}

struct VerdictSheet {
  assessor @0 :Text;
  group @1 :UInt16;
  sequence @2 :UInt64;
  reportSequence @3 :UInt64;
  services @4 :List(ServiceNormal);
  servers @5 :List(ServerVerdict);
}

struct ServiceNormal {
  service @0 :Text;
  normalMs @1 :Float64;
  probesPerS @2 :Float64;
}

struct ServerVerdict {
  service @0 :Text;
  server @1 :Text;
  standing @2 :Text;
  halls @3 :List(Text);
  leaseMs @4 :UInt32;
  score @5 :Float64;
  share @6 :Float64;
  probesPerS @7 :Float64;
  reason @8 :Text;
  isHeldByFloor @9 :Bool;
  isDraining @10 :Bool;
}
