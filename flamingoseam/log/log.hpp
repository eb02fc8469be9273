#pragma once

#include <string>

namespace flamingoseam {

/// The context of a log line; empty fields are omitted.
struct log_fields {
    std::string request_id;
    std::string customer;
    std::string worker;
    std::string shard;
};

/// Makes glog write each line to standard error as one JSON object with time, severity, program,
/// file, message and the fields of the innermost log_scope, and installs the last line of a process
/// that ends by an error. Must be called once, after the command line has been parsed.
void init_logging(const char* program);

/// Adds fields to every line that the current thread logs during the lifetime of the scope.
class log_scope {
public:
    explicit log_scope(log_fields fields);
    ~log_scope();
    log_scope(const log_scope&) = delete;
    log_scope& operator=(const log_scope&) = delete;

private:
    log_fields previous_;
};

} // namespace flamingoseam
