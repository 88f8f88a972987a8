@0x9e5b02d4c7f1a603;
# Protocol between operators, entries and control replicas for the configuration table.

struct Frame {
  callId @0 :UInt64;
  union {
    followTable @1 :FollowTable;
    readTable @2 :ReadTable;
    tableAnswer @3 :TableAnswer;
    submitEdit @4 :SubmitEdit;
    editAnswer @5 :EditAnswer;
    readStatus @6 :ReadStatus;
    statusAnswer @7 :StatusAnswer;
    removeReplica @8 :RemoveReplica;
    done @9 :Done;
    failure @10 :Failure;
  }
}

struct EntryReport {
  name @0 :Text;
  dataHall @1 :Text;
  address @2 :Text;
  revision @3 :UInt64;
  digest @4 :UInt64;
  tableLevel @5 :UInt32;
  isLeaving @6 :Bool;
}

struct FollowTable {
  report @0 :EntryReport;
  knownRevision @1 :UInt64;
  waitMs @2 :UInt32;
  mustBeCurrent @3 :Bool;
}

struct HeardReport {
  report @0 :EntryReport;
  agoMs @1 :UInt64;
}

struct ReadTable {}

struct TableAnswer {
  delta @0 :TableDelta;
  sequence @1 :UInt64;
  isCurrent @2 :Bool;
  ownRevision @3 :UInt64;
  isTrusted @4 :Bool;
  heard @5 :List(HeardReport);
}

struct TableDelta {
  baseRevision @0 :UInt64;
  revision @1 :UInt64;
  digest @2 :UInt64;
  rows @3 :List(RowData);
  removed @4 :List(RemovedRow);
}

struct RowData {
  sheet @0 :Text;
  name @1 :Text;
  createdRevision @2 :UInt64;
  changedRevision @3 :UInt64;
  cells @4 :List(CellData);
}

struct CellData {
  column @0 :Text;
  value @1 :Text;
  revision @2 :UInt64;
}

struct RemovedRow {
  sheet @0 :Text;
  name @1 :Text;
  revision @2 :UInt64;
}

struct SubmitEdit { edit @0 :Edit; }

struct Edit {
  editId @0 :Text;
  operator @1 :Text;
  seenSequence @2 :UInt64;
  changes @3 :List(Change);
}

struct Change {
  action @0 :Text;
  sheet @1 :Text;
  row @2 :Text;
  column @3 :Text;
  value @4 :Text;
  seenRevision @5 :UInt64;
}

struct EditAnswer {
  verdict @0 :Text;
  revision @1 :UInt64;
  code @2 :Text;
  detail @3 :Text;
  winnerValue @4 :Text;
}

struct ReadStatus {}

struct ReplicaStatus {
  replicaId @0 :UInt64;
  address @1 :Text;
  isVoter @2 :Bool;
  isSilent @3 :Bool;
  matchIndex @4 :UInt64;
}

struct EntryStatus {
  name @0 :Text;
  dataHall @1 :Text;
  address @2 :Text;
  revision @3 :UInt64;
  heardAgoMs @4 :UInt64;
  state @5 :Text;
}

struct StatusAnswer {
  replicaId @0 :UInt64;
  role @1 :Text;
  term @2 :UInt64;
  leader @3 :Text;
  isCurrent @4 :Bool;
  revision @5 :UInt64;
  commitIndex @6 :UInt64;
  replicas @7 :List(ReplicaStatus);
  entries @8 :List(EntryStatus);
}

struct RemoveReplica { replicaId @0 :UInt64; }
struct Done {}

struct Failure {
  code @0 :Text;
  detail @1 :Text;
  step @2 :Text;
  peer @3 :Text;
  leader @4 :Text;
}
