#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"

#include <glog/logging.h>

namespace flamingoseam {

outcome scheduler::refusal(const std::string& reason, const std::string& detail,
                           const work_request& request) const
{
    const auto result = request.first_attempt ? verdict::not_run : verdict::may_have_run;
    return {.kind = result, .reason = reason, .detail = detail};
}

void scheduler::submit(const std::string& shard_id, const work_request& request,
                       reply_outcome reply)
{
    auto request_span = std::make_shared<span>(spans_, "scheduler.submit", request.traceparent);
    request_span->set("request_id", request.request_id);
    request_span->set("customer", request.customer);
    request_span->set("shard", shard_id);
    auto traced_request = request;
    traced_request.traceparent = request_span->header();
    control_loop_.post([this, shard_id, traced_request, reply, request_span] {
        const auto answer = [this, reply, request_span](outcome result) {
            request_span->set("verdict", std::string(to_string(result.kind)));
            request_span->set("reason", result.reason);
            request_span->set("worker", result.worker);
            metrics_.observe_outcome(result);
            reply(std::move(result));
        };
        auto* shard = find_shard(shard_id);
        if (shard == nullptr) {
            answer(refusal("not_owner", "this scheduler does not own shard " + shard_id,
                           traced_request));
            return;
        }
        if (is_isolated(now())) {
            answer(refusal("contract_unconfirmed",
                           "this scheduler can reach neither the store nor another scheduler",
                           traced_request));
            return;
        }
        shard->state().set_ownership_confirmed(has_authority(now()));
        const auto token = shard->add_reply(answer);
        shard->state().submit(token, traced_request, now(), wall_now());
    });
}

void scheduler::find_job(const std::string& shard_id, const std::string& customer,
                         const std::string& request_id, reply_job reply)
{
    control_loop_.post([this, shard_id, customer, request_id, reply] {
        auto* shard = find_shard(shard_id);
        if (shard == nullptr) {
            reply(std::nullopt);
            return;
        }
        const auto view = shard->state().find(customer, request_id);
        reply(view ? std::optional(to_json(*view)) : std::nullopt);
    });
}

void scheduler::cancel(const std::string& shard_id, const std::string& customer,
                       const std::string& request_id, reply_outcome reply)
{
    control_loop_.post([this, shard_id, customer, request_id, reply] {
        auto* shard = find_shard(shard_id);
        if (shard == nullptr) {
            reply({.kind = verdict::may_have_run,
                   .reason = "not_owner",
                   .detail = "this scheduler does not own shard " + shard_id});
            return;
        }
        shard->state().set_ownership_confirmed(has_authority(now()));
        shard->state().cancel(shard->add_reply(reply), customer, request_id, now());
    });
}

void scheduler::exchange(const exchange_message& message, reply_exchange reply)
{
    control_loop_.post([this, message, reply] {
        apply_contract_records(message.contracts);
        exchange_message response{.revision = contracts_.revision(),
                                  .contracts = contracts_.since(message.revision),
                                  .shards = {}};
        for (const auto& [id, entry] : shards_) {
            response.shards.push_back(entry);
        }
        reply(std::move(response));
    });
}

void scheduler::request_share(const share_transfer& request, reply_share reply)
{
    control_loop_.post([this, request, reply] {
        auto* shard = find_shard(request.from_shard);
        if (shard == nullptr || shard->handing_over) {
            reply(0);
            return;
        }
        const auto granted_parts = shard->state().give_share(request);
        shard->journal_write_needed |= granted_parts > 0;
        reply(granted_parts);
    });
}

void scheduler::offer_share(const share_transfer& grant, reply_confirmed reply)
{
    control_loop_.post([this, grant, reply] {
        auto* shard = find_shard(grant.to_shard);
        if (shard == nullptr) {
            reply(false);
            return;
        }
        shard->state().receive_share(grant, now());
        shard->journal_write_needed = true;
        shard->pending_confirmations.push_back({.sequence = shard->next_sequence, .reply = reply});
    });
}

} // namespace flamingoseam
