#include "flamingoseam/workflow/service_places.hpp"

#include "flamingoseam/workflow/placing.hpp"

namespace flamingoseam::workflow {

service_places::service_places(const fleet& workers, time_point time) : fleet_(workers)
{
    for (std::size_t worker = 0; worker < workers.size(); ++worker) {
        const auto& state = workers.at(worker);
        if (state.is_usable(time)) {
            usable_[state.entry.service].push_back(worker);
        }
    }
}

bool service_places::has_workers(const std::string& service) const
{
    return usable_.contains(service);
}

int service_places::count(const std::string& service, const step_spec& step)
{
    const auto& size = step.size;
    const task_kind kind(service, step.label, size.milli_cpus, size.memory_mb, size.accelerators,
                         step.max_per_worker);
    const auto known = counts_.find(kind);
    if (known != counts_.end()) {
        return known->second;
    }
    const int counted = count_anew(service, step);
    counts_.emplace(kind, counted);
    return counted;
}

int service_places::count_anew(const std::string& service, const step_spec& step) const
{
    const auto found = usable_.find(service);
    if (found == usable_.end()) {
        return 0;
    }
    int places = 0;
    for (const auto worker : found->second) {
        const auto& entry = fleet_.at(worker).entry;
        if (has_label(entry, step.label)) {
            places += detail::fits_in(step, entry.capacity);
        }
    }
    return places;
}

} // namespace flamingoseam::workflow
