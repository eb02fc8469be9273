#include "flamingoseam/node/node.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/node/owner_call.hpp"

#include <glog/logging.h>

#include <future>
#include <utility>

namespace flamingoseam::node {

namespace {

/// Added to the time that the service itself needs.
constexpr milliseconds permission_timeout_margin{400};
constexpr milliseconds no_owner_retry_after{1'000};
/// The calls to the permission service that other nodes forward, at most four at a time each, and
/// the ends of owners.
constexpr std::size_t max_background_tasks = 8;

owner_answer no_owner_answer(std::string reason)
{
    return {.verdict = owner_verdict::no_owner,
            .reason = std::move(reason),
            .retry_after = no_owner_retry_after};
}

[[noreturn]] permission_answer refuse_permission(const workflow::permission_request& request)
{
    throw transport_error(
        319, "job " + request.job + " needs permission, but this node knows no service for it",
        false);
}

} // namespace

node::node(node_options options, node_dependencies dependencies,
           std::shared_ptr<membership> members)
    : options_(std::move(options)), dependencies_(std::move(dependencies)),
      membership_(std::move(members)), background_tasks_(max_background_tasks)
{
    if (!dependencies_.permission) {
        dependencies_.permission = refuse_permission;
    }
    server_ = std::make_unique<coordinator_server>(options_.rpc, *this);
    listener_ = membership_->add_listener([this] { on_view_changed(); });
    try {
        start_threads();
    } catch (const resource_error&) {
        request_stop();
        throw;
    }
}

void node::start_threads()
{
    election_thread_ = service_thread("election", [this] { run_election(); });
    path_thread_ = service_thread("owner path", [this] { monitor_owner_path(); });
}

void node::request_stop()
{
    membership_->remove_listener(listener_);
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
}

node::~node()
{
    request_stop();
    election_thread_.join();
    path_thread_.join();
    server_.reset();
    stop_local_owner();
}

std::shared_ptr<job_owner> node::local_owner() const
{
    const std::lock_guard lock(mutex_);
    return is_owner_superseded() ? nullptr : owner_;
}

/// Checks whether this process's owner has been superseded. Requires `mutex_`.
bool node::is_owner_superseded() const
{
    return owner_ && owner_->epoch() <= superseded_epoch_;
}

bool node::is_ready() const
{
    return !leaving_ && membership_->has_valid_lease() && !is_owner_unreachable() &&
           (local_owner() != nullptr || membership_->live_owner(options_.shard));
}

template <typename LocalCall, typename RemoteCall>
owner_answer node::forward_call(milliseconds timeout, const LocalCall& local,
                                const RemoteCall& remote)
{
    // Nothing of this call has been sent yet, so its client may safely retry at another node.
    if (is_owner_unreachable()) {
        return no_owner_answer("owner_unreachable");
    }
    if (now() >= calls_end_.load()) {
        return no_owner_answer("node_leaves");
    }
    // Another node may have an owner sooner than a node that leaves.
    const auto owner_wait = leaving_ ? milliseconds(0) : std::min(options_.owner_wait, timeout / 2);
    return call_owner(
        {.timeout = timeout,
         .owner_wait = owner_wait,
         .latest_end = [this] { return calls_end_.load(); }},
        [&](milliseconds limit) { return forward_once(limit, local, remote); },
        [this](milliseconds limit) { wait_for_change(limit); });
}

void node::wait_for_change(milliseconds limit)
{
    std::unique_lock lock(mutex_);
    const auto initial_count = change_count_;
    changed_.wait_for(lock, limit, [&] { return stopping_ || change_count_ != initial_count; });
}

template <typename LocalCall, typename RemoteCall>
owner_answer node::forward_once(milliseconds timeout, const LocalCall& local,
                                const RemoteCall& remote)
{
    if (const auto owner = local_owner()) {
        auto promise = std::make_shared<std::promise<owner_answer>>();
        auto answer = promise->get_future();
        local(*owner, [promise](owner_answer result) { promise->set_value(std::move(result)); });
        if (answer.wait_for(timeout) == std::future_status::ready) {
            return answer.get();
        }
        return {.verdict = owner_verdict::unknown, .reason = "no_answer_in_time"};
    }
    const auto owner = membership_->live_owner(options_.shard);
    if (!owner || owner->owner.incarnation == options_.incarnation) {
        return no_owner_answer("no_owner");
    }
    const owner_process target{.epoch = owner->epoch, .address = owner->owner.address};
    {
        const std::lock_guard lock(mutex_);
        path_.record_call(target, now());
    }
    try {
        auto answer = remote(target.address, timeout);
        record_owner_answer(target);
        return answer;
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "can't forward a call to the owner: " << cause.what();
        if (cause.id() == refused_connection) {
            record_refused_connection(target.epoch);
            record_owner_answer(target); // The path is reachable; the process has ended.
        }
        if (!cause.sent()) {
            return no_owner_answer("owner_unreachable");
        }
        return {.verdict = owner_verdict::unknown, .reason = "no_answer_in_time"};
    }
}

owner_answer node::submit_job(const workflow::job_spec& job, const workflow::queue_terms& terms,
                              milliseconds timeout)
{
    return forward_call(
        timeout, [&](job_owner& owner, auto reply) { owner.submit(job, terms, std::move(reply)); },
        [&](const endpoint& owner, milliseconds remaining) {
            return client_.submit(owner, job, terms, remaining);
        });
}

owner_answer node::cancel_job(const std::string& job, milliseconds timeout)
{
    return forward_call(
        timeout, [&](job_owner& owner, auto reply) { owner.cancel(job, std::move(reply)); },
        [&](const endpoint& owner, milliseconds remaining) {
            return client_.cancel(owner, job, remaining);
        });
}

owner_answer node::find_job(const std::string& job, milliseconds timeout)
{
    return forward_call(
        timeout, [&](job_owner& owner, auto reply) { owner.find(job, std::move(reply)); },
        [&](const endpoint& owner, milliseconds remaining) {
            return client_.find(owner, job, remaining);
        });
}

owner_answer node::count_pending_jobs(const std::string& queue, milliseconds timeout)
{
    return forward_call(
        timeout,
        [&](job_owner& owner, auto reply) { owner.count_pending(queue, std::move(reply)); },
        [&](const endpoint& owner, milliseconds remaining) {
            return client_.count_pending(owner, queue, remaining);
        });
}

void node::submit(const workflow::job_spec& job, const workflow::queue_terms& terms,
                  owner_reply reply)
{
    if (const auto owner = local_owner()) {
        owner->submit(job, terms, std::move(reply));
    } else {
        reply(no_owner_answer("not_the_owner"));
    }
}

void node::cancel(const std::string& job, owner_reply reply)
{
    if (const auto owner = local_owner()) {
        owner->cancel(job, std::move(reply));
    } else {
        reply(no_owner_answer("not_the_owner"));
    }
}

void node::find(const std::string& job, owner_reply reply)
{
    if (const auto owner = local_owner()) {
        owner->find(job, std::move(reply));
    } else {
        reply(no_owner_answer("not_the_owner"));
    }
}

void node::count_pending(const std::string& queue, owner_reply reply)
{
    if (const auto owner = local_owner()) {
        owner->count_pending(queue, std::move(reply));
    } else {
        reply(no_owner_answer("not_the_owner"));
    }
}

void node::lend_workers(const workflow::worker_request& request, count_reply reply)
{
    if (const auto owner = local_owner()) {
        owner->lend_workers(request, std::move(reply));
    } else {
        reply(0);
    }
}

std::size_t node::request_workers(const workflow::worker_request& request, milliseconds timeout)
{
    if (const auto owner = local_owner()) {
        auto promise = std::make_shared<std::promise<std::size_t>>();
        auto lent = promise->get_future();
        owner->lend_workers(request, [promise](std::size_t count) { promise->set_value(count); });
        return lent.wait_for(timeout) == std::future_status::ready ? lent.get() : 0;
    }
    const auto owner = remote_owner();
    if (!owner) {
        return 0;
    }
    try {
        return client_.lend_workers(owner->address, request, timeout);
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "can't ask the owner" << to_text(options_.shard)
                                 << " for workers: " << cause.what();
        return 0;
    }
}

void node::ask_permission(const workflow::permission_request& request, permission_reply reply)
{
    background_tasks_.run([this, request, reply = std::move(reply)] {
        std::optional<permission_answer> answer;
        run_guarded("a forwarded call to the permission service",
                    [&] { answer = call_permission_service(request); });
        reply(std::move(answer));
    });
}

/// Returns none if the service does not answer.
std::optional<permission_answer>
node::call_permission_service(const workflow::permission_request& request) const
{
    try {
        return dependencies_.permission(request);
    } catch (const error& cause) {
        LOG_EVERY_N(WARNING, 20) << "a forwarded call to the permission service failed: "
                                 << cause.what();
        return std::nullopt;
    }
}

/// Returns the names of the nodes through which this shard's owner calls the permission service.
/// Each node serves one shard, since the service handles one call of a node at a time.
std::vector<std::string> node::calling_nodes(const membership_view& view) const
{
    std::vector<std::string> names;
    if (options_.shard.count == 1) {
        names.push_back(options_.name);
    }
    std::size_t position = 0;
    for (const auto& [name, other] : view.members) {
        const bool is_of_shard = serves_shard(position++, options_.shard);
        if (is_of_shard && (names.empty() || name != names.front())) {
            names.push_back(name);
        }
    }
    return names;
}

void node::update_call_slots(const membership_view& view)
{
    const auto owner = local_owner();
    if (!owner) {
        return;
    }
    owner->set_nodes(calling_nodes(view));
}

permission_call node::permission_call_through(const std::string& name)
{
    if (name == options_.name) {
        return dependencies_.permission;
    }
    return [this, name](const workflow::permission_request& request) {
        const auto members = view().members;
        const auto found = members.find(name);
        if (found == members.end()) {
            throw transport_error(309, "node " + name + " is not a member", false);
        }
        auto granted = client_.ask_permission(found->second.address, request,
                                              request.service_time + permission_timeout_margin);
        if (!granted) {
            throw transport_error(310, "the permission service did not answer node " + name, true);
        }
        return *granted;
    };
}

} // namespace flamingoseam::node
