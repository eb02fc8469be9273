#pragma once

#include "flamingoseam/store/shared_store.hpp"

#include <functional>
#include <string>

namespace flamingoseam {

/// Hears of each call to a store: its name, whether it was answered, and how long it took.
using store_observer =
    std::function<void(const std::string& call, bool answered, milliseconds length)>;

/// Returns a factory whose stores report each call. Watches are not reported, since they wait.
shared_store_factory measure_stores(shared_store_factory stores, store_observer observer);

} // namespace flamingoseam
