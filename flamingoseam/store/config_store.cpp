#include "flamingoseam/store/config_store.hpp"

#include "flamingoseam/core/error.hpp"

#include <thread>

namespace flamingoseam {

namespace {

constexpr milliseconds retry_delay{50};

} // namespace

update_state update_record(config_store& store, const std::string& key, const record_change& change,
                           time_point deadline)
{
    bool may_have_written = false;
    while (true) {
        try {
            const auto current = store.get(key);
            const auto value = change(current);
            if (!value) {
                return may_have_written ? update_state::written : update_state::unchanged;
            }
            const auto expected = current ? current->version : 0;
            may_have_written = true;
            if (store
                    .compare_and_swap(
                        {.key = key, .value = *value, .expected_version = expected, .lease = {}})
                    .swapped) {
                return update_state::written;
            }
            may_have_written = false;
        } catch (const transport_error&) {
            if (now() >= deadline) {
                return update_state::unknown;
            }
            std::this_thread::sleep_for(retry_delay);
        }
        if (now() >= deadline) {
            return update_state::unknown;
        }
    }
}

} // namespace flamingoseam
