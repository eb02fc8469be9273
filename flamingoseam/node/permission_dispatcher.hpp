#pragma once

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/http/http_client.hpp"
#include "flamingoseam/node/load_meter.hpp"
#include "flamingoseam/node/permission_pacer.hpp"
#include "flamingoseam/workflow/permission_queue.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace flamingoseam::node {

/// The answer of the permission service to one request.
struct permission_answer {
    std::vector<workflow::ticket_grant> grants;
};

/// Asks the permission service which workers may run a step. Throws transport_error when the
/// service does not answer or refuses the request.
using permission_call = std::function<permission_answer(const workflow::permission_request&)>;

/// Returns the function that a call slot calls: this node calls the service itself for its own
/// name, and through the peer of that name otherwise. The function must be thread-safe.
using permission_call_factory = std::function<permission_call(const std::string& node)>;

/// Timing and result of one call to the permission service.
struct permission_timing {
    int priority = 0;
    time_point::duration queue_time{0}; ///< From the decision to ask until a slot took the request.
    time_point::duration call_time{0};  ///< Duration of the call itself.
    bool answered = false;
};

/// Distributes permission requests over the nodes, since the service handles one call of each
/// calling node at a time. Each node is represented by one call slot, whose permission_pacer sends
/// the next call while the answers to earlier ones are on the way. A permission_queue chooses the
/// request that a slot handles next. Threads are added so that one of them is idle, up to a limit
/// and as far as the system has threads left; then requests wait for a thread.
class permission_dispatcher {
public:
    /// Receives the number of each request and its grants, or no value when the request failed.
    /// Called from the dispatcher's threads. If it throws, it is called again, so it must have had
    /// no effect then.
    using answer_handler =
        std::function<void(std::uint64_t, std::optional<std::vector<workflow::ticket_grant>>)>;

    /// Receives the timing of each call. Called from the dispatcher's threads. An exception that
    /// leaves it is logged.
    using call_observer = std::function<void(const permission_timing&)>;

    /// Throws resource_error if the system has no thread left.
    permission_dispatcher(permission_call_factory make_call, answer_handler handle_answer,
                          call_observer observer = nullptr);

    /// Waits for the calls in flight.
    ~permission_dispatcher();

    permission_dispatcher(const permission_dispatcher&) = delete;
    permission_dispatcher& operator=(const permission_dispatcher&) = delete;

    /// Sets the nodes through which calls are made, one call slot for each. Complexity: linear.
    void set_nodes(const std::vector<std::string>& nodes);

    /// Adds a request to the queue.
    void enqueue(workflow::permission_request request);

    /// Removes a request from the queue if no call slot has taken it yet. A removed request is not
    /// answered.
    void withdraw(std::uint64_t number);

    /// Returns the load of the call slots. Complexity: linear in the queued requests and the slots.
    [[nodiscard]] permission_load load(time_point time);

    /// Makes the dispatcher's threads end soon, without waiting for them.
    void request_stop();

private:
    struct call_slot {
        std::string node;
        permission_call call;
        permission_pacer pacer;
        bool ending = false;
    };
    struct dispatched_call {
        call_slot* slot;
        workflow::permission_request request;
    };

    void run();
    void add_thread_if_possible();
    void perform(const dispatched_call& next);
    static std::optional<std::vector<workflow::ticket_grant>> call(const dispatched_call& next);
    void pass_answer(std::uint64_t number,
                     const std::optional<std::vector<workflow::ticket_grant>>& grants);
    [[nodiscard]] bool is_ending();
    void record_call(const workflow::permission_request& request, time_point started,
                     bool answered);
    std::optional<dispatched_call> take_call();
    std::optional<dispatched_call> find_call(time_point time);
    void wait_for_work(std::unique_lock<std::mutex>& lock, time_point time);
    [[nodiscard]] call_slot* find_ready_slot(time_point time) const;
    [[nodiscard]] time_point next_check(time_point time) const;
    [[nodiscard]] std::size_t open_slots() const;
    [[nodiscard]] std::size_t busy_slots() const;

    permission_call_factory make_call_;
    answer_handler answer_handler_;
    call_observer observer_;
    std::mutex mutex_;
    std::condition_variable work_pending_; ///< Notified of work for idle threads.
    workflow::permission_queue queue_;
    std::vector<std::unique_ptr<call_slot>> slots_;
    std::vector<service_thread> threads_;
    std::size_t calls_in_flight_ = 0; ///< Number of threads that make a call.
    /// When an idle thread checks the queue again without being notified.
    time_point next_check_ = time_point::max();
    permission_load load_; ///< Sums over all calls.
    bool ending_ = false;
};

} // namespace flamingoseam::node
