#include "flamingoseam/node/worker_borrower.hpp"

#include <utility>

namespace flamingoseam::node {

worker_borrower::worker_borrower(borrow_call call) : call_(std::move(call))
{
    thread_ = service_thread("borrowing", [this] { run(); });
}

worker_borrower::~worker_borrower()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_one();
}

void worker_borrower::request(workflow::worker_request request)
{
    {
        const std::lock_guard lock(mutex_);
        request_ = std::move(request);
    }
    changed_.notify_one();
}

/// Waits for a request. Returns none when this object ends.
std::optional<workflow::worker_request> worker_borrower::next()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return stopping_ || request_; });
    return stopping_ ? std::nullopt : std::exchange(request_, std::nullopt);
}

void worker_borrower::run()
{
    while (const auto request = next()) {
        run_guarded("a request for workers", [&] { call_(*request); });
    }
}

} // namespace flamingoseam::node
