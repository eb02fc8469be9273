#pragma once

#include <csignal>
#include <functional>

namespace flamingoseam {

/// Blocks SIGTERM and SIGINT in the calling thread and in all threads that it starts later, and
/// ignores SIGPIPE. Returns the blocked signals for wait_for_shutdown_signal().
sigset_t block_shutdown_signals();

/// Blocks until the process receives one of `signals`.
void wait_for_shutdown_signal(const sigset_t& signals);

/// Bounds the threads' address space, initializes logging and libsodium and runs `body`, the main
/// function of a daemon. Prints an exception as one line on standard error. Returns the exit code:
/// 0 when `body` returns, 1 after an error.
int run_daemon(const char* program, const std::function<void()>& body);

} // namespace flamingoseam
