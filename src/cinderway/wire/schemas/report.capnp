@0xe2a90b7c4d61f806;
# Protocol by which operators read service levels and ejections from entries.

struct Frame {
  callId @0 :UInt64;
  union {
    readLevels @1 :ReadLevels;
    levelsAnswer @2 :LevelsAnswer;
    readEjections @3 :ReadEjections;
    ejectionsAnswer @4 :EjectionsAnswer;
  }
}

struct ReadLevels {}

struct WindowCount {
  windowS @0 :UInt32;
  requests @1 :UInt64;
  missed @2 :UInt64;
}

struct ServiceLevel {
  service @0 :Text;
  objectivePercent @1 :Float64;
  windows @2 :List(WindowCount);
}

struct LevelsAnswer {
  entry @0 :Text;
  services @1 :List(ServiceLevel);
}

struct ReadEjections {}

struct EjectionEvent {
  service @0 :Text;
  server @1 :Text;
  what @2 :Text;
  agoMs @3 :UInt64;
  reason @4 :Text;
  score @5 :Float64;
}

struct EjectionsAnswer {
  entry @0 :Text;
  events @1 :List(EjectionEvent);
}
