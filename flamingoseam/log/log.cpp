#include "flamingoseam/log/log.hpp"

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/http/json.hpp"
#include "flamingoseam/log/crash_line.hpp"
#include "flamingoseam/log/ready_output.hpp"

#include <glog/logging.h>

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

void add_unless_empty(cxxtools::SerializationInfo& info, const std::string& name,
                      const std::string& text)
{
    if (!text.empty()) {
        detail::put_text(info, name, text);
    }
}

void operator<<=(cxxtools::SerializationInfo& info, const log_line& value)
{
    info.addMember("time_ms") <<= value.time_ms;
    info.addMember("severity") <<= value.severity;
    info.addMember("program") <<= value.program;
    info.addMember("file") <<= value.file;
    detail::put_text(info, "message", value.message);
    add_unless_empty(info, "request_id", value.fields.request_id);
    add_unless_empty(info, "customer", value.fields.customer);
    add_unless_empty(info, "worker", value.fields.worker);
    add_unless_empty(info, "shard", value.fields.shard);
}

class json_sink : public google::LogSink {
public:
    explicit json_sink(std::string program) : program_(std::move(program)) {}

    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t size) override
    {
        const auto text = to_json(log_line{.time_ms = wall_now().count(),
                                           .severity = google::GetLogSeverityName(severity),
                                           .program = program_,
                                           .file = base_filename + (":" + std::to_string(line)),
                                           .message = std::string(message, size),
                                           .fields = current_fields}) +
                          "\n";
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
    install_crash_line(path);
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
