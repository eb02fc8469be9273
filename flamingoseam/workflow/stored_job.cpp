#include "flamingoseam/workflow/stored_job.hpp"

#include "flamingoseam/core/read_json.hpp"

namespace flamingoseam::workflow {

namespace {

using nlohmann::json;

// Positions of fields of a leased worker in its record. Records of earlier versions end before
// some of them.
constexpr std::size_t silence_field = 6; ///< Written by earlier versions; not 0 if withheld.
constexpr std::size_t token_base_field = 7;
constexpr std::size_t renewal_field = 8;
constexpr std::size_t quorum_field = 9;
constexpr std::int64_t no_silence = 0;

/// Parses a stored record.
template <typename Read> auto read_record(const std::string& text, const Read& read)
{
    return read_json(text, 126, "a stored record", read);
}

json size_to_json(const resources& size)
{
    return json::array({size.milli_cpus, size.memory_mb, size.accelerators});
}

resources size_from_json(const json& value)
{
    return {.milli_cpus = value.at(0).get<std::int64_t>(),
            .memory_mb = value.at(1).get<std::int64_t>(),
            .accelerators = value.at(2).get<std::int64_t>()};
}

json step_to_json(const step_spec& step)
{
    json value = {{"tasks", step.tasks},
                  {"size", size_to_json(step.size)},
                  {"estimate_ms", step.estimate.count()}};
    if (!step.after.empty()) {
        value["after"] = step.after;
    }
    if (step.gang) {
        value["gang"] = true;
    }
    if (step.same_rack) {
        value["same_rack"] = true;
    }
    if (step.checkpoints) {
        value["checkpoints"] = true;
    }
    if (step.speculative) {
        value["speculative"] = true;
    }
    if (!step.label.empty()) {
        value["label"] = step.label;
    }
    if (!step.preferred_rack.empty()) {
        value["preferred_rack"] = step.preferred_rack;
    }
    if (step.max_per_worker > 0) {
        value["most_per_worker"] = step.max_per_worker;
    }
    return value;
}

step_spec step_from_json(const json& value)
{
    step_spec step;
    step.tasks = static_cast<int>(
        read_integer(value, "tasks", {.min = 1, .max = job_limits().tasks_per_step}));
    step.size = size_from_json(value.at("size"));
    step.estimate = milliseconds(value.at("estimate_ms").get<std::int64_t>());
    step.after = value.value("after", std::vector<int>());
    step.gang = value.value("gang", false);
    step.same_rack = value.value("same_rack", false);
    step.checkpoints = value.value("checkpoints", false);
    step.speculative = value.value("speculative", false);
    step.label = value.value("label", "");
    step.preferred_rack = value.value("preferred_rack", "");
    step.max_per_worker = value.value("most_per_worker", 0);
    return step;
}

json terms_to_json(const queue_terms& terms)
{
    json value = {{"version", terms.version},   {"service", terms.service},
                  {"priority", terms.priority}, {"most_attempts", terms.max_attempts},
                  {"stretch", terms.stretch},   {"target_ms", terms.target.count()}};
    if (terms.permission) {
        value["permission"] = {{"decision_ms", terms.permission->decision.count()},
                               {"per_worker_ms", terms.permission->per_worker.count()},
                               {"validity_ms", terms.permission->validity.count()}};
    }
    return value;
}

queue_terms terms_from_json(const std::string& name, const json& value)
{
    queue_terms terms;
    terms.name = name;
    terms.version = value.value("version", std::int64_t{0}); // Missing in older records.
    terms.service = value.at("service").get<std::string>();
    terms.priority = value.at("priority").get<int>();
    terms.max_attempts = value.at("most_attempts").get<int>();
    terms.stretch = value.at("stretch").get<double>();
    terms.target = milliseconds(value.at("target_ms").get<std::int64_t>());
    if (value.contains("permission")) {
        const auto& permission = value.at("permission");
        terms.permission = permission_terms{
            .decision = fractional_ms(permission.at("decision_ms").get<double>()),
            .per_worker = fractional_ms(permission.at("per_worker_ms").get<double>()),
            .validity = milliseconds(permission.at("validity_ms").get<std::int64_t>())};
    }
    return terms;
}

/// Returns the tasks of one step: a text with a 1 for each finished task and a 0 for each other
/// task, the failed runs, the runs lost in crashes and the checkpoints of unfinished tasks.
json step_progress_to_json(const step_record& step)
{
    std::string done;
    json failures = json::array();
    json crashes = json::array();
    json checkpoints = json::array();
    for (std::size_t index = 0; index < step.tasks.size(); ++index) {
        const auto& task = step.tasks[index];
        done += task.phase == task_phase::done ? '1' : '0';
        if (!task.failed_runs.empty()) {
            failures.push_back({index, task.failed_runs});
        }
        if (!task.crashed_runs.empty()) {
            crashes.push_back({index, task.crashed_runs});
        }
        if (!task.checkpoint.empty() && task.phase != task_phase::done) {
            checkpoints.push_back({index, task.checkpoint});
        }
    }
    json value = {{"done", done}};
    if (!failures.empty()) {
        value["failed_runs"] = failures;
    }
    if (!crashes.empty()) {
        value["crashed_runs"] = crashes;
    }
    if (!checkpoints.empty()) {
        value["checkpoints"] = checkpoints;
    }
    if (!step.gang_failed_runs.empty()) {
        value["gang_failed_runs"] = step.gang_failed_runs;
    }
    return value;
}

void read_step_progress(const json& value, step_record& step)
{
    const auto done = value.at("done").get<std::string>();
    for (std::size_t index = 0; index < done.size() && index < step.tasks.size(); ++index) {
        if (done[index] == '1') {
            step.tasks[index].phase = task_phase::done;
            ++step.done;
            --step.unlocated;
        }
    }
    const integer_bounds index_bounds{0, static_cast<std::int64_t>(step.tasks.size()) - 1};
    const auto task_of = [&](const json& entry) -> task_record& {
        const auto index = to_integer(entry.at(0), "the index of a task", index_bounds);
        return step.tasks[static_cast<std::size_t>(index)];
    };
    for (const auto& entry : read_array(value, "failed_runs")) {
        task_of(entry).failed_runs = entry.at(1).get<std::vector<std::int64_t>>();
    }
    for (const auto& entry : read_array(value, "crashed_runs")) {
        task_of(entry).crashed_runs = entry.at(1).get<std::vector<std::int64_t>>();
    }
    for (const auto& entry : read_array(value, "checkpoints")) {
        task_of(entry).checkpoint = entry.at(1).get<std::string>();
    }
    step.gang_failed_runs = value.value("gang_failed_runs", std::vector<std::int64_t>());
}

} // namespace

std::string write_specification(const job_record& job)
{
    json steps = json::array();
    for (const auto& step : job.spec.steps) {
        steps.push_back(step_to_json(step));
    }
    return json{{"queue", job.spec.queue},
                {"terms", terms_to_json(job.terms)},
                {"accepted_ms", job.accepted.count()},
                {"payload", job.spec.payload},
                {"steps", steps}}
        .dump();
}

job_record read_specification(const std::string& text)
{
    return read_record(text, [](const json& value) {
        job_record job;
        job.spec.queue = value.at("queue").get<std::string>();
        job.terms = terms_from_json(job.spec.queue, value.at("terms"));
        job.accepted = wall_time(value.at("accepted_ms").get<std::int64_t>());
        job.spec.payload = value.at("payload").get<std::string>();
        for (const auto& step : value.at("steps")) {
            job.spec.steps.push_back(step_from_json(step));
        }
        check_predecessors(job.spec);
        job.spec_stored = true;
        fill_steps(job, task_phase::unlocated);
        return job;
    });
}

std::string write_progress(const job_record& job)
{
    json value = {{"phase", to_string(job.phase)}};
    if (is_final(job.phase)) {
        value["queue"] = job.spec.queue;
        value["ended_ms"] = job.ended.count();
        return value.dump();
    }
    json steps = json::array();
    for (const auto& step : job.steps) {
        steps.push_back(step_progress_to_json(step));
    }
    value["steps"] = steps;
    value["has_begun"] = job.has_begun;
    return value.dump();
}

void read_progress(const std::string& text, job_record& job)
{
    read_record(text, [&job](const json& value) {
        job.phase = job_phase_from_string(value.at("phase").get<std::string>());
        job.has_begun = value.value("has_begun", false);
        if (is_final(job.phase)) {
            job.ended = wall_time(value.at("ended_ms").get<std::int64_t>());
            return 0;
        }
        const auto& steps = value.at("steps");
        for (std::size_t index = 0; index < steps.size() && index < job.steps.size(); ++index) {
            read_step_progress(steps.at(index), job.steps[index]);
        }
        return 0;
    });
}

job_record read_final_progress(const std::string& id, const std::string& text)
{
    return read_record(text, [&id](const json& value) {
        job_record job;
        job.spec.id = id;
        job.spec.queue = value.value("queue", "");
        job.phase = job_phase_from_string(value.at("phase").get<std::string>());
        job.ended = wall_time(value.value("ended_ms", std::int64_t{0}));
        job.has_begun = true;
        return job;
    });
}

namespace {

/// Reads one job from its records, of which either may be null.
job_record read_job(const std::string& id, const std::string* specification,
                    const std::string* progress)
{
    if (specification == nullptr) {
        return read_final_progress(id, *progress);
    }
    auto job = read_specification(*specification);
    job.spec.id = id;
    if (progress != nullptr) {
        read_progress(*progress, job);
    }
    return job;
}

} // namespace

stored_jobs read_jobs(const std::map<std::string, std::string>& specifications,
                      const std::map<std::string, std::string>& progress_records)
{
    stored_jobs result;
    const auto read = [&result](const std::string& id, const std::string* specification,
                                const std::string* progress) {
        try {
            result.jobs.push_back(read_job(id, specification, progress));
        } catch (const parse_error& cause) {
            result.unreadable.push_back({id, cause.what()});
        }
    };
    for (const auto& [id, text] : specifications) {
        const auto progress = progress_records.find(id);
        read(id, &text, progress == progress_records.end() ? nullptr : &progress->second);
    }
    for (const auto& [id, text] : progress_records) {
        if (!specifications.contains(id)) {
            read(id, nullptr, &text);
        }
    }
    return result;
}

namespace {

/// Returns what a stored leased worker says of its lease. Earlier versions of this program wrote a
/// time of day instead.
lease_renewal read_renewal(const json& fields)
{
    if (fields.size() <= renewal_field) {
        const auto silent_since = fields.at(silence_field).get<std::int64_t>();
        return silent_since == no_silence ? lease_renewal::renewed : lease_renewal::withheld;
    }
    const auto renewal = fields.at(renewal_field).get<int>();
    if (renewal == static_cast<int>(lease_renewal::renewed)) {
        return lease_renewal::renewed;
    }
    return renewal == static_cast<int>(lease_renewal::expired) ? lease_renewal::expired
                                                               : lease_renewal::withheld;
}

} // namespace

std::string write_leased_workers(const std::vector<worker_entry>& workers)
{
    json entries = json::array();
    for (const auto& worker : workers) {
        entries.push_back({worker.id, worker.incarnation, worker.address.address,
                           worker.address.port, worker.service, worker.zone, no_silence,
                           worker.token_base, static_cast<int>(worker.renewal),
                           worker.in_quorum ? 1 : 0});
    }
    return entries.dump();
}

std::vector<worker_entry> read_leased_workers(const std::string& text)
{
    return read_record(text, [](const json& entries) {
        std::vector<worker_entry> workers;
        for (const auto& fields : entries) {
            worker_entry worker;
            worker.id = fields.at(0).get<std::string>();
            worker.incarnation = fields.at(1).get<std::int64_t>();
            worker.address = {fields.at(2).get<std::string>(), fields.at(3).get<unsigned short>()};
            worker.service = fields.at(4).get<std::string>();
            worker.zone = fields.at(5).get<std::string>();
            worker.renewal = read_renewal(fields);
            worker.in_quorum = fields.size() > quorum_field
                                   ? fields.at(quorum_field).get<int>() != 0
                                   : worker.renewal != lease_renewal::expired;
            worker.token_base = fields.size() > token_base_field
                                    ? fields.at(token_base_field).get<std::uint64_t>()
                                    : 0;
            worker.leaving = true;
            workers.push_back(std::move(worker));
        }
        return workers;
    });
}

} // namespace flamingoseam::workflow
