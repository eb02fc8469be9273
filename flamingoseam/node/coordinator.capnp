@0xd3b7c1a90e5f4c62;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("flamingoseam::rpc");

# A step of a job, as in workflow/job_spec.hpp.
struct StepSpec {
  tasks @0 :Int32;
  milliCpus @1 :Int64;
  memoryMb @2 :Int64;
  accelerators @3 :Int64;
  estimateMs @4 :Int64;
  after @5 :List(Int32);
  gang @6 :Bool;
  sameRack @7 :Bool;
  checkpoints @8 :Bool;
  speculative @9 :Bool;
  label @10 :Text;
  preferredRack @11 :Text;
  mostPerWorker @12 :Int32;
}

struct JobSpec {
  id @0 :Text;
  queue @1 :Text;
  payload @2 :Text;
  steps @3 :List(StepSpec);
}

struct QueueTerms {
  service @0 :Text;
  priority @1 :Int32;
  mostAttempts @2 :Int32;
  stretch @3 :Float64;
  targetMs @4 :Int64;
  needsPermission @5 :Bool;
  decisionMs @6 :Float64;
  perWorkerMs @7 :Float64;
  validityMs @8 :Int64;
  # Of the configuration that has these terms; 0 if the caller does not tell.
  version @9 :Int64;
}

# The owner's answer; `verdict` is the name of an owner_verdict in node/owner_service.hpp.
struct OwnerAnswer {
  verdict @0 :Text;
  reason @1 :Text;
  retryAfterMs @2 :Int64;
  phase @3 :Text;
  pending @4 :Int32;
}

struct TicketGrant {
  worker @0 :Text;
  ticket @1 :Text;
}

interface Coordinator {
  submit @0 (job :JobSpec, terms :QueueTerms) -> (answer :OwnerAnswer);
  cancel @1 (job :Text) -> (answer :OwnerAnswer);
  find @2 (job :Text) -> (answer :OwnerAnswer);
  countPending @3 (queue :Text) -> (answer :OwnerAnswer);
  # Asks the permission service on behalf of the owner; `answered` is false when it failed.
  # The service needs `serviceMs` to process the call.
  askPermission @4 (job :Text, step :Int32, workers :List(Text), serviceMs :Int64)
      -> (answered :Bool, grants :List(TicketGrant));
  # Asks the callee to take over from the owner of this epoch, which is leaving or can't reach the
  # store. `accepted` is true when the callee will try.
  offerOwnership @5 (epoch :UInt64, leaving :Bool) -> (accepted :Bool);
  # Returns whether the owner of this epoch has refused connections of the callee as well.
  confirmOwnerGone @6 (epoch :UInt64) -> (gone :Bool);
  # Asks the owner of a shard for workers of a service; see worker_request in workflow/worker_lending.hpp.
  # Returns how many it gives at once.
  lendWorkers @7 (shard :UInt32, service :Text, workers :UInt32, demand :Float64, desired :Float64)
      -> (workers :UInt32);
  # Tells the callee that another node has replaced the owner of this epoch. `stopped` is true when
  # that owner was one of the callee, has stopped, and no earlier one starts runs any more.
  # `renewalsLeftMs` is the time after which no earlier one extends leases any more, -1 if it is not
  # known.
  stopOwner @8 (epoch :UInt64) -> (stopped :Bool, renewalsLeftMs :Int64 = -1);
}
