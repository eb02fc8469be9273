#include "flamingoseam/scheduler/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <ctime>

namespace flamingoseam {

namespace {

const prometheus::Histogram::BucketBoundaries wait_buckets_seconds = {
    0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10, 60, 600, 3600};

double fraction(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0.0;
}

} // namespace

scheduler_metrics::scheduler_metrics() : registry_(std::make_shared<prometheus::Registry>())
{
    auto& waits = prometheus::BuildHistogram()
                      .Name("flamingoseam_wait_seconds")
                      .Help("Time from acceptance to the start of a task")
                      .Register(*registry_);
    for (const auto cls :
         {work_class::call, work_class::service, work_class::gang, work_class::batch}) {
        wait_histograms_.at(static_cast<std::size_t>(cls)) =
            &waits.Add({{"class", std::string(to_string(cls))}}, wait_buckets_seconds);
    }
    auto& outcomes = prometheus::BuildCounter()
                         .Name("flamingoseam_outcomes_total")
                         .Help("Outcomes returned to callers, by verdict")
                         .Register(*registry_);
    for (const auto value : {verdict::not_run, verdict::ran, verdict::may_have_run}) {
        outcome_counters_.at(static_cast<std::size_t>(value)) =
            &outcomes.Add({{"verdict", std::string(to_string(value))}});
    }
    auto& reserved_share = prometheus::BuildGauge()
                               .Name("flamingoseam_reserved_share")
                               .Help("Reserved share of the capacity of workers in owned shards")
                               .Register(*registry_);
    const std::array<const char*, 4> fields = {"processors", "memory", "accelerators", "slots"};
    for (std::size_t i = 0; i < fields.size(); ++i) {
        reserved_share_.at(i) = &reserved_share.Add({{"resource", fields.at(i)}});
    }
    processor_seconds_ = &prometheus::BuildGauge()
                              .Name("flamingoseam_control_processor_seconds")
                              .Help("Processor time used by this process")
                              .Register(*registry_)
                              .Add({});
    owned_shards_ = &prometheus::BuildGauge()
                         .Name("flamingoseam_owned_shards")
                         .Help("Shards that this process owns")
                         .Register(*registry_)
                         .Add({});
    journal_writes_ = &prometheus::BuildCounter()
                           .Name("flamingoseam_journal_writes_total")
                           .Help("Writes of journal records to the configuration store")
                           .Register(*registry_)
                           .Add({});
}

void scheduler_metrics::observe_wait(work_class cls, milliseconds wait)
{
    wait_histograms_.at(static_cast<std::size_t>(cls))
        ->Observe(static_cast<double>(wait.count()) / 1000.0);
}

void scheduler_metrics::observe_outcome(const outcome& result)
{
    outcome_counters_.at(static_cast<std::size_t>(result.kind))->Increment();
}

void scheduler_metrics::set_reserved_share(const resources& reserved, const resources& capacity)
{
    reserved_share_[0]->Set(fraction(reserved.milli_cpus, capacity.milli_cpus));
    reserved_share_[1]->Set(fraction(reserved.memory_mb, capacity.memory_mb));
    reserved_share_[2]->Set(fraction(reserved.accelerators, capacity.accelerators));
    reserved_share_[3]->Set(fraction(reserved.slots, capacity.slots));
}

void scheduler_metrics::set_processor_seconds()
{
    processor_seconds_->Set(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

std::string scheduler_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

} // namespace flamingoseam
