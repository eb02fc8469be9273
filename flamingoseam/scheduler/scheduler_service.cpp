#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/log.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"

#include <glog/logging.h>

namespace flamingoseam {

outcome scheduler::refuse_here(const std::string& reason, const std::string& detail,
                               const work_request& request) const
{
    const auto what = request.first_attempt ? verdict::not_run : verdict::may_have_run;
    return {.kind = what, .reason = reason, .detail = detail};
}

void scheduler::submit(const std::string& shard_id, const work_request& request,
                       reply_outcome reply)
{
    auto hop = std::make_shared<span>(spans_, "scheduler.submit", request.traceparent);
    hop->set("request_id", request.request_id);
    hop->set("customer", request.customer);
    hop->set("shard", shard_id);
    auto traced = request;
    traced.traceparent = hop->header();
    control_.post([this, shard_id, traced, reply, hop] {
        const auto answer = [this, reply, hop](outcome result) {
            hop->set("verdict", std::string(to_string(result.kind)));
            hop->set("reason", result.reason);
            hop->set("worker", result.worker);
            metrics_.observe_outcome(result);
            reply(std::move(result));
        };
        auto* shard = find_shard(shard_id);
        if (shard == nullptr) {
            answer(
                refuse_here("not_owner", "this scheduler does not own shard " + shard_id, traced));
            return;
        }
        if (is_isolated(now())) {
            answer(refuse_here("contract_unconfirmed",
                               "neither the store nor another scheduler answers this one", traced));
            return;
        }
        shard->state().set_authority(has_authority(now()));
        const auto token = shard->keep(answer);
        shard->state().submit(token, traced, now(), wall_now());
    });
}

void scheduler::find_job(const std::string& shard_id, const std::string& customer,
                         const std::string& request_id, reply_job reply)
{
    control_.post([this, shard_id, customer, request_id, reply] {
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
    control_.post([this, shard_id, customer, request_id, reply] {
        auto* shard = find_shard(shard_id);
        if (shard == nullptr) {
            reply({.kind = verdict::may_have_run,
                   .reason = "not_owner",
                   .detail = "this scheduler does not own shard " + shard_id});
            return;
        }
        shard->state().set_authority(has_authority(now()));
        shard->state().cancel(shard->keep(reply), customer, request_id, now());
    });
}

void scheduler::exchange(const exchange_message& theirs, reply_exchange reply)
{
    control_.post([this, theirs, reply] {
        take_contracts(theirs.contracts);
        exchange_message ours{.revision = contracts_.revision(),
                              .contracts = contracts_.since(theirs.revision),
                              .shards = {}};
        for (const auto& [id, entry] : shards_) {
            ours.shards.push_back(entry);
        }
        reply(std::move(ours));
    });
}

void scheduler::request_share(const share_transfer& wish, reply_parts reply)
{
    control_.post([this, wish, reply] {
        auto* shard = find_shard(wish.from_shard);
        if (shard == nullptr || shard->handing_over) {
            reply(0);
            return;
        }
        const auto given = shard->state().give_share(wish);
        shard->journal_wanted |= given > 0;
        reply(given);
    });
}

void scheduler::offer_share(const share_transfer& grant, reply_confirmed reply)
{
    control_.post([this, grant, reply] {
        auto* shard = find_shard(grant.to_shard);
        if (shard == nullptr) {
            reply(false);
            return;
        }
        shard->state().receive_share(grant, now());
        shard->journal_wanted = true;
        shard->confirmations.push_back({.sequence = shard->next_sequence, .reply = reply});
    });
}

} // namespace flamingoseam
