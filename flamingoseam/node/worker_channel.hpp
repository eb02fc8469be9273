#pragma once

#include "flamingoseam/core/call_result.hpp"
#include "flamingoseam/http/io_loop.hpp"
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
    std::uint64_t epoch = 0;    ///< The fencing token.
    worker_time lease_until{0}; ///< The worker kills all its runs then unless the lease is renewed.
};

/// Answer of a worker to an order.
struct order_answer {
    workflow::start_outcome outcome = workflow::start_outcome::unknown;
    worker_time clock{0}; ///< 0 when the worker did not report its clock.
};

/// Renews the lease of all runs of a worker and asks which runs it has.
struct renew_call {
    std::uint64_t epoch = 0; ///< The fencing token.
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

/// A connection to a worker, to be used on the thread of one I/O loop, except that it may be
/// created on any thread. Each call returns at once, and its handler is called on that thread
/// later, exactly once: with the answer, or with transport_error when there is none in time, after
/// which the call is not repeated; the worker may have executed it nevertheless, or may still do
/// so. The handler is not called if the call throws an exception, or once the channel has been
/// destroyed, which no handler may do. Only one call may be in flight.
class worker_channel {
public:
    using order_handler = std::function<void(call_result<order_answer>)>;
    using renew_handler = std::function<void(call_result<renew_answer>)>;

    virtual ~worker_channel() = default;
    virtual void start(const start_call& call, milliseconds timeout, order_handler handler) = 0;

    /// Stops a run. The outcome is `started` when the worker has accepted the stop.
    virtual void stop(const workflow::run_name& name, std::uint64_t epoch, milliseconds timeout,
                      order_handler handler) = 0;
    virtual void renew(const renew_call& call, milliseconds timeout, renew_handler handler) = 0;
};

/// Creates connections to workers, for use on the thread of a loop.
using worker_channel_factory = std::function<std::unique_ptr<worker_channel>(
    io_loop& loop, const workflow::worker_entry& worker)>;

} // namespace flamingoseam::node
