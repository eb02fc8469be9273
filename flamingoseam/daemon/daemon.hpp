#pragma once

#include <csignal>
#include <functional>

namespace flamingoseam {

/// Blocks SIGTERM and SIGINT in the calling thread and in all that it starts, and ignores SIGPIPE.
/// Returns the blocked signals for wait_for_end().
sigset_t block_end_signals();

/// Waits for SIGTERM or SIGINT.
void wait_for_end(const sigset_t& signals);

/// Runs a daemon's main function: logging, libsodium, and errors as one line on standard error.
/// Returns the exit code: 0 after an orderly end, 1 after an error.
int run_daemon(const char* program, const std::function<void()>& body);

} // namespace flamingoseam
