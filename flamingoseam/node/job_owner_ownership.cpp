#include "flamingoseam/node/job_owner.hpp"

#include "flamingoseam/core/error.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace flamingoseam::node {

namespace {

/// Age of the newest proof from which the owner reads its head record. An owner with work to do
/// commits more often, which gives proofs at no further cost.
constexpr milliseconds max_age_without_read{1'000};
constexpr milliseconds proof_check_interval{250};
constexpr milliseconds proof_retry_delay{100};

} // namespace

bool job_owner::is_certain() const
{
    return proof_.is_recent(boot_now()) && dependencies_.is_certain();
}

/// Gets proofs of the ownership while the commit streams write nothing.
void job_owner::prove_ownership()
{
    std::unique_ptr<shared_store> store;
    while (!ending_ && !acts_no_more_) {
        const auto left = max_age_without_read - proof_.age(boot_now());
        if (left > milliseconds(0)) {
            std::this_thread::sleep_for(std::min(left, proof_check_interval));
            continue;
        }
        const bool has_read = run_guarded("the reading of the owner's head record", [&] {
            if (!store) {
                store = dependencies_.stores();
            }
            read_own_head(*store);
        });
        if (!has_read) {
            store.reset();
        }
        std::this_thread::sleep_for(proof_retry_delay);
    }
}

/// Reads a head record, which every claim of another owner replaces.
void job_owner::read_own_head(shared_store& store)
{
    const auto sent = boot_now();
    std::optional<shared_record> record;
    try {
        record = store.get(dependencies_.head_keys.front());
    } catch (const transport_error& cause) {
        LOG_EVERY_N(WARNING, 20) << "the store did not answer the reading of a head record: "
                                 << cause.what();
        return;
    }
    if (record && read_head(record->value).epoch == epoch_) {
        proof_.record(sent, proof_source::read);
    } else {
        report_superseded();
    }
}

void job_owner::confirm_earlier_stopped(std::optional<time_point> renewals_end)
{
    post_decision([this, renewals_end] {
        earlier_stopped_ = true;
        confirmed_renewals_end_ =
            std::min(confirmed_renewals_end_, renewals_end.value_or(time_point::max()));
    });
}

stop_confirmation job_owner::confirm_stop() const
{
    const bool has_stopped = acts_no_more_ || ending_;
    const auto renewals_end = earlier_renewals_end_.load();
    return {.has_stopped = has_stopped && earlier_ended_,
            .renewals_end =
                renewals_end == time_point::max() ? std::nullopt : std::optional(renewals_end)};
}

/// Lets the tasks that an earlier owner knew be started once that owner starts none any more.
void job_owner::update_earlier_owner(time_point time)
{
    if (earlier_ended_ || (!earlier_stopped_ && time < earlier_starts_end_)) {
        return;
    }
    earlier_ended_ = true;
    state_.on_earlier_owner_ended(std::min(time, earlier_starts_end_));
    const auto waited =
        std::chrono::ceil<milliseconds>(time - earlier_starts_end_) + earlier_certainty_;
    dependencies_.log->write(
        {.event = "earlier_owner_ended",
         .request = {},
         .detail = "epoch " + std::to_string(epoch_) +
                   (earlier_stopped_ ? ", it has said so" : ", its last proof is too old"),
         .fields = {{"waited_ms", waited.count()}}});
}

} // namespace flamingoseam::node
