// Formats the lines of the Prometheus text format.
#include "core/telemetry/exposition.h"

#include <array>
#include <charconv>
#include <cmath>

namespace savorytrail::telemetry {
namespace {

constexpr std::size_t max_number_length = 32; // characters

void append_escaped(std::string& out, std::string_view text, bool is_label) {
    for (const char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || (is_label && c == '"'))
            out += '\\';
        out += c;
    }
}

} // namespace

std::string_view to_string(metric_kind kind) {
    static constexpr std::array<std::string_view, 3> s_names = {"counter", "gauge", "histogram"};
    return s_names.at(static_cast<std::size_t>(kind));
}

std::string format_labels(const label_list& labels) {
    std::string text;
    for (const auto& [name, value] : labels) {
        if (!text.empty())
            text += ',';
        text += name;
        text += "=\"";
        append_escaped(text, value, true);
        text += '"';
    }
    return text;
}

std::string format_number(double value) {
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    if (std::isnan(value))
        return "NaN";
    std::array<char, max_number_length> buf{};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    return ec == std::errc() ? std::string(buf.data(), end) : std::to_string(value);
}

void exposition::begin(std::string_view name, std::string_view help, metric_kind kind) {
    m_text += "# HELP ";
    m_text += name;
    m_text += ' ';
    append_escaped(m_text, help, false);
    m_text += "\n# TYPE ";
    m_text += name;
    m_text += ' ';
    m_text += to_string(kind);
    m_text += '\n';
}

void exposition::sample(std::string_view name, std::string_view labels, double value) {
    m_text += name;
    if (!labels.empty()) {
        m_text += '{';
        m_text += labels;
        m_text += '}';
    }
    m_text += ' ';
    m_text += format_number(value);
    m_text += '\n';
}

void exposition::single(std::string_view name, std::string_view help, metric_kind kind,
                        double value) {
    begin(name, help, kind);
    sample(name, "", value);
}

} // namespace savorytrail::telemetry
