#include "flamingoseam/shard/explain.hpp"
#include "flamingoseam/shard/shard_state.hpp"

#include <algorithm>
#include <iterator>

namespace flamingoseam {

void shard_state::load_journal(const journal_record& journal, time_point time)
{
    for (const auto& entry : journal.leased_workers) {
        leased_workers_[entry.address] = entry.capacity;
        on_vm_list({{.address = entry.address, .zone = {}, .rack = {}}}, time);
    }
    for (const auto& job : journal.jobs) {
        auto& record = make_record(job.request, time, job.submitted);
        record.content_hash = job.content_hash;
        record.waiting.clear();
        record.opened = job.opened;
        record.opening = job.opened;
        record.cancelled = job.cancelled;
        record.unfinished = 0;
        for (std::size_t i = 0; i < record.tasks.size() && i < job.phases.size(); ++i) {
            auto phase = static_cast<task_phase>(job.phases[i]);
            if (phase == task_phase::waiting && static_cast<int>(i) < job.opened) {
                phase = task_phase::started;
            }
            record.tasks[i].checkpointed = phase == task_phase::checkpointed;
            phase = phase == task_phase::checkpointed ? task_phase::waiting : phase;
            record.tasks[i].attempt = record.tasks[i].checkpointed ? 1 : 0;
            record.tasks[i].phase = phase;
            if (phase == task_phase::waiting) {
                record.waiting.push_back(static_cast<int>(i));
            }
            record.unfinished += phase == task_phase::waiting || phase == task_phase::started;
        }
        if (record.unfinished == 0) {
            finish_request(record, time);
            record.ended_wall = job.ended;
        }
        enqueue(record);
    }
}

void shard_state::request_journal_write(pending_write write)
{
    pending_writes_.push_back(std::move(write));
    actions_.journal = true;
}

journal_record shard_state::make_journal(wall_time wall)
{
    journal_record journal{.epoch = options_.epoch,
                           .sequence = ++journal_sequence_,
                           .owner = options_.owner,
                           .jobs = {},
                           .shares = shares_,
                           .leased_workers = {}};
    journal_bytes_ = 0;
    for (auto it = requests_.begin(); it != requests_.end();) {
        auto& record = *it->second;
        if (!is_job(record)) {
            ++it;
            continue;
        }
        if (record.ended && record.ended_wall.count() == 0) {
            record.ended_wall = wall;
        }
        if (record.ended && record.ended_wall + options_.job_retention < wall) {
            it = requests_.erase(it);
            continue;
        }
        journal_job job{.request = record.request,
                        .content_hash = record.content_hash,
                        .opened = std::max(record.opened, record.opening),
                        .phases = {},
                        .submitted = record.submitted_wall,
                        .ended = record.ended_wall,
                        .cancelled = record.cancelled};
        for (const auto& slot : record.tasks) {
            const bool resumes = slot.resume_sequence != 0;
            const auto phase =
                slot.checkpointed && !resumes ? task_phase::checkpointed : slot.phase;
            job.phases += static_cast<char>(phase);
        }
        if (record.ended) {
            job.request.payload.clear();
        }
        journal_bytes_ += estimate_journal_bytes(job.request);
        journal.jobs.push_back(std::move(job));
        ++it;
    }
    for (const auto& worker : pool_.workers()) {
        if (worker.status != worker_status::lost && !(worker.capacity == resources())) {
            journal.leased_workers.push_back(
                {.address = worker.address, .capacity = worker.capacity});
        }
    }
    return journal;
}

void shard_state::on_journal_written(std::uint64_t sequence, time_point time)
{
    const auto first_done = std::stable_partition(
        pending_writes_.begin(), pending_writes_.end(),
        [sequence](const pending_write& write) { return write.sequence > sequence; });
    std::vector<pending_write> done(std::make_move_iterator(first_done),
                                    std::make_move_iterator(pending_writes_.end()));
    pending_writes_.erase(first_done, pending_writes_.end());
    for (const auto& write : done) {
        if (write.kind == pending_write::write_kind::answer) {
            answer(write.token, write.result);
            continue;
        }
        const auto found = requests_.find(write.key);
        if (found == requests_.end()) {
            continue;
        }
        auto& record = *found->second;
        if (write.kind == pending_write::write_kind::open) {
            record.opened = std::max(record.opened, record.opening);
            resume_checkpointed(record, sequence);
            continue;
        }
        record.accepted = true;
        answer_all(record, {.kind = verdict::may_have_run,
                            .reason = "accepted",
                            .detail = "the job is in the journal"});
        if (!record.ended) {
            enqueue(record);
        }
    }
    schedule(time);
}

void shard_state::resume_checkpointed(request_record& record, std::uint64_t sequence)
{
    for (auto& slot : record.tasks) {
        if (slot.resume_sequence != 0 && slot.resume_sequence <= sequence) {
            slot.checkpointed = false;
            slot.resume_sequence = 0;
        }
    }
}

} // namespace flamingoseam
