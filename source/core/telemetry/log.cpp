// Writes log lines through glog.
#include "core/telemetry/log.h"

#include <cstdio>
#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include "core/common/clock.h"
#include "core/telemetry/log_rate_limiter.h"

namespace savorytrail::telemetry {
namespace {

std::string& common_fields() {
    static std::string s_fields;
    return s_fields;
}

std::uint32_t& lines_per_second() {
    static std::uint32_t s_lines = default_lines_per_second;
    return s_lines;
}

log_rate_limiter& rate_limiter() {
    static const common::system_clock s_clock;
    static log_rate_limiter s_limiter(s_clock, lines_per_second());
    return s_limiter;
}

void write(severity level, const std::string& text) {
    switch (level) {
    case severity::info:
        LOG(INFO) << text;
        break;
    case severity::warning:
        LOG(WARNING) << text;
        break;
    case severity::error:
        LOG(ERROR) << text;
        break;
    }
}

void write_suppressed(const std::string& event, std::uint64_t lines) {
    write(severity::warning, "event=lines_suppressed" + common_fields() + " of=" + event +
                                 " lines=" + std::to_string(lines));
}

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" =\"\\\n\r\t") != std::string_view::npos;
}

void append_value(std::string& out, std::string_view value) {
    if (!needs_quotes(value)) {
        out += value;
        return;
    }
    out += '"';
    for (const char c : value) {
        if (c == '\n' || c == '\r' || c == '\t') {
            out += ' ';
            continue;
        }
        if (c == '"' || c == '\\')
            out += '\\';
        out += c;
    }
    out += '"';
}

} // namespace

void start_log(std::string_view program, std::string_view node, std::string_view failure_domain,
               severity min_level, log_stream stream, std::uint32_t max_lines_per_second) {
    lines_per_second() = max_lines_per_second;
    static const std::string s_program(program);
    FLAGS_logtostderr = stream == log_stream::standard_error;
    FLAGS_logtostdout = stream == log_stream::standard_output;
    FLAGS_minloglevel = static_cast<int>(min_level);
    if (stream == log_stream::standard_output) {
        std::setvbuf(stdout, nullptr, _IOLBF, 0);
        // A slow reader of the output must lose lines instead of blocking the threads that log.
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    google::InitGoogleLogging(s_program.c_str());
    common_fields() = " node=" + std::string(node) + " domain=" + std::string(failure_domain);
}

void report_suppressed_lines() {
    for (const auto& [event, lines] : rate_limiter().take_suppressed())
        write_suppressed(event, lines);
}

log_line::log_line(severity level, std::string_view event)
    : m_level(level), m_event(event), m_text("event=" + m_event + common_fields()) {}

log_line::~log_line() {
    const rate_limit_decision decision = rate_limiter().admit(m_event);
    if (!decision.is_written)
        return;
    if (decision.suppressed > 0)
        write_suppressed(m_event, decision.suppressed);
    write(m_level, m_text);
}

log_line& log_line::field(std::string_view key, std::string_view value) {
    m_text += ' ';
    m_text += key;
    m_text += '=';
    append_value(m_text, value);
    return *this;
}

log_line& log_line::field(std::string_view key, std::int64_t value) {
    return field(key, std::to_string(value));
}

} // namespace savorytrail::telemetry
