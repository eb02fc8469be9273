#pragma once

namespace flamingoseam {

/// Names the calling thread after its duty, for logs. `name` must have static storage duration, as
/// a string literal has.
void set_thread_name(const char* name) noexcept;

/// Returns the name of the calling thread, "main" if it has none. May be called by a signal
/// handler.
const char* thread_name() noexcept;

} // namespace flamingoseam
