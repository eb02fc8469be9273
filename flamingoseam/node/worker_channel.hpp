#pragma once

#include "flamingoseam/workflow/messages.hpp"

#include <functional>
#include <memory>
#include <string>

namespace flamingoseam::node {

/// Time on the steady clock of a worker.
using worker_time = std::chrono::milliseconds;

/// Order to start a run, as sent to a worker.
struct start_call {
    workflow::run_name name;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    std::uint64_t epoch = 0;
    worker_time lease_until{0}; ///< The worker kills all its runs then unless the lease is renewed.
};

/// Answer of a worker to an order.
struct order_answer {
    workflow::start_outcome outcome = workflow::start_outcome::unknown;
    worker_time clock{0}; ///< 0 when the worker did not report its clock.
};

/// Renews the lease of all runs of a worker and asks which runs it has.
struct renew_call {
    std::uint64_t epoch = 0;
    std::int64_t forget_up_to = 0;
    worker_time lease_until{0}; ///< 0 leaves the lease unchanged.

    /// How long the worker may delay its answer until a run ends.
    milliseconds wait{0};
};

/// Answer of a worker to a renewal.
struct renew_answer {
    enum class kind { accepted, fenced, wrong_incarnation, refused };
    kind outcome = kind::accepted;
    worker_time clock{0};
    workflow::worker_report report;
};

/// A connection to a worker, to be used from one thread. Each call throws transport_error when
/// there is no answer in time, after which it is not repeated; the worker may have executed the
/// call nevertheless, or may still do so.
class worker_channel {
public:
    virtual ~worker_channel() = default;
    virtual order_answer start(const start_call& call, milliseconds timeout) = 0;

    /// Stops a run. The outcome is `started` when the worker has accepted the stop.
    virtual order_answer stop(const workflow::run_name& name, std::uint64_t epoch,
                              milliseconds timeout) = 0;
    virtual renew_answer renew(const renew_call& call, milliseconds timeout) = 0;
};

/// Creates connections to workers.
using worker_channel_factory =
    std::function<std::unique_ptr<worker_channel>(const workflow::worker_entry& worker)>;

} // namespace flamingoseam::node
