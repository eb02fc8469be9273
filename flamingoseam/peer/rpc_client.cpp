#include "flamingoseam/peer/rpc_client.hpp"

#include "flamingoseam/peer/rpc_connections.hpp"
#include "flamingoseam/peer/rpc_convert.hpp"

namespace flamingoseam {

class rpc_client::impl : public detail::rpc_connections<rpc::Scheduler> {};

rpc_client::rpc_client() : impl_(std::make_unique<impl>()) {}

rpc_client::~rpc_client() = default;

outcome rpc_client::submit(const endpoint& scheduler, const std::string& shard,
                           const work_request& request, milliseconds timeout)
{
    return impl_->call<outcome>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.submitRequest();
            auto out = message.initRequest();
            detail::write(out, request);
            out.setShard(shard);
            return message.send().then(
                [](auto response) { return detail::read(response.getOutcome()); });
        },
        false);
}

std::optional<std::string> rpc_client::find_job(const endpoint& scheduler, const std::string& shard,
                                                const std::string& customer,
                                                const std::string& request_id, milliseconds timeout)
{
    return impl_->call<std::optional<std::string>>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.jobRequest();
            message.setShard(shard);
            message.setCustomer(customer);
            message.setRequestId(request_id);
            return message.send().then([](auto response) -> std::optional<std::string> {
                if (!response.getFound()) {
                    return std::nullopt;
                }
                return std::string(response.getJson().cStr());
            });
        },
        false);
}

outcome rpc_client::cancel(const endpoint& scheduler, const std::string& shard,
                           const std::string& customer, const std::string& request_id,
                           milliseconds timeout)
{
    return impl_->call<outcome>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.cancelRequest();
            message.setShard(shard);
            message.setCustomer(customer);
            message.setRequestId(request_id);
            return message.send().then(
                [](auto response) { return detail::read(response.getOutcome()); });
        },
        false);
}

exchange_message rpc_client::exchange(const endpoint& scheduler, const exchange_message& request,
                                      milliseconds timeout)
{
    return impl_->call<exchange_message>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.exchangeRequest();
            message.setRevision(request.revision);
            detail::write_list(
                message.initContracts(static_cast<unsigned>(request.contracts.size())),
                request.contracts);
            return message.send().then([](auto response) {
                return exchange_message{
                    .revision = response.getRevision(),
                    .contracts = detail::read_list<contract_record>(response.getContracts()),
                    .shards = detail::read_list<shard_entry>(response.getShards())};
            });
        },
        true);
}

std::int64_t rpc_client::request_share(const endpoint& scheduler, const share_transfer& request,
                                       milliseconds timeout)
{
    return impl_->call<std::int64_t>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.requestShareRequest();
            detail::write(message.initGrant(), request);
            return message.send().then([](auto response) { return response.getGiven(); });
        },
        false);
}

bool rpc_client::offer_share(const endpoint& scheduler, const share_transfer& grant,
                             milliseconds timeout)
{
    return impl_->call<bool>(
        scheduler, timeout,
        [&](rpc::Scheduler::Client& client) {
            auto message = client.offerShareRequest();
            detail::write(message.initGrant(), grant);
            return message.send().then([](auto response) { return response.getConfirmed(); });
        },
        false);
}

} // namespace flamingoseam
