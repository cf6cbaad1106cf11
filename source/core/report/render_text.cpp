// Renders the report as text and as JSON.
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "core/report/advice.h"
#include "core/report/render.h"

namespace savorytrail::report {
namespace {

using nlohmann::json;

void print_objective(const burn_report& report, const objective_burn& it, std::ostream& out) {
    out << it.name << ": " << (it.is_burning ? "BURNING" : "fine") << ", target " << it.target
        << ", good share " << it.good_share << "\n";
    for (const auto& pair : it.pairs)
        out << "  burn rate " << std::setw(8) << pair.over_long.rate << " over "
            << pair.windows.long_seconds << " s (" << pair.over_long.seconds << " s scraped), "
            << std::setw(8) << pair.over_short.rate << " over " << pair.windows.short_seconds
            << " s; threshold " << pair.windows.threshold << (pair.is_burning ? "  <- burning" : "")
            << "\n";
    if (!it.is_burning)
        return;
    for (const auto& step : advise(report, it))
        out << "  next: " << step << "\n";
}

json to_json(const window_burn& it) {
    return {{"covered_seconds", it.seconds},
            {"bad", it.bad},
            {"total", it.total},
            {"burn_rate", it.rate}};
}

json to_json(const burn_report& report, const objective_burn& it) {
    json pairs = json::array();
    for (const auto& pair : it.pairs) {
        json over_long = to_json(pair.over_long);
        over_long["window_seconds"] = pair.windows.long_seconds;
        json over_short = to_json(pair.over_short);
        over_short["window_seconds"] = pair.windows.short_seconds;
        pairs.push_back({{"long", over_long},
                         {"short", over_short},
                         {"threshold", pair.windows.threshold},
                         {"burning", pair.is_burning}});
    }
    return {{"name", it.name},
            {"target", it.target},
            {"good_share", it.good_share},
            {"burning", it.is_burning},
            {"windows", pairs},
            {"next", it.is_burning ? advise(report, it) : std::vector<std::string>()}};
}

} // namespace

std::string render_text(const burn_report& report) {
    std::ostringstream out;
    out << std::setprecision(4);
    for (const auto& it : report.burns)
        print_objective(report, it, out);
    const auto& total = report.total;
    out << "answers: " << total.complete << " complete, " << total.lost << " lost ("
        << total.unknown << " of them could not say which tasks ran), " << total.excluded
        << " caused by callers\n";
    return out.str();
}

std::string render_json(const burn_report& report) {
    const auto& total = report.total;
    json body = {{"burning", report.is_burning()},
                 {"from", report.times.front()},
                 {"to", report.times.back()},
                 {"response_over_ideal", report.objectives.response_over_ideal},
                 {"answers",
                  {{"complete", total.complete},
                   {"lost", total.lost},
                   {"unknown", total.unknown},
                   {"ended_by_callers", total.excluded},
                   {"lost_by_reason", total.lost_by_reason}}},
                 {"objectives", json::array()}};
    for (const auto& it : report.burns)
        body["objectives"].push_back(to_json(report, it));
    return body.dump(2) + "\n";
}

} // namespace savorytrail::report
