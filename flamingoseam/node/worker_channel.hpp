#pragma once

#include "flamingoseam/workflow/messages.hpp"

#include <functional>
#include <memory>
#include <string>

namespace flamingoseam::node {

/// Time on a worker's own steady clock.
using worker_time = std::chrono::milliseconds;

/// An order to start a run, as it goes to a worker.
struct start_call {
    workflow::run_name name;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t epoch = 0;
    worker_time lease_until{0}; ///< Everything on the worker is killed then unless renewed.
};

/// What a worker answers to an order.
struct order_answer {
    workflow::start_outcome outcome = workflow::start_outcome::unknown;
    worker_time clock{0}; ///< 0 when the worker did not tell.
};

/// Renews the lease of everything on a worker and asks what it holds.
struct renew_call {
    std::uint64_t epoch = 0;
    std::int64_t forget_up_to = 0;
    worker_time lease_until{0}; ///< 0 leaves the lease as it is.
    milliseconds wait{0};       ///< How long the worker may hold the answer until a run ends.
};

/// What a worker answers to a renewal.
struct renew_answer {
    enum class kind { accepted, fenced, wrong_incarnation, refused };
    kind what = kind::accepted;
    worker_time clock{0};
    workflow::worker_report report;
};

/// One connection to one worker, for one thread. Every call throws transport_error when there is no
/// answer in time; the worker may then have carried the call out, or may still do so.
class worker_channel {
public:
    virtual ~worker_channel() = default;
    virtual order_answer start(const start_call& call, milliseconds timeout) = 0;

    /// The outcome is `started` when the stop was taken in.
    virtual order_answer stop(const workflow::run_name& name, std::uint64_t epoch,
                              milliseconds timeout) = 0;
    virtual renew_answer renew(const renew_call& call, milliseconds timeout) = 0;
};

/// Makes connections to workers.
using worker_channel_factory =
    std::function<std::unique_ptr<worker_channel>(const workflow::worker_entry& worker)>;

} // namespace flamingoseam::node
