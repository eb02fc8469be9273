@0xc1f1a6e5b0d37a11;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingoseam::rpc");

# Same units as core/resources.hpp: thousandths of a processor core, megabytes, and counts of
# accelerators and slots.
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
  owner @3 :Text;      # ADDRESS:PORT of the owner's RPC interface; empty if the shard has no owner.
}

struct ContractRecord {
  customer @0 :Text;
  version @1 :UInt64;
  revision @2 :UInt64;
  body @3 :Text;       # The contract as JSON, in the same format as in the store.
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
  # Returns the state of a job as JSON; `found` is false if the shard has no record of the job.
  job @1 (shard :Text, customer :Text, requestId :Text) -> (found :Bool, json :Text);
  cancel @2 (shard :Text, customer :Text, requestId :Text) -> (outcome :Outcome);
  # Sends the caller's newest contract revision and contract records; returns the callee's revision,
  # the contract records that the caller lacks, and the shard entries of the callee.
  exchange @3 (revision :UInt64, contracts :List(ContractRecord))
      -> (revision :UInt64, contracts :List(ContractRecord), shards :List(ShardEntry));
  # Asks the owner of shard `fromShard` to transfer an unused part of a customer's share to shard
  # `toShard`. The granted part is offered to `toShard` once the journal of `fromShard` has recorded
  # the transfer. Returns the granted part, in millionths.
  requestShare @4 (grant :ShareGrant) -> (given :Int64);
  # Transfers a part of a share; `confirmed` is true once the receiver's journal has recorded it.
  offerShare @5 (grant :ShareGrant) -> (confirmed :Bool);
}
