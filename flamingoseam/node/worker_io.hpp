#pragma once

#include "flamingoseam/http/io_loop.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

namespace flamingoseam::node {

/// The loops on which one session with a worker sends orders and polls.
struct worker_loops {
    io_loop& orders;
    io_loop& polls;
};

/// The threads for the sessions of a node with workers. They are started with the node, so that
/// neither the number of workers nor a takeover needs more of them. Must outlast the sessions.
class worker_io {
public:
    static constexpr std::size_t loops_per_duty = 2; ///< Threads for orders, and for polls.

    /// Throws resource_error if the system has no threads left for this process.
    worker_io();

    /// Returns the loops for a further session, over which the sessions are spread evenly. Callable
    /// from all threads. Complexity: constant.
    worker_loops next_loops();

private:
    using loop_list = std::vector<std::unique_ptr<io_loop>>;

    static loop_list make_loops(const char* name, thread_duty duty);

    loop_list order_loops_;
    loop_list poll_loops_;
    std::atomic<std::size_t> sessions_{0}; ///< Number of calls of next_loops().
};

} // namespace flamingoseam::node
