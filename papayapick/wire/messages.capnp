@0xc2f4d9a1b7e35086;
# Messages between the processes of one cell.

struct Message {
  id @0 :UInt64;
  traceparent @1 :Text;
  union {
    hello @2 :Hello;
    heartbeat @3 :Heartbeat;
    slotRequest @4 :SlotRequest;
    slotGrant @5 :SlotGrant;
    release @6 :Release;
    submit @7 :Submit;
    workQuery @8 :WorkQuery;
    workCancel @9 :WorkCancel;
    workState @10 :WorkState;
    refusal @11 :Refusal;
    acknowledgement @12 :Acknowledgement;
    bundleQuery @13 :BundleQuery;
    bundleBody @14 :BundleBody;
    handover @15 :Handover;
    poolBeat @16 :PoolBeat;
    poolBeatAnswer @17 :PoolBeatAnswer;
    adviceQuery @18 :AdviceQuery;
    adviceReply @19 :AdviceReply;
    storeCall @20 :StoreCall;
    storeResult @21 :StoreResult;
    ownerQuery @22 :OwnerQuery;
    stateBatch @23 :StateBatch;
    stateBatchAnswer @24 :StateBatchAnswer;
    configurationQuery @25 :ConfigurationQuery;
    configurationReply @26 :ConfigurationReply;
  }
}

struct Hello {
  nonce @0 :Data;
  host @1 :Text;
  region @2 :Text;
  zone @3 :Text;
}

struct Heartbeat {
  host @0 :Text;
  bundleSequence @1 :UInt64;
  bundleDigest @2 :Text;
  shards @3 :List(ShardSummary);
  draining @4 :Bool;
  confirmed @5 :Bool;
  headVersion @6 :UInt64;
  listTag @7 :Text;
  known @8 :UInt64;
  summaryVersion @9 :UInt64;
  placers @10 :List(PlacerSummary);
  summaryAgeMilliseconds @11 :UInt32;
}

struct PlacerSummary {
  host @0 :Text;
  draining @1 :Bool;
  shards @2 :List(ShardSummary);
}

struct ShardSummary {
  shard @0 :Text;
  epoch @1 :UInt64;
  loads @2 :List(ServiceLoad);
}

struct ServiceLoad {
  service @0 :Text;
  freeSlots @1 :UInt32;
  waiting @2 :UInt32;
}

struct SlotRequest {
  shard @0 :Text;
  service @1 :Text;
  requestId @2 :Text;
  waitMilliseconds @3 :UInt32;
  runMilliseconds @4 :UInt32;
  caller @5 :Text;
  avoid @6 :List(Text);
}

struct SlotGrant {
  grantId @0 :UInt64;
  shard @1 :Text;
  epoch @2 :UInt64;
  instance @3 :Text;
  url @4 :Text;
}

struct Release {
  shard @0 :Text;
  epoch @1 :UInt64;
  grantId @2 :UInt64;
  outcome @3 :Text;
  runMicroseconds @4 :UInt64;
}

struct Submit {
  shard @0 :Text;
  requestId @1 :Text;
  kind @2 :Text;
  name @3 :Text;
  caller @4 :Text;
  payload @5 :Data;
  payloadDigest @6 :Text;
  deadlineMilliseconds @7 :UInt64;
  waitMilliseconds @8 :UInt32;
  job @9 :Text;
}

struct WorkQuery {
  shard @0 :Text;
  requestId @1 :Text;
  explain @2 :Bool;
}

struct WorkCancel {
  shard @0 :Text;
  requestId @1 :Text;
}

struct WorkState {
  requestId @0 :Text;
  state @1 :Text;
  outcome @2 :Text;
  status @3 :UInt16;
  contentType @4 :Text;
  result @5 :Data;
  detail @6 :Text;
}

struct Refusal {
  code @0 :Text;
  detail @1 :Text;
  outcome @2 :Text;
  retryAfterMilliseconds @3 :UInt32;
}

struct Acknowledgement {
  bundleSequence @0 :UInt64;
}

struct BundleQuery {
  digest @0 :Text;
}

struct BundleBody {
  envelope @0 :Data;
}

struct Handover {
  shard @0 :Text;
  epoch @1 :UInt64;
}

struct PoolBeat {
  pool @0 :Text;
  epoch @1 :UInt64;
  host @2 :Text;
  news @3 :List(JobNews);
  queueLoads @4 :List(QueueLoad);
  givesWay @5 :Bool;
  mayLackRecords @6 :Bool;
  hasReadState @7 :Bool;
  knownAtMilliseconds @8 :UInt64;
  queueOutlooks @9 :List(QueueOutlook);
  teamsBeyondRate @10 :List(TeamBeyondRate);
  outlookMillicores @11 :UInt32;
  countedAtMilliseconds @12 :UInt64;
  outlookKnownAtMilliseconds @13 :UInt64;
}

struct QueueOutlook {
  queue @0 :Text;
  earliestMilliseconds @1 :Int32;
  patientEarliestMilliseconds @2 :Int32;
  patienceMilliseconds @3 :Int32;
  latestMilliseconds @4 :Int32;
  surplusEarliestMilliseconds @5 :Int32;
  surplusLatestMilliseconds @6 :Int32;
  surplusPatientEarliestMilliseconds @7 :Int32;
}

struct TeamBeyondRate {
  team @0 :Text;
  owedAgainMilliseconds @1 :UInt32;
}

struct JobNews {
  identifier @0 :Text;
  status @1 :Text;
  team @2 :Text;
}

struct QueueLoad {
  queue @0 :Text;
  waiting @1 :UInt32;
  retryAfterSeconds @2 :UInt32;
}

struct PoolBeatAnswer {
  epoch @0 :UInt64;
  storeAgeMilliseconds @1 :UInt32;
  clockMilliseconds @2 :UInt64;
}

struct AdviceQuery {
  step @0 :Text;
  workers @1 :List(Text);
  expectedMilliseconds @2 :UInt32;
}

struct AdviceReply {
  tickets @0 :List(Ticket);
}

struct Ticket {
  worker @0 :Text;
  ticket @1 :Text;
}

struct StoreCall {
  expectations @0 :Data;
  writes @1 :Data;
  range @2 :Data;
}

struct StoreResult {
  outcome @0 :Text;
  body @1 :Data;
}

struct OwnerQuery {
  pool @0 :Text;
}

struct StateBatch {
  pool @0 :Text;
  epoch @1 :UInt64;
  news @2 :List(JobNews);
  hosts @3 :List(Text);
}

struct StateBatchAnswer {
  missed @0 :List(Text);
}

struct ConfigurationQuery {
  knownVersion @0 :UInt64;
}

struct ConfigurationReply {
  version @0 :UInt64;
  rows @1 :Data;
  isCurrent @2 :Bool;
}
