// Structured log lines: one event per line, as key=value pairs with a stable event name. Bodies and
// secrets are never logged.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorytrail::telemetry {

enum class severity { info, warning, error };

enum class log_stream { standard_error, standard_output };

// The limit for each event; further lines are suppressed and counted.
constexpr std::uint32_t default_lines_per_second = 20;

// Starts the log. `node` and `failure_domain` are added to every line.
void start_log(std::string_view program, std::string_view node, std::string_view failure_domain,
               severity min_level, log_stream stream = log_stream::standard_error,
               std::uint32_t max_lines_per_second = default_lines_per_second);

// Logs how many lines were suppressed, for events that have not reported it with a later line.
// Called periodically.
void report_suppressed_lines();

// One line, written when the object is destroyed unless its event has reached the limit of lines
// per second. The next line of that event is then preceded by a line with the number suppressed:
//   log_line(severity::info, "job_refused").field("id", id).field("reason", why);
class log_line {
public:
    log_line(severity level, std::string_view event);
    ~log_line();
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    log_line& field(std::string_view key, std::string_view value);
    log_line& field(std::string_view key, std::int64_t value);

private:
    const severity m_level;
    const std::string m_event;
    std::string m_text;
};

} // namespace savorytrail::telemetry
