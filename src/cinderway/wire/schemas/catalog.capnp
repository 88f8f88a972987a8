@0xb7d1e64a0c93f258;
# Protocol between entries and control replicas for the service catalog.
# Where a message has a field `packed`, that field holds the whole message as MessagePack.
# The fields before it are read only from earlier builds, which sent them separately.

struct Frame {
  callId @0 :UInt64;
  union {
    findReplicas @1 :FindReplicas;
    replicasAnswer @2 :ReplicasAnswer;
    followCatalog @3 :FollowCatalog;
    catalogUpdate @4 :CatalogUpdate;
    catalogHeartbeat @5 :CatalogHeartbeat;
    evidenceBatch @6 :EvidenceBatch;
    verdictBatch @7 :VerdictBatch;
    submitCommand @8 :SubmitCommand;
    done @9 :Done;
    failure @10 :Failure;
    suspectServers @11 :SuspectServers;
    takeRetry @12 :TakeRetry;
    retryAnswer @13 :RetryAnswer;
    serverLoads @14 :ServerLoads;
    hallEntries @15 :HallEntries;
    askAllowances @16 :AskAllowances;
    grantAllowances @17 :GrantAllowances;
    standBy @18 :StandBy;
    fetchCatalog @19 :FetchCatalog;
    requestRuns @20 :RequestRuns;
    requestRulings @21 :RequestRulings;
    serverLimits @22 :ServerLimits;
    fleetEntries @23 :FleetEntries;
  }
}

struct ReplicaAddress {
  address @0 :Text;
  dataHall @1 :Text;
}

struct FindReplicas {}

struct ReplicasAnswer {
  replicas @0 :List(ReplicaAddress);
}

struct FollowCatalog {
  entry @0 :Text;
  dataHall @1 :Text;
  knownRevision @2 :UInt64;
  peersAddress @3 :Text;
}

struct StandBy {
  entry @0 :Text;
}

struct FetchCatalog {
  knownRevision @0 :UInt64;
}

struct CatalogUpdate {
  baseRevision @0 :UInt64;
  revision @1 :UInt64;
  packedSheet @2 :Data;
  servers @3 :Data;
  gone @4 :List(Text);
}

struct CatalogHeartbeat {
  knowledgeAgeMs @0 :UInt32;
  revision @1 :UInt64;
  entries @2 :UInt32;
}

struct EvidenceBatch {
  entry @0 :Text;
  dataHall @1 :Text;
  servers @2 :Data;
  services @3 :List(Text);
  firstRequests @4 :List(UInt32);
  packed @5 :Data;
}

struct TakeRetry {
  service @0 :Text;
  afterFailure @1 :Bool;
}

struct RetryAnswer {
  isGranted @0 :Bool;
  dueInMs @1 :UInt32;
}

struct VerdictLine {
  service @0 :Text;
  server @1 :Text;
  isEjected @2 :Bool;
  share @3 :Float64;
  reason @4 :Text;
  score @5 :Float64;
}

struct ServicePace {
  service @0 :Text;
  usualMs @1 :Float64;
  slowMs @2 :Float64;
  lateMs @3 :Float64;
}

struct VerdictBatch {
  lines @0 :List(VerdictLine);
  paces @1 :List(ServicePace);
  packed @2 :Data;
}

struct SuspectServers {
  servers @0 :List(Text);
  forMs @1 :List(UInt32);
  packed @2 :Data;
}

struct ServerLoad {
  server @0 :Text;
  load @1 :Float32;
  inFlight @2 :UInt16;
  goodAgeMs @3 :Int32 = -1;
}

struct ServerLoads {
  servers @0 :List(ServerLoad);
  packed @1 :Data;
}

struct ServerLimits {
  packed @0 :Data;
}

struct FleetEntries {
  replica @0 :Text;
  replicas @1 :List(Text);
  entries @2 :List(Text);
  absent @3 :List(Text);
  reservePercent @4 :UInt8;
  windowMs @5 :UInt32;
  overshootRatio @6 :Float64;
  slackRequests @7 :Float64;
}

struct HallEntries {
  addresses @0 :List(Text);
  relays @1 :List(Text);
}

struct HeldAllowance {
  account @0 :Text;
  used @1 :UInt32;
  held @2 :UInt32;
  needed @3 :UInt32;
  wanted @4 :UInt32;
}

struct AskAllowances {
  lines @0 :List(HeldAllowance);
  replica @1 :Text;
  packed @2 :Data;
}

struct GrantedAllowance {
  account @0 :Text;
  granted @1 :UInt32;
  roomInMs @2 :UInt32;
}

struct GrantAllowances {
  lines @0 :List(GrantedAllowance);
  leaseMs @1 :UInt32;
  windowMs @2 :UInt32;
  packed @3 :Data;
}

struct RequestRuns {
  packed @0 :Data;
}

struct RequestRulings {
  packed @0 :Data;
}

struct SubmitCommand {
  data @0 :Data;
}

struct Done {}

struct Failure {
  code @0 :Text;
  detail @1 :Text;
  step @2 :Text;
  peer @3 :Text;
  leader @4 :Text;
}
