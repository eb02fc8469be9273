#include "flamingoseam/daemon/daemon.hpp"

#include "flamingoseam/core/service_thread.hpp"
#include "flamingoseam/daemon/process_bounds.hpp"
#include "flamingoseam/log/log.hpp"

#include <sodium.h>

#include <iostream>

namespace flamingoseam {

sigset_t block_shutdown_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void wait_for_shutdown_signal(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

int run_daemon(const char* program, const std::function<void()>& body)
{
    bound_threads();
    init_logging(program);
    if (sodium_init() < 0) {
        std::cerr << "libsodium could not be initialized\n";
        return 1;
    }
    try {
        body();
    } catch (const std::exception& cause) {
        std::cerr << cause.what() << '\n';
        return 1;
    } catch (...) {
        std::cerr << describe_current_exception() << '\n';
        return 1;
    }
    return 0;
}

} // namespace flamingoseam
