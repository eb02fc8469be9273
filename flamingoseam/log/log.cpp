#include "flamingoseam/log/log.hpp"

#include "flamingoseam/core/clock.hpp"
#include "flamingoseam/log/crash_line.hpp"
#include "flamingoseam/log/ready_output.hpp"

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <string_view>
#include <utility>

namespace flamingoseam {

namespace {

constexpr milliseconds no_wait{0};

thread_local log_fields current_fields;

/// Written in place of a line that can't be formed, which needs memory.
constexpr std::string_view left_out_line =
    R"({"severity":"ERROR","message":"a line of the log can't be written"})"
    "\n";

void add_unless_empty(nlohmann::ordered_json& line, const char* name, const std::string& text)
{
    if (!text.empty()) {
        line[name] = text;
    }
}

/// Returns a line as text in which bytes that aren't UTF-8 are replaced.
std::string to_text(const nlohmann::ordered_json& line)
{
    constexpr int compact = -1;
    constexpr bool ascii_only = true;
    return line.dump(compact, ' ', ascii_only, nlohmann::json::error_handler_t::replace) + "\n";
}

class json_sink : public google::LogSink {
public:
    explicit json_sink(std::string program) : program_(std::move(program)) {}

    /// Called by a destructor of glog, so that no exception may escape.
    void send(google::LogSeverity severity, const char* /*full_filename*/,
              const char* base_filename, int line, const google::LogMessageTime& /*time*/,
              const char* message, std::size_t size) override
    {
        try {
            write(severity, base_filename + (":" + std::to_string(line)),
                  std::string(message, size));
        } catch (...) {
            write_ready(STDERR_FILENO, left_out_line, no_wait);
        }
    }

private:
    void write(google::LogSeverity severity, const std::string& file,
               const std::string& message) const
    {
        nlohmann::ordered_json line = {{"time_ms", wall_now().count()},
                                       {"severity", google::GetLogSeverityName(severity)},
                                       {"program", program_},
                                       {"file", file},
                                       {"message", message}};
        add_unless_empty(line, "request_id", current_fields.request_id);
        add_unless_empty(line, "customer", current_fields.customer);
        add_unless_empty(line, "worker", current_fields.worker);
        add_unless_empty(line, "shard", current_fields.shard);
        write_ready(STDERR_FILENO, to_text(line), no_wait); // Drops a line that does not fit.
    }

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
