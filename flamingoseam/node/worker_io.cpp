#include "flamingoseam/node/worker_io.hpp"

namespace flamingoseam::node {

worker_io::loop_list worker_io::make_loops(const char* name, thread_duty duty)
{
    loop_list loops;
    for (std::size_t index = 0; index < loops_per_duty; ++index) {
        loops.push_back(std::make_unique<io_loop>(name, duty));
    }
    return loops;
}

worker_io::worker_io()
    : order_loops_(make_loops("worker orders", thread_duty::orders)),
      poll_loops_(make_loops("worker polls", thread_duty::polls))
{
}

worker_loops worker_io::next_loops()
{
    const auto index = sessions_++ % loops_per_duty;
    return {.orders = *order_loops_.at(index), .polls = *poll_loops_.at(index)};
}

} // namespace flamingoseam::node
