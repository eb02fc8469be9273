#pragma once

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/workflow/worker_lending.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace flamingoseam::node {

/// Asks the owners of the other shards for workers. May take as long as a few calls to other nodes.
using borrow_call = std::function<void(const workflow::worker_request& request)>;

/// Makes the calls for workers of other shards on a thread of its own, one at a time. An exception
/// that leaves a call is logged.
class worker_borrower {
public:
    /// Throws resource_error if the system has no thread left.
    explicit worker_borrower(borrow_call call);

    /// Waits for the call in progress.
    ~worker_borrower();

    worker_borrower(const worker_borrower&) = delete;
    worker_borrower& operator=(const worker_borrower&) = delete;

    /// Makes a call soon. Replaces a request for which no call has been made yet.
    void request(workflow::worker_request request);

private:
    void run();
    std::optional<workflow::worker_request> next();

    borrow_call call_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<workflow::worker_request> request_;
    bool stopping_ = false;
    service_thread thread_;
};

} // namespace flamingoseam::node
