#pragma once

#include <string>

namespace flamingoseam {

/// What a log line is about; empty fields are left out.
struct log_fields {
    std::string request_id;
    std::string customer;
    std::string worker;
    std::string shard;
};

/// Sends every glog line to standard error as one JSON object with time, severity, program, file,
/// message and the fields of the innermost log_scope. Call once, after the command line was read.
void init_logging(const char* program);

/// Adds fields to every line that the current thread logs while the scope lives.
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
