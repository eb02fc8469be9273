#include "flamingoseam/log/log.hpp"

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/log/ready_output.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds no_wait{0};

thread_local log_fields current_fields;

/// One line of the log.
struct log_line {
    std::int64_t time_ms = 0;
    std::string severity;
    std::string program;
    std::string file;
    std::string message;
    log_fields fields;
};

void add_unless_empty(nlohmann::ordered_json& line, const char* name, const std::string& text)
{
    if (!text.empty()) {
        line[name] = text;
    }
}

/// Returns a line as JSON. Replaces bytes that are not UTF-8, since a message may repeat what
/// another program has written.
std::string to_text(const log_line& value)
{
    nlohmann::ordered_json line = {{"time_ms", value.time_ms},
                                   {"severity", value.severity},
                                   {"program", value.program},
                                   {"file", value.file},
                                   {"message", value.message}};
    add_unless_empty(line, "request_id", value.fields.request_id);
    add_unless_empty(line, "customer", value.fields.customer);
    add_unless_empty(line, "worker", value.fields.worker);
    add_unless_empty(line, "shard", value.fields.shard);
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

class json_sink : public google::LogSink {
public:
    explicit json_sink(std::string program) : program_(std::move(program)) {}

    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t size) override
    {
        const auto text = to_text({.time_ms = wall_now().count(),
                                   .severity = google::GetLogSeverityName(severity),
                                   .program = program_,
                                   .file = base_filename + (":" + std::to_string(line)),
                                   .message = std::string(message, size),
                                   .fields = current_fields});
        write_ready(STDERR_FILENO, text, no_wait); // Drops a line that does not fit.
    }

private:
    std::string program_;
};

} // namespace

void init_logging(const char* program)
{
    google::InitGoogleLogging(program);
    google::InstallFailureSignalHandler();
    for (const auto severity : {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR}) {
        google::SetLogDestination(severity, "");
    }
    google::SetStderrLogging(google::GLOG_FATAL);
    const std::string path(program);
    static json_sink sink(path.substr(path.rfind('/') + 1));
    google::AddLogSink(&sink);
}

log_scope::log_scope(log_fields fields)
    : previous_(std::exchange(current_fields, std::move(fields)))
{
}

log_scope::~log_scope()
{
    current_fields = std::move(previous_);
}

} // namespace flamingoseam
