@0xc1f1a6e5b0d37a11;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingoseam::rpc");

# Amounts as in core/resources.hpp: thousandths of a processor, megabytes, whole numbers.
struct Resources {
  milliCpus @0 :Int64;
  memoryMb @1 :Int64;
  accelerators @2 :Int64;
  slots @3 :Int64;
}

struct WorkRequest {
  customer @0 :Text;
  requestId @1 :Text;
  kind @2 :Text;
  payload @3 :Text;
  traceparent @4 :Text;
  workClass @5 :Text;
  size @6 :Resources;
  tasks @7 :UInt32;
  idempotent @8 :Bool;
  firstAttempt @9 :Bool;
  runTimeMs @10 :Int64;
  waitLimitMs @11 :Int64;
  contractVersion @12 :UInt64;
  shard @13 :Text;
}

struct Outcome {
  verdict @0 :Text;
  reason @1 :Text;
  detail @2 :Text;
  output @3 :Text;
  worker @4 :Text;
}

struct ShardEntry {
  shard @0 :Text;
  zone @1 :Text;
  epoch @2 :UInt64;
  owner @3 :Text;      # ADDRESS:PORT of the owner's RPC interface; empty when nobody owns it.
}

struct ContractRecord {
  customer @0 :Text;
  version @1 :UInt64;
  revision @2 :UInt64;
  body @3 :Text;       # JSON, as in the store.
}

struct ShareGrant {
  transferId @0 :Text;
  customer @1 :Text;
  fromShard @2 :Text;
  toShard @3 :Text;
  partsPerMillion @4 :Int64;
}

interface Scheduler {
  submit @0 (request :WorkRequest) -> (outcome :Outcome);
  # What a job has come to, as JSON; `found` is false when the shard does not know it.
  job @1 (shard :Text, customer :Text, requestId :Text) -> (found :Bool, json :Text);
  cancel @2 (shard :Text, customer :Text, requestId :Text) -> (outcome :Outcome);
  # Gives the caller's view and returns what the callee knows that is newer.
  exchange @3 (revision :UInt64, contracts :List(ContractRecord))
      -> (revision :UInt64, contracts :List(ContractRecord), shards :List(ShardEntry));
  # Asks the owner of `shard` to give away an unused part of a customer's share.
  # What it gives is offered to the asking shard once the giver's journal has it.
  requestShare @4 (grant :ShareGrant) -> (given :Int64);
  # Hands a part over; `confirmed` is true once the receiver's journal has it.
  offerShare @5 (grant :ShareGrant) -> (confirmed :Bool);
}
