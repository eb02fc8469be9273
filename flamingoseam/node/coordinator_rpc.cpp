#include "flamingoseam/node/coordinator_rpc.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/node/coordinator.capnp.h"
#include "flamingoseam/peer/rpc_connections.hpp"
#include "flamingoseam/peer/rpc_listener.hpp"

#include <array>

namespace flamingoseam::node {

namespace {

constexpr milliseconds unknown_time_left{-1};
/// By which the clocks of two machines may advance at different rates.
constexpr double max_clock_ratio = 1.05;

milliseconds time_left(std::optional<time_point> end)
{
    return end ? std::max(milliseconds(0), std::chrono::ceil<milliseconds>(*end - now()))
               : unknown_time_left;
}

/// Returns a time that is not earlier than the one of which another machine has said that this is
/// left until then.
std::optional<time_point> end_after(milliseconds left)
{
    return left < milliseconds(0) ? std::nullopt
                                  : std::optional(now() + scaled(left, max_clock_ratio));
}

constexpr std::array all_verdicts = {owner_verdict::accepted, owner_verdict::refused,
                                     owner_verdict::not_found, owner_verdict::no_owner,
                                     owner_verdict::unknown};

void write(rpc::JobSpec::Builder out, const workflow::job_spec& job)
{
    out.setId(job.id);
    out.setQueue(job.queue);
    out.setPayload(job.payload);
    auto steps = out.initSteps(static_cast<unsigned>(job.steps.size()));
    for (unsigned index = 0; index < steps.size(); ++index) {
        auto out_step = steps[index];
        const auto& step = job.steps[index];
        out_step.setTasks(step.tasks);
        out_step.setMilliCpus(step.size.milli_cpus);
        out_step.setMemoryMb(step.size.memory_mb);
        out_step.setAccelerators(step.size.accelerators);
        out_step.setEstimateMs(step.estimate.count());
        auto after = out_step.initAfter(static_cast<unsigned>(step.after.size()));
        for (unsigned position = 0; position < after.size(); ++position) {
            after.set(position, step.after[position]);
        }
        out_step.setGang(step.gang);
        out_step.setSameRack(step.same_rack);
        out_step.setCheckpoints(step.checkpoints);
        out_step.setSpeculative(step.speculative);
        out_step.setLabel(step.label);
        out_step.setPreferredRack(step.preferred_rack);
        out_step.setMostPerWorker(step.max_per_worker);
    }
}

workflow::job_spec read(rpc::JobSpec::Reader in)
{
    workflow::job_spec job{
        .id = in.getId().cStr(), .queue = in.getQueue().cStr(), .payload = {}, .steps = {}};
    job.payload.assign(in.getPayload().begin(), in.getPayload().size());
    for (const auto in_step : in.getSteps()) {
        workflow::step_spec step;
        step.tasks = in_step.getTasks();
        step.size = {.milli_cpus = in_step.getMilliCpus(),
                     .memory_mb = in_step.getMemoryMb(),
                     .accelerators = in_step.getAccelerators()};
        step.estimate = milliseconds(in_step.getEstimateMs());
        for (const auto earlier : in_step.getAfter()) {
            step.after.push_back(earlier);
        }
        step.gang = in_step.getGang();
        step.same_rack = in_step.getSameRack();
        step.checkpoints = in_step.getCheckpoints();
        step.speculative = in_step.getSpeculative();
        step.label = in_step.getLabel().cStr();
        step.preferred_rack = in_step.getPreferredRack().cStr();
        step.max_per_worker = in_step.getMostPerWorker();
        job.steps.push_back(std::move(step));
    }
    return job;
}

void write(rpc::QueueTerms::Builder out, const workflow::queue_terms& terms)
{
    out.setVersion(terms.version);
    out.setService(terms.service);
    out.setPriority(terms.priority);
    out.setMostAttempts(terms.max_attempts);
    out.setStretch(terms.stretch);
    out.setTargetMs(terms.target.count());
    out.setNeedsPermission(terms.permission.has_value());
    if (terms.permission) {
        out.setDecisionMs(terms.permission->decision.count());
        out.setPerWorkerMs(terms.permission->per_worker.count());
        out.setValidityMs(terms.permission->validity.count());
    }
}

workflow::queue_terms read(const std::string& queue, rpc::QueueTerms::Reader in)
{
    workflow::queue_terms terms{.name = queue,
                                .version = in.getVersion(),
                                .service = in.getService().cStr(),
                                .priority = in.getPriority(),
                                .max_attempts = in.getMostAttempts(),
                                .stretch = in.getStretch(),
                                .target = milliseconds(in.getTargetMs()),
                                .permission = {}};
    if (in.getNeedsPermission()) {
        terms.permission =
            workflow::permission_terms{.decision = workflow::fractional_ms(in.getDecisionMs()),
                                       .per_worker = workflow::fractional_ms(in.getPerWorkerMs()),
                                       .validity = milliseconds(in.getValidityMs())};
    }
    return terms;
}

void write(rpc::OwnerAnswer::Builder out, const owner_answer& answer)
{
    out.setVerdict(to_string(answer.verdict));
    out.setReason(answer.reason);
    out.setRetryAfterMs(answer.retry_after.count());
    out.setPhase(answer.phase);
    out.setPending(answer.pending);
}

owner_answer read(rpc::OwnerAnswer::Reader in)
{
    return {.verdict = owner_verdict_from_string(in.getVerdict().cStr()),
            .reason = in.getReason().cStr(),
            .retry_after = milliseconds(in.getRetryAfterMs()),
            .phase = in.getPhase().cStr(),
            .pending = in.getPending()};
}

class coordinator_calls final : public rpc::Coordinator::Server {
public:
    explicit coordinator_calls(owner_service& service) : service_(service) {}

    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto params = context.getParams();
        const auto job = read(params.getJob());
        const auto terms = read(job.queue, params.getTerms());
        return answer(context, [&](auto reply) { service_.submit(job, terms, reply); });
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        const std::string job = context.getParams().getJob().cStr();
        return answer(context, [&](auto reply) { service_.cancel(job, reply); });
    }

    kj::Promise<void> find(FindContext context) override
    {
        const std::string job = context.getParams().getJob().cStr();
        return answer(context, [&](auto reply) { service_.find(job, reply); });
    }

    kj::Promise<void> countPending(CountPendingContext context) override
    {
        const std::string queue = context.getParams().getQueue().cStr();
        return answer(context, [&](auto reply) { service_.count_pending(queue, reply); });
    }

    kj::Promise<void> askPermission(AskPermissionContext context) override
    {
        const auto params = context.getParams();
        workflow::permission_request request;
        request.job = params.getJob().cStr();
        request.step = params.getStep();
        request.service_time = milliseconds(params.getServiceMs());
        for (const auto worker : params.getWorkers()) {
            request.workers.emplace_back(worker.cStr());
        }
        using result = std::optional<permission_answer>;
        return detail::promise_of<result>(
                   [&](auto reply) { service_.ask_permission(request, reply); })
            .then([context](result granted) mutable {
                auto results = context.getResults();
                results.setAnswered(granted.has_value());
                if (!granted) {
                    return;
                }
                auto grants = results.initGrants(static_cast<unsigned>(granted->grants.size()));
                for (unsigned index = 0; index < grants.size(); ++index) {
                    grants[index].setWorker(granted->grants[index].worker);
                    grants[index].setTicket(granted->grants[index].ticket);
                }
            });
    }

    kj::Promise<void> offerOwnership(OfferOwnershipContext context) override
    {
        const auto params = context.getParams();
        const ownership_offer offer{.epoch = params.getEpoch(), .is_leaving = params.getLeaving()};
        return detail::promise_of<bool>([&](auto reply) { service_.offer_ownership(offer, reply); })
            .then([context](bool accepted) mutable { context.getResults().setAccepted(accepted); });
    }

    kj::Promise<void> confirmOwnerGone(ConfirmOwnerGoneContext context) override
    {
        const auto epoch = context.getParams().getEpoch();
        return detail::promise_of<bool>(
                   [&](auto reply) { service_.confirm_owner_gone(epoch, reply); })
            .then([context](bool gone) mutable { context.getResults().setGone(gone); });
    }

    kj::Promise<void> stopOwner(StopOwnerContext context) override
    {
        const auto epoch = context.getParams().getEpoch();
        return detail::promise_of<stop_confirmation>(
                   [&](auto reply) { service_.stop_owner(epoch, reply); })
            .then([context](const stop_confirmation& confirmation) mutable {
                context.getResults().setStopped(confirmation.has_stopped);
                context.getResults().setRenewalsLeftMs(
                    time_left(confirmation.renewals_end).count());
            });
    }

    kj::Promise<void> lendWorkers(LendWorkersContext context) override
    {
        const auto params = context.getParams();
        const workflow::worker_request request{
            .shard = params.getShard(),
            .service = params.getService().cStr(),
            .workers = params.getWorkers(),
            .demand = {.total = params.getDemand(), .desired = params.getDesired()}};
        return detail::promise_of<std::size_t>(
                   [&](auto reply) { service_.lend_workers(request, reply); })
            .then([context](std::size_t lent) mutable {
                context.getResults().setWorkers(static_cast<std::uint32_t>(lent));
            });
    }

private:
    template <typename Context, typename Call>
    static kj::Promise<void> answer(Context context, Call&& call)
    {
        return detail::promise_of<owner_answer>(call).then([context](owner_answer result) mutable {
            write(context.getResults().initAnswer(), result);
        });
    }

    owner_service& service_;
};

} // namespace

const char* to_string(owner_verdict value)
{
    switch (value) {
    case owner_verdict::accepted:
        return "accepted";
    case owner_verdict::refused:
        return "refused";
    case owner_verdict::not_found:
        return "not_found";
    case owner_verdict::no_owner:
        return "no_owner";
    case owner_verdict::unknown:
        return "unknown";
    }
    return "unknown";
}

owner_verdict owner_verdict_from_string(const std::string& text)
{
    for (const auto verdict : all_verdicts) {
        if (text == to_string(verdict)) {
            return verdict;
        }
    }
    throw parse_error(128, "'" + text + "' is not a verdict");
}

class coordinator_client::impl : public detail::rpc_connections<rpc::Coordinator> {
public:
    /// Sends the request that `make_request` builds and returns the owner's answer.
    template <typename Make>
    owner_answer ask(const endpoint& owner, milliseconds timeout, const Make& make_request)
    {
        return call<owner_answer>(
            owner, timeout,
            [&](rpc::Coordinator::Client& client) {
                return make_request(client).send().then(
                    [](auto response) { return read(response.getAnswer()); });
            },
            true);
    }
};

coordinator_client::coordinator_client() : impl_(std::make_unique<impl>()) {}

coordinator_client::~coordinator_client() = default;

owner_answer coordinator_client::submit(const endpoint& owner, const workflow::job_spec& job,
                                        const workflow::queue_terms& terms, milliseconds timeout)
{
    return impl_->ask(owner, timeout, [&](rpc::Coordinator::Client& client) {
        auto message = client.submitRequest();
        write(message.initJob(), job);
        write(message.initTerms(), terms);
        return message;
    });
}

owner_answer coordinator_client::cancel(const endpoint& owner, const std::string& job,
                                        milliseconds timeout)
{
    return impl_->ask(owner, timeout, [&](rpc::Coordinator::Client& client) {
        auto message = client.cancelRequest();
        message.setJob(job);
        return message;
    });
}

owner_answer coordinator_client::find(const endpoint& owner, const std::string& job,
                                      milliseconds timeout)
{
    return impl_->ask(owner, timeout, [&](rpc::Coordinator::Client& client) {
        auto message = client.findRequest();
        message.setJob(job);
        return message;
    });
}

owner_answer coordinator_client::count_pending(const endpoint& owner, const std::string& queue,
                                               milliseconds timeout)
{
    return impl_->ask(owner, timeout, [&](rpc::Coordinator::Client& client) {
        auto message = client.countPendingRequest();
        message.setQueue(queue);
        return message;
    });
}

std::optional<permission_answer> coordinator_client::ask_permission(
    const endpoint& node, const workflow::permission_request& request, milliseconds timeout)
{
    using result = std::optional<permission_answer>;
    return impl_->call<result>(
        node, timeout,
        [&](rpc::Coordinator::Client& client) {
            auto message = client.askPermissionRequest();
            message.setJob(request.job);
            message.setStep(request.step);
            message.setServiceMs(request.service_time.count());
            auto workers = message.initWorkers(static_cast<unsigned>(request.workers.size()));
            for (unsigned index = 0; index < workers.size(); ++index) {
                workers.set(index, request.workers[index].c_str());
            }
            return message.send().then([](auto response) -> result {
                if (!response.getAnswered()) {
                    return std::nullopt;
                }
                permission_answer granted;
                for (const auto grant : response.getGrants()) {
                    granted.grants.push_back({grant.getWorker().cStr(), grant.getTicket().cStr()});
                }
                return granted;
            });
        },
        true);
}

bool coordinator_client::offer_ownership(const endpoint& node, const ownership_offer& offer,
                                         milliseconds timeout)
{
    return impl_->call<bool>(
        node, timeout,
        [&](rpc::Coordinator::Client& client) {
            auto message = client.offerOwnershipRequest();
            message.setEpoch(offer.epoch);
            message.setLeaving(offer.is_leaving);
            return message.send().then([](auto response) { return response.getAccepted(); });
        },
        true);
}

bool coordinator_client::confirms_owner_gone(const endpoint& node, std::uint64_t epoch,
                                             milliseconds timeout)
{
    return impl_->call<bool>(
        node, timeout,
        [&](rpc::Coordinator::Client& client) {
            auto message = client.confirmOwnerGoneRequest();
            message.setEpoch(epoch);
            return message.send().then([](auto response) { return response.getGone(); });
        },
        true);
}

stop_confirmation coordinator_client::stop_owner(const endpoint& node, std::uint64_t epoch,
                                                 milliseconds timeout)
{
    return impl_->call<stop_confirmation>(
        node, timeout,
        [&](rpc::Coordinator::Client& client) {
            auto message = client.stopOwnerRequest();
            message.setEpoch(epoch);
            return message.send().then([](auto response) {
                return stop_confirmation{.has_stopped = response.getStopped(),
                                         .renewals_end =
                                             end_after(milliseconds(response.getRenewalsLeftMs()))};
            });
        },
        true);
}

std::size_t coordinator_client::lend_workers(const endpoint& owner,
                                             const workflow::worker_request& request,
                                             milliseconds timeout)
{
    return impl_->call<std::size_t>(
        owner, timeout,
        [&](rpc::Coordinator::Client& client) {
            auto message = client.lendWorkersRequest();
            message.setShard(static_cast<std::uint32_t>(request.shard));
            message.setService(request.service);
            message.setWorkers(static_cast<std::uint32_t>(request.workers));
            message.setDemand(request.demand.total);
            message.setDesired(request.demand.desired);
            return message.send().then(
                [](auto response) -> std::size_t { return response.getWorkers(); });
        },
        true);
}

class coordinator_server::impl : public detail::rpc_listener {
public:
    impl(const endpoint& listen, owner_service& service)
        : detail::rpc_listener(listen, [&service]() -> capnp::Capability::Client {
              return kj::heap<coordinator_calls>(service);
          })
    {
    }
};

coordinator_server::coordinator_server(const endpoint& listen, owner_service& service)
    : impl_(std::make_unique<impl>(listen, service))
{
}

coordinator_server::~coordinator_server() = default;

} // namespace flamingoseam::node
