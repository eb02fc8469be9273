#include "flamingoseam/workflow/queue_catalog.hpp"

namespace flamingoseam::workflow {

bool queue_catalog::replace(const queue_configuration& configuration)
{
    if (configuration.version <= version_) {
        return false;
    }
    version_ = configuration.version;
    queues_.clear();
    for (const auto& terms : configuration.queues) {
        queues_.insert_or_assign(terms.name, terms);
    }
    return true;
}

const queue_terms* queue_catalog::find(const std::string& queue) const
{
    const auto found = queues_.find(queue);
    return found == queues_.end() ? nullptr : &found->second;
}

queue_terms queue_catalog::newest(const queue_terms& terms) const
{
    const auto* known = find(terms.name);
    return known != nullptr && known->version > terms.version ? *known : terms;
}

} // namespace flamingoseam::workflow
