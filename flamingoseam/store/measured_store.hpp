#pragma once

#include "flamingoseam/store/shared_store.hpp"

#include <functional>
#include <string>

namespace flamingoseam {

/// Called after each call to a store with the name of the call, whether the store answered it, and
/// its duration.
using store_observer =
    std::function<void(const std::string& call, bool answered, milliseconds duration)>;

/// Returns a factory whose stores report each call to `observer`. Watches are not reported, because
/// their duration is mostly the time spent waiting for changes.
shared_store_factory measure_stores(shared_store_factory factory, store_observer observer);

} // namespace flamingoseam
