#include "flamingoseam/shard/explain.hpp"
#include "flamingoseam/shard/shard_state.hpp"

namespace flamingoseam {

std::optional<request_view> shard_state::find(const std::string& customer,
                                              const std::string& request_id) const
{
    const auto found = requests_.find(key_of(customer, request_id));
    if (found == requests_.end()) {
        return std::nullopt;
    }
    const auto& record = *found->second;
    request_view view{.request_id = request_id,
                      .cls = std::string(to_string(record.request.cls)),
                      .state = {},
                      .held_by = {},
                      .held_text = {},
                      .tasks = {},
                      .result = record.result};
    for (const auto& slot : record.tasks) {
        ++view.tasks[std::string(1, static_cast<char>(slot.phase))];
    }
    if (record.ended) {
        view.state = "ended";
    } else if (!record.accepted) {
        view.state = "accepting";
    } else if (!record.waiting.empty()) {
        view.state = "waiting";
        view.held_by = record.held_by;
        if (const auto* terms = terms_of(record)) {
            view.held_text = explain_held_by(record.held_by, *terms, usage_of(customer).total,
                                             share_limit(*terms));
        }
    } else {
        view.state = "running";
    }
    return view;
}

std::vector<worker_view> shard_state::worker_views() const
{
    std::vector<worker_view> views;
    for (const auto& worker : pool_.workers()) {
        views.push_back({.address = worker.address,
                         .zone = worker.zone,
                         .rack = worker.rack,
                         .status = to_string(worker.status),
                         .capacity = worker.capacity,
                         .reserved = worker.reserved});
    }
    return views;
}

void operator<<=(cxxtools::SerializationInfo& info, const worker_view& value)
{
    info.addMember("address") <<= value.address;
    info.addMember("zone") <<= value.zone;
    info.addMember("rack") <<= value.rack;
    info.addMember("status") <<= value.status;
    info.addMember("capacity") <<= value.capacity;
    info.addMember("reserved") <<= value.reserved;
}

void operator>>=(const cxxtools::SerializationInfo& info, worker_view& value)
{
    info.getMember("address") >>= value.address;
    info.getMember("zone") >>= value.zone;
    info.getMember("rack") >>= value.rack;
    info.getMember("status") >>= value.status;
    info.getMember("capacity") >>= value.capacity;
    info.getMember("reserved") >>= value.reserved;
}

void operator<<=(cxxtools::SerializationInfo& info, const request_view& value)
{
    info.addMember("request_id") <<= value.request_id;
    info.addMember("class") <<= value.cls;
    info.addMember("state") <<= value.state;
    info.addMember("held_by") <<= value.held_by;
    info.addMember("held_text") <<= value.held_text;
    auto& tasks = info.addMember("tasks");
    tasks.setCategory(cxxtools::SerializationInfo::Object);
    for (const auto& [phase, count] : value.tasks) {
        tasks.addMember(phase) <<= count;
    }
    info.addMember("result") <<= value.result;
}

void operator>>=(const cxxtools::SerializationInfo& info, request_view& value)
{
    info.getMember("request_id") >>= value.request_id;
    info.getMember("class") >>= value.cls;
    info.getMember("state") >>= value.state;
    info.getMember("held_by", value.held_by);
    info.getMember("held_text", value.held_text);
    const auto& tasks = info.getMember("tasks");
    for (std::size_t i = 0; i < tasks.memberCount(); ++i) {
        const auto& member = tasks.getMember(static_cast<unsigned>(i));
        member >>= value.tasks[member.name()];
    }
    info.getMember("result", value.result);
}

} // namespace flamingoseam
