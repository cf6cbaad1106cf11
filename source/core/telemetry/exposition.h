// Writes metrics in the Prometheus text format 0.0.4.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace savorytrail::telemetry {

using label_list = std::vector<std::pair<std::string, std::string>>;

enum class metric_kind { counter, gauge, histogram };

std::string_view to_string(metric_kind kind);

// The text between the braces, with values escaped: state="failed",reason="none".
std::string format_labels(const label_list& labels);
// The shortest decimal text that parses to the same number.
std::string format_number(double value);

// All samples of a family follow its own begin().
class exposition {
public:
    void begin(std::string_view name, std::string_view help, metric_kind kind);
    // `name` is the family's name, for histograms with a suffix; `labels` as format_labels() gives.
    void sample(std::string_view name, std::string_view labels, double value);
    // A family with one sample without labels.
    void single(std::string_view name, std::string_view help, metric_kind kind, double value);

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace savorytrail::telemetry
