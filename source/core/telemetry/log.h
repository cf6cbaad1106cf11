// Structured log lines: one event a line, as key=value pairs with a stable event name. Bodies and
// secrets are never fields.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace savorytrail::telemetry {

enum class severity { info, warning, error };

// Starts the log on standard error. `node` and `failure_domain` stand on every line.
void start_log(std::string_view program, std::string_view node, std::string_view failure_domain,
               severity least);

// One line, written when the object is destroyed:
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
    std::string m_text;
};

} // namespace savorytrail::telemetry
