/// Example of the library without daemons: places one call, given one contract and one worker.
#include "flamingoseam/shard/shard_state.hpp"

#include <iostream>

int main()
{
    using namespace flamingoseam;
    const resources worker{.milli_cpus = 16'000, .memory_mb = 32'000, .slots = 8};

    contract terms;
    terms.customer = "galerija-portfelj";
    terms.version = 1;
    terms.guaranteed = worker;
    terms.ceiling = worker;
    terms.longest_wait.fill(std::chrono::seconds(1));
    contract_table contracts;
    contracts.apply({.value = terms, .revision = 1});

    journal_record journal;
    journal.shares = share_ledger(whole_share);
    const auto time = now();
    shard_state shard({.shard = "koper-1"}, contracts, journal, time);
    shard.on_vm_list({{.address = "10.0.0.7:7300", .zone = "koper", .rack = "rack1"}}, time);
    shard.on_report("10.0.0.7:7300", {.accepted = true, .incarnation = "1", .capacity = worker},
                    time);

    work_request request;
    request.customer = terms.customer;
    request.request_id = "e-1";
    request.size = {.milli_cpus = 1000, .memory_mb = 1000, .slots = 1};
    shard.submit(1, request, time, wall_now());
    for (const auto& start : shard.take_actions().starts) {
        std::cout << start.task.task_id << " on " << start.worker << '\n';
    }
}
