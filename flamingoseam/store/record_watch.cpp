#include "flamingoseam/store/record_watch.hpp"

#include "flamingoseam/core/error.hpp"
#include "flamingoseam/core/service_thread.hpp"

#include <utility>

namespace flamingoseam {

namespace {

/// An answer that takes this much longer than the wait was delayed or followed a lost call.
constexpr milliseconds late_answer_margin{100};

std::int64_t whole_ms(time_point::duration length)
{
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace

record_watch::record_watch(record_watch_options options, std::unique_ptr<shared_store> store)
    : options_(std::move(options)), store_(std::move(store))
{
}

record_update record_watch::next()
{
    const auto asked = now();
    try {
        auto update = revision_ == 0 ? read_all() : wait_for_changes();
        record_answer(asked);
        return update;
    } catch (const transport_error& cause) {
        record_failure(cause.what(), asked);
        throw;
    } catch (...) {
        read_again(); // The answer may be lost, and the store does not repeat it.
        record_failure(describe_current_exception(), asked);
        throw;
    }
}

record_update record_watch::read_all()
{
    const bool is_first = confirmed_at_ == time_point{};
    std::uint64_t revision = 0;
    record_update update{.is_complete = true,
                         .records = list_all(*store_, options_.prefix, revision)};
    report("records_read", is_first ? "first reading" : "read again",
           {{"records", static_cast<std::int64_t>(update.records.size())},
            {"revision", static_cast<std::int64_t>(revision)},
            age_field()});
    revision_ = revision;
    return update;
}

record_update record_watch::wait_for_changes()
{
    auto changes = store_->watch(options_.prefix, revision_, options_.times);
    if (changes.history_lost) {
        report("watch_history_lost", "",
               {{"revision", static_cast<std::int64_t>(revision_)}, age_field()});
        revision_ = 0;
        return read_all();
    }
    revision_ = changes.revision;
    return {.is_complete = false, .records = std::move(changes.records)};
}

void record_watch::record_answer(time_point asked)
{
    const auto answered = now();
    if (failures_ > 0) {
        report("watch_answers", "",
               {{"failures", static_cast<std::int64_t>(failures_)}, age_field()});
        failures_ = 0;
    }
    if (answered - asked > options_.times.wait + late_answer_margin) {
        report("watch_answer_late", "",
               {{"took_ms", whole_ms(answered - asked)}, {"wait_ms", options_.times.wait.count()}});
    }
    confirmed_at_ = answered;
    asked_at_ = asked;
}

void record_watch::record_failure(const std::string& cause, time_point asked)
{
    if (failures_++ == 0) {
        report("watch_failed", cause, {{"took_ms", whole_ms(now() - asked)}, age_field()});
    }
}

void record_watch::report(const std::string& event, const std::string& detail,
                          std::vector<log_field> fields) const
{
    if (options_.report) {
        options_.report({.event = event,
                         .request = {},
                         .detail = options_.name + (detail.empty() ? "" : ": " + detail),
                         .fields = std::move(fields)});
    }
}

/// Returns how long ago the records were last known to be complete, in milliseconds, -1 if never.
log_field record_watch::age_field() const
{
    const bool is_known = confirmed_at_ != time_point{};
    return {"unconfirmed_ms", is_known ? whole_ms(now() - confirmed_at_) : -1};
}

} // namespace flamingoseam
