#include "flamingoseam/peer/rpc_convert.hpp"

#include "flamingoseam/http/json.hpp"

namespace flamingoseam::detail {

namespace {

std::string text(capnp::Text::Reader in)
{
    return {in.cStr(), in.size()};
}

} // namespace

void write(rpc::WorkRequest::Builder out, const work_request& value)
{
    out.setCustomer(value.customer);
    out.setRequestId(value.request_id);
    out.setKind(value.kind);
    out.setPayload(value.payload);
    out.setTraceparent(value.traceparent);
    out.setWorkClass(std::string(to_string(value.cls)));
    auto size = out.initSize();
    size.setMilliCpus(value.size.milli_cpus);
    size.setMemoryMb(value.size.memory_mb);
    size.setAccelerators(value.size.accelerators);
    size.setSlots(value.size.slots);
    out.setTasks(static_cast<std::uint32_t>(value.tasks));
    out.setIdempotent(value.idempotent);
    out.setFirstAttempt(value.first_attempt);
    out.setRunTimeMs(value.run_time.count());
    out.setWaitLimitMs(value.wait_limit.count());
    out.setContractVersion(value.contract_version);
}

work_request read(rpc::WorkRequest::Reader in)
{
    work_request value;
    value.customer = text(in.getCustomer());
    value.request_id = text(in.getRequestId());
    value.kind = text(in.getKind());
    value.payload = text(in.getPayload());
    value.traceparent = text(in.getTraceparent());
    value.cls = work_class_from_string(text(in.getWorkClass()));
    const auto size = in.getSize();
    value.size = {.milli_cpus = size.getMilliCpus(),
                  .memory_mb = size.getMemoryMb(),
                  .accelerators = size.getAccelerators(),
                  .slots = size.getSlots()};
    value.tasks = static_cast<int>(in.getTasks());
    value.idempotent = in.getIdempotent();
    value.first_attempt = in.getFirstAttempt();
    value.run_time = milliseconds(in.getRunTimeMs());
    value.wait_limit = milliseconds(in.getWaitLimitMs());
    value.contract_version = in.getContractVersion();
    return value;
}

void write(rpc::Outcome::Builder out, const outcome& value)
{
    out.setVerdict(std::string(to_string(value.kind)));
    out.setReason(value.reason);
    out.setDetail(value.detail);
    out.setOutput(value.output);
    out.setWorker(value.worker);
}

outcome read(rpc::Outcome::Reader in)
{
    return {.kind = verdict_from_string(text(in.getVerdict())),
            .reason = text(in.getReason()),
            .detail = text(in.getDetail()),
            .output = text(in.getOutput()),
            .worker = text(in.getWorker())};
}

void write(rpc::ShardEntry::Builder out, const shard_entry& value)
{
    out.setShard(value.shard);
    out.setZone(value.zone);
    out.setEpoch(value.epoch);
    out.setOwner(value.owner);
}

shard_entry read(rpc::ShardEntry::Reader in)
{
    return {.shard = text(in.getShard()),
            .zone = text(in.getZone()),
            .epoch = in.getEpoch(),
            .owner = text(in.getOwner())};
}

void write(rpc::ContractRecord::Builder out, const contract_record& value)
{
    out.setCustomer(value.value.customer);
    out.setVersion(value.value.version);
    out.setRevision(value.revision);
    out.setBody(to_json(value.value));
}

contract_record read(rpc::ContractRecord::Reader in)
{
    return {.value = from_json<contract>(text(in.getBody())), .revision = in.getRevision()};
}

void write(rpc::ShareGrant::Builder out, const share_transfer& value)
{
    out.setTransferId(value.id);
    out.setCustomer(value.customer);
    out.setFromShard(value.from_shard);
    out.setToShard(value.to_shard);
    out.setPartsPerMillion(value.parts);
}

share_transfer read(rpc::ShareGrant::Reader in)
{
    return {.id = text(in.getTransferId()),
            .customer = text(in.getCustomer()),
            .from_shard = text(in.getFromShard()),
            .to_shard = text(in.getToShard()),
            .parts = in.getPartsPerMillion()};
}

} // namespace flamingoseam::detail
