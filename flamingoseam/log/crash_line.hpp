#pragma once

#include <string_view>

namespace flamingoseam {

/// Makes a process that ends by an error, which is a call of std::terminate or one of the signals
/// SIGABRT, SIGSEGV, SIGBUS, SIGILL and SIGFPE, write one line of JSON to standard error first:
/// the exception or the signal, the name of the thread, the numbers of threads and descriptors, the
/// memory in use, and their limits. The line is written without allocating memory or opening a
/// file. The handlers that were installed before follow, so that the process ends as it would
/// without the line. `program` is the path of the program. Must be called once.
void install_crash_line(std::string_view program);

} // namespace flamingoseam
