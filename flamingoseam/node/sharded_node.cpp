#include "flamingoseam/node/sharded_node.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <functional>
#include <random>
#include <thread>

namespace flamingoseam::node {

namespace {

constexpr milliseconds layout_poll_interval{200};
constexpr milliseconds shard_retry_interval{100};
constexpr milliseconds lending_timeout{300}; ///< Timeout of a request to the owner of a shard.
constexpr milliseconds no_layout_retry_after{1'000};

/// Returns the answer that promises least: a job is unknown only if no shard knows it.
owner_answer least_certain(const std::vector<owner_answer>& answers)
{
    for (const auto verdict : {owner_verdict::unknown, owner_verdict::no_owner}) {
        const auto found = std::ranges::find(answers, verdict, &owner_answer::verdict);
        if (found != answers.end()) {
            return *found;
        }
    }
    return answers.front();
}

std::string make_incarnation()
{
    std::random_device device;
    return std::to_string(device()) + "-" + std::to_string(wall_now().count());
}

owner_answer no_layout_answer()
{
    return {.verdict = owner_verdict::no_owner,
            .reason = "no_layout",
            .retry_after = no_layout_retry_after};
}

} // namespace

sharded_node::sharded_node(sharded_node_options options, node_dependencies dependencies)
    : options_(std::move(options)), dependencies_(std::move(dependencies))
{
    options_.node.incarnation = make_incarnation();
    membership_ = std::make_shared<membership>(
        membership_options{
            .prefix = options_.node.store_prefix + "m/",
            .self = {.name = options_.node.name,
                     .incarnation = options_.node.incarnation,
                     .address = options_.node.rpc,
                     .processor_share = options_.node.processor_share},
            .report = [log = dependencies_.log](const log_event& event) { log->write(event); }},
        dependencies_.stores);
    forming_thread_ = service_thread("shards", [this] { run_forming(); });
}

sharded_node::~sharded_node()
{
    stopping_ = true;
}

/// Tries until the shards are formed or this object ends.
void sharded_node::run_forming()
{
    while (!stopping_ && !run_guarded("forming the shards", [this] { form_shards(); })) {
        std::this_thread::sleep_for(shard_retry_interval);
    }
}

/// Waits until the layout of the cell is known. Returns 0 if this object ends before.
std::size_t sharded_node::agree_on_layout()
{
    layout_agreement agreement({.store_prefix = options_.node.store_prefix,
                                .workers_per_shard = options_.workers_per_shard},
                               dependencies_.stores(), dependencies_.directory());
    while (!stopping_) {
        try {
            if (const auto shards = agreement.try_agree(membership_->processor_shares(), now())) {
                return *shards;
            }
        } catch (const error& cause) {
            LOG_EVERY_N(WARNING, 20) << "the layout of the cell is not known: " << cause.what();
        }
        std::this_thread::sleep_for(layout_poll_interval);
    }
    return 0;
}

void sharded_node::form_shards()
{
    const auto count = agree_on_layout();
    if (count == 0) {
        return;
    }
    dependencies_.log->write(
        {.event = "layout_known", .request = {}, .detail = std::to_string(count) + " shards"});
    shards_.resize(count);
    for (std::size_t index = 0; index < count; ++index) {
        if (!form_shard({.index = index, .count = count})) {
            return;
        }
    }
    group_->shards.assign(shards_.begin(), shards_.end());
    group_->is_complete = true;
    is_formed_ = true;
}

/// Adds a shard once its address is free, which an earlier process may still hold. Returns false if
/// this object ends before.
bool sharded_node::form_shard(const shard_identity& shard)
{
    while (!stopping_ && !shards_[shard.index]) {
        try {
            add_shard(shard);
        } catch (...) {
            LOG_EVERY_N(WARNING, 20)
                << "can't serve the jobs" << to_text(shard) << ": " << describe_current_exception();
            std::this_thread::sleep_for(shard_retry_interval);
        }
    }
    return shards_[shard.index] != nullptr;
}

void sharded_node::add_shard(const shard_identity& shard)
{
    auto options = options_.node;
    options.shard = shard;
    options.cell_prefix = options.store_prefix;
    if (shard.count > 1) {
        options.rpc.port = static_cast<unsigned short>(options.rpc.port + shard.index);
        options.store_prefix += std::to_string(shard.index) + "/";
        options.owned_shards = [this] { return owned_shards(); };
        options.borrow_workers = borrow_call_of(shard);
    }
    shards_[shard.index] = std::make_shared<node>(std::move(options), dependencies_, membership_);
}

/// Returns the call that asks the owners of all other shards for workers, one after the other.
borrow_call sharded_node::borrow_call_of(const shard_identity& shard) const
{
    return [group = group_, shard](workflow::worker_request request) {
        for (std::size_t offset = 1; group->is_complete && offset < shard.count; ++offset) {
            const auto other = group->shards[(shard.index + offset) % shard.count].lock();
            if (other) {
                request.workers += other->request_workers(request, lending_timeout);
            }
        }
    };
}

/// Returns the indices of the shards that this process owns; none until all have been formed.
std::vector<std::size_t> sharded_node::owned_shards() const
{
    std::vector<std::size_t> owned;
    for (std::size_t index = 0; is_formed_ && index < shards_.size(); ++index) {
        if (shards_[index]->is_owner()) {
            owned.push_back(index);
        }
    }
    return owned;
}

/// Asks the shards that may have a job, until one of them knows it.
owner_answer sharded_node::ask_for_job(const std::string& job, milliseconds timeout,
                                       const job_call& call)
{
    if (!is_formed_) {
        return no_layout_answer();
    }
    const auto end = now() + timeout;
    std::vector<owner_answer> answers;
    for (const auto shard : possible_shards(job, shards_.size())) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - now());
        answers.push_back(call(*shards_[shard], std::max(left, milliseconds(1))));
        if (answers.back().verdict == owner_verdict::accepted) {
            return answers.back();
        }
    }
    return least_certain(answers);
}

owner_answer sharded_node::submit_job(const workflow::job_spec& job,
                                      const workflow::queue_terms& terms, milliseconds timeout)
{
    return is_formed_ ? shards_[shard_of(job, shards_.size())]->submit_job(job, terms, timeout)
                      : no_layout_answer();
}

owner_answer sharded_node::cancel_job(const std::string& job, milliseconds timeout)
{
    return ask_for_job(job, timeout, [&job](node& shard, milliseconds limit) {
        return shard.cancel_job(job, limit);
    });
}

owner_answer sharded_node::find_job(const std::string& job, milliseconds timeout)
{
    return ask_for_job(job, timeout, [&job](node& shard, milliseconds limit) {
        return shard.find_job(job, limit);
    });
}

owner_answer sharded_node::count_pending_jobs(const std::string& queue, milliseconds timeout)
{
    if (!is_formed_) {
        return no_layout_answer();
    }
    const auto end = now() + timeout;
    owner_answer sum{.verdict = owner_verdict::accepted};
    for (const auto& shard : shards_) {
        const auto left = std::chrono::duration_cast<milliseconds>(end - now());
        auto answer = shard->count_pending_jobs(queue, std::max(left, milliseconds(1)));
        if (answer.verdict != owner_verdict::accepted) {
            return answer;
        }
        sum.pending += answer.pending;
    }
    return sum;
}

bool sharded_node::is_ready() const
{
    return is_formed_ &&
           std::ranges::all_of(shards_, [](const auto& shard) { return shard->is_ready(); });
}

/// Leaves all shards at once, or those for which there is no thread one after the other.
void sharded_node::leave_shards(const shutdown_schedule& schedule)
{
    std::vector<service_thread> threads(shards_.size());
    std::vector<std::function<void()>> waiting;
    for (std::size_t index = 0; index < shards_.size(); ++index) {
        const auto leave = [&shard = *shards_[index], &schedule] {
            run_guarded("leaving a shard", [&] { shard.leave(schedule); });
        };
        try {
            threads[index] = service_thread("leaving", leave);
        } catch (const resource_error& cause) {
            LOG(WARNING) << "shards are left one after the other: " << cause.what();
            waiting.emplace_back(leave);
        }
    }
    for (const auto& leave : waiting) {
        leave();
    }
}

void sharded_node::leave(const shutdown_schedule& schedule)
{
    stopping_ = true;
    if (!is_formed_) {
        membership_->leave();
        return;
    }
    run_guarded("leaving the shards", [&] { leave_shards(schedule); });
    membership_->leave();
}

} // namespace flamingoseam::node
