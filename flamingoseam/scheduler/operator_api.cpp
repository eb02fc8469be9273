#include "flamingoseam/contract/key.hpp"
#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/scheduler/operator_messages.hpp"
#include "flamingoseam/scheduler/scheduler.hpp"
#include "flamingoseam/store/cell_records.hpp"

#include <glog/logging.h>

#include <future>
#include <limits>

namespace flamingoseam {

namespace {

constexpr milliseconds apply_timeout{3000};
constexpr milliseconds in_force_timeout{4000};
constexpr milliseconds confirm_interval{50};
constexpr milliseconds peer_timeout{1000};

http_response error_response(int status, const std::string& reason, const std::string& detail)
{
    return {.status = status, .body = to_json(operator_error{.reason = reason, .detail = detail})};
}

/// Returns the rest of a path after `prefix`, or an empty string if it does not start with
/// `prefix`.
std::string path_suffix(const std::string& path, const std::string& prefix)
{
    return path.starts_with(prefix) ? path.substr(prefix.size()) : std::string();
}

} // namespace

http_response scheduler::handle_operator(const http_request& request)
{
    if (request.path == "/metrics") {
        return {.body = metrics_.text(), .content_type = "text/plain; version=0.0.4"};
    }
    if (!is_known_key(bearer_key(request.authorization), settings_.operator_key_hashes)) {
        return error_response(401, "unknown_key",
                              "an operator key is required; no action was taken");
    }
    if (request.body_too_large) {
        return error_response(413, "body_too_large", "no action was taken");
    }
    try {
        if (request.method == "GET" && request.path == "/v1/contracts") {
            return list_contracts();
        }
        const auto customer = path_suffix(request.path, "/v1/contracts/");
        if (!customer.empty() && request.method == "PUT") {
            return apply_contract(customer, request);
        }
        if (!customer.empty() && request.method == "GET") {
            return get_contract(customer);
        }
        const auto history_customer = path_suffix(request.path, "/v1/history/");
        if (!history_customer.empty() && request.method == "GET") {
            return contract_history(history_customer);
        }
        if (request.method == "GET" && request.path == "/v1/status") {
            return cell_status();
        }
        const auto shard = path_suffix(request.path, "/v1/shards/");
        if (!shard.empty() && request.method == "GET") {
            return shard_status(shard);
        }
        if (request.method == "POST" && request.path == "/v1/drain") {
            return drain_worker(request.query_or("worker", ""));
        }
        if (request.method == "GET" && request.path == "/v1/explain") {
            return explain(request);
        }
        if (request.method == "POST" && request.path == "/v1/cancel") {
            return cancel_request(request);
        }
    } catch (const transport_error& cause) {
        return error_response(503, "unavailable", cause.what());
    }
    return error_response(404, "unknown_call",
                          request.method + " " + request.path + " is not a known call");
}

http_response scheduler::list_contracts()
{
    const auto contracts =
        control_loop_.ask<std::vector<contract>>([this] { return contracts_.all(); });
    return {.body = to_json(contracts)};
}

http_response scheduler::get_contract(const std::string& customer)
{
    const auto found = control_loop_.ask<std::optional<contract>>([this, &customer] {
        const auto* terms = contracts_.find(customer);
        return terms == nullptr ? std::nullopt : std::optional(*terms);
    });
    if (!found) {
        return error_response(404, "no_contract", "there is no contract for customer " + customer);
    }
    return {.body = to_json(*found)};
}

http_response scheduler::contract_history(const std::string& customer)
{
    std::vector<contract> versions;
    for (const auto& record : store_->list(history_prefix + customer + "/").records) {
        versions.push_back(from_json<contract>(record.value));
    }
    std::ranges::sort(versions, {}, &contract::version);
    return {.body = to_json(versions)};
}

http_response scheduler::apply_contract(const std::string& customer, const http_request& request)
{
    auto requested = from_json<contract>(request.body);
    if (requested.customer != customer) {
        return error_response(400, "other_customer",
                              "the contract is for customer '" + requested.customer +
                                  "', but the path names " + customer);
    }
    if (requested.change_id.empty()) {
        return error_response(400, "no_change_id", "change_id is required; no action was taken");
    }
    constexpr auto any_version = std::numeric_limits<std::uint64_t>::max();
    const auto expected_text = request.query_or("expected_version", "");
    const auto expected = expected_text.empty() ? any_version : std::stoull(expected_text);
    auto others = control_loop_.ask<std::vector<contract>>([this] { return contracts_.all(); });
    std::erase_if(others, [&customer](const auto& other) { return other.customer == customer; });
    others.push_back(requested);
    try {
        check_guarantees(others, settings_.cell.capacity);
        if (!fits(requested.guaranteed, requested.ceiling) || !is_valid(requested.guaranteed)) {
            throw config_error(206, "guaranteed: must be from zero to the ceiling");
        }
    } catch (const config_error& cause) {
        return error_response(422, "refused", cause.what());
    }
    apply_answer answer;
    bool version_conflict = false;
    std::string store_value;
    const auto state = update_record(
        *store_, contract_prefix + customer,
        [&](const std::optional<store_record>& current) -> std::optional<std::string> {
            requested.version = 1;
            version_conflict = false;
            if (current) {
                answer.current = from_json<contract>(current->value);
                if (answer.current.change_id == requested.change_id) {
                    requested.version = answer.current.version;
                    return std::nullopt;
                }
                version_conflict = expected != any_version && expected != answer.current.version;
                if (version_conflict) {
                    return std::nullopt;
                }
                requested.version = answer.current.version + 1;
            } else {
                version_conflict = expected != any_version && expected != 0;
            }
            return version_conflict ? std::nullopt : std::optional(to_json(requested));
        },
        now() + apply_timeout);
    if (state == update_state::unknown) {
        return error_response(
            504, "store_unavailable",
            "it is unknown whether change " + requested.change_id +
                " was made; apply it again with the same change id, or get the contract");
    }
    if (version_conflict) {
        answer.message = "version " + std::to_string(answer.current.version) + " by " +
                         answer.current.author + " (change " + answer.current.change_id +
                         ") is already stored; nothing was changed";
        answer.differences = diff(answer.current, requested);
        return {.status = 409, .body = to_json(answer)};
    }
    const auto written = store_->get(contract_prefix + customer);
    if (!written) {
        return error_response(504, "store_unavailable", "the written contract can't be read back");
    }
    store_->compare_and_swap(
        {.key = history_prefix + customer + "/" + std::to_string(requested.version),
         .value = to_json(requested),
         .expected_version = 0,
         .lease = {}});
    const contract_record record{.value = from_json<contract>(written->value),
                                 .revision = written->revision};
    answer.applied = true;
    answer.current = requested;
    answer.unconfirmed = unconfirmed_schedulers(record.revision);
    answer.in_force_on = static_cast<int>(settings_.peers.size() + 1 - answer.unconfirmed.size());
    answer.message = "version " + std::to_string(requested.version) + " is in force on " +
                     std::to_string(answer.in_force_on) + " of " +
                     std::to_string(settings_.peers.size() + 1) + " schedulers";
    return {.body = to_json(answer)};
}

std::vector<std::string> scheduler::unconfirmed_schedulers(std::uint64_t revision)
{
    std::vector<endpoint> unconfirmed = settings_.peers;
    unconfirmed.push_back(endpoint_from_string(own_address_));
    const auto deadline = now() + in_force_timeout;
    while (true) {
        std::erase_if(unconfirmed, [this, revision](const endpoint& peer) {
            try {
                const auto response = peer_client_.exchange(
                    peer, {.revision = revision, .contracts = {}, .shards = {}}, peer_timeout);
                return response.revision >= revision;
            } catch (...) {
                LOG_EVERY_N(WARNING, 50) << "scheduler " << to_string(peer)
                                         << " does not confirm: " << describe_current_exception();
                return false;
            }
        });
        if (unconfirmed.empty() || now() >= deadline || stopping_) {
            break;
        }
        sleep_random(confirm_interval, confirm_interval);
    }
    std::vector<std::string> names;
    for (const auto& peer : unconfirmed) {
        names.push_back(to_string(peer));
    }
    return names;
}

http_response scheduler::cell_status()
{
    const auto status = control_loop_.ask<cell_summary>([this] {
        cell_summary cell{.scheduler = own_address_,
                          .store_available = store_available_,
                          .contract_revision = contracts_.revision(),
                          .members = {},
                          .shards = {}};
        for (const auto& [name, record] : members_) {
            cell.members.push_back(name);
        }
        for (const auto& [id, entry] : shards_) {
            shard_summary summary{.shard = id, .owner = entry.owner, .epoch = entry.epoch};
            if (const auto* shard = find_shard(id)) {
                summary.recovering = shard->state().is_recovering();
                summary.workers = static_cast<std::int64_t>(shard->state().pool().size());
                summary.open_requests = static_cast<std::int64_t>(shard->state().open_requests());
                for (const auto& worker : shard->state().pool().workers()) {
                    summary.reserved += worker.reserved;
                    summary.capacity += worker.capacity;
                }
            }
            cell.shards.push_back(summary);
        }
        return cell;
    });
    return {.body = to_json(status)};
}

http_response scheduler::shard_status(const std::string& shard_id)
{
    using views = std::optional<std::vector<worker_view>>;
    const auto workers = control_loop_.ask<views>([this, &shard_id]() -> views {
        const auto* shard = find_shard(shard_id);
        return shard == nullptr ? views() : views(shard->state().worker_views());
    });
    if (!workers) {
        return error_response(404, "not_owner", "this scheduler does not own shard " + shard_id);
    }
    return {.body = to_json(*workers)};
}

http_response scheduler::drain_worker(const std::string& address)
{
    const bool found = control_loop_.ask<bool>([this, &address] {
        bool any = false;
        for (auto& [id, shard] : owned_) {
            any |= shard->state().pool().find(address).has_value() &&
                   shard->state().drain(address, now());
        }
        return any;
    });
    if (!found) {
        return error_response(404, "unknown_worker",
                              "no shard of this scheduler has worker " + address);
    }
    return {.body = to_json(operator_error{.reason = "draining", .detail = address})};
}

http_response scheduler::explain(const http_request& request)
{
    using found_request = std::optional<std::string>;
    const auto found = control_loop_.ask<found_request>([this, &request]() -> found_request {
        for (auto& [id, shard] : owned_) {
            const auto view = shard->state().find(request.query_or("customer", ""),
                                                  request.query_or("request_id", ""));
            if (view) {
                return to_json(*view);
            }
        }
        return std::nullopt;
    });
    if (!found) {
        return error_response(404, "unknown_request",
                              "no shard of this scheduler has a record of the request");
    }
    return {.body = *found};
}

http_response scheduler::cancel_request(const http_request& request)
{
    const auto customer = request.query_or("customer", "");
    const auto request_id = request.query_or("request_id", "");
    auto promise = std::make_shared<std::promise<outcome>>();
    auto result = promise->get_future();
    control_loop_.post([this, promise, customer, request_id] {
        for (auto& [id, shard] : owned_) {
            if (shard->state().find(customer, request_id)) {
                const auto token = shard->add_reply(
                    [promise](outcome done) { promise->set_value(std::move(done)); });
                shard->state().cancel(token, customer, request_id, now());
                return;
            }
        }
        promise->set_value({.kind = verdict::may_have_run,
                            .reason = "unknown_request",
                            .detail = "no shard of this scheduler has a record of the request"});
    });
    if (result.wait_for(apply_timeout) != std::future_status::ready) {
        return error_response(504, "store_unavailable",
                              "the cancellation is not stored in the journal yet");
    }
    return {.body = to_json(result.get())};
}

} // namespace flamingoseam
