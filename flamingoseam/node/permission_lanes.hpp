#pragma once

#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/node/load_meter.hpp"
#include "flamingoseam/workflow/permission_queue.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace flamingoseam::node {

/// What the permission service has granted.
struct permission_answer {
    std::vector<workflow::ticket_grant> grants;
};

/// Asks the permission service which workers may run a step. Throws transport_error when it does
/// not answer or refuses.
using permission_call = std::function<permission_answer(const workflow::permission_request&)>;

/// Makes the call of one lane: from this node itself for its own name, through the peer otherwise.
using permission_call_factory = std::function<permission_call(const std::string& node)>;

/// How one call of a lane fared.
struct permission_timing {
    int priority = 0;
    time_point::duration waited{0}; ///< From the decision to ask until a lane took the request.
    time_point::duration took{0};
    bool answered = false;
};

/// Spreads permission requests over the nodes, since the service works on one call of each calling
/// node at a time. A lane stands for one node. What it works on next is chosen by a
/// permission_queue.
class permission_lanes {
public:
    /// `answer` gets each request's number and its grants, none when the request failed; it is
    /// called from the lanes' threads.
    using on_answer =
        std::function<void(std::uint64_t, std::optional<std::vector<workflow::ticket_grant>>)>;

    /// Hears of each call from the lanes' threads.
    using call_observer = std::function<void(const permission_timing&)>;

    permission_lanes(permission_call_factory calls, on_answer answer,
                     call_observer observer = nullptr);

    /// Waits for the calls under way.
    ~permission_lanes();

    permission_lanes(const permission_lanes&) = delete;
    permission_lanes& operator=(const permission_lanes&) = delete;

    /// Sets the nodes that lanes lead through. Complexity: linear.
    void set_nodes(const std::vector<std::string>& nodes);

    /// Queues a request.
    void ask(workflow::permission_request request);

    /// Takes a request back if no lane works on it yet; it is not answered then.
    void withdraw(std::uint64_t number);

    /// Returns what the lanes have to do. Complexity: linear in what waits and in the lanes.
    [[nodiscard]] permission_load load(time_point time);

    /// Makes the lanes end soon, without waiting for them.
    void request_end();

private:
    struct lane {
        std::string node;
        bool ending = false;
        std::thread thread;
    };

    void run(lane& one);
    void note_call(const workflow::permission_request& request, time_point began, bool answered);
    std::optional<workflow::permission_request> take(lane& one);
    std::size_t open_lanes() const;

    permission_call_factory calls_;
    on_answer answer_;
    call_observer observer_;
    std::mutex mutex_;
    std::condition_variable changed_;    ///< The lanes, or whether they end.
    std::condition_variable work_waits_; ///< For one of the lanes that look for work.
    workflow::permission_queue queue_;
    std::vector<std::unique_ptr<lane>> lanes_;
    permission_load load_; ///< The sums of calls, and the calls under way.
    bool ending_ = false;
};

} // namespace flamingoseam::node
