// The log's lines over glog.
#include "core/telemetry/log.h"

#include <glog/logging.h>

namespace savorytrail::telemetry {
namespace {

std::string& common_fields() {
    static std::string s_fields;
    return s_fields;
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
               severity least) {
    static const std::string s_program(program);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = static_cast<int>(least);
    google::InitGoogleLogging(s_program.c_str());
    common_fields() = " node=" + std::string(node) + " domain=" + std::string(failure_domain);
}

log_line::log_line(severity level, std::string_view event)
    : m_level(level), m_text("event=" + std::string(event) + common_fields()) {}

log_line::~log_line() {
    switch (m_level) {
    case severity::info:
        LOG(INFO) << m_text;
        break;
    case severity::warning:
        LOG(WARNING) << m_text;
        break;
    case severity::error:
        LOG(ERROR) << m_text;
        break;
    }
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
