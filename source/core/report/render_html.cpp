// Renders the report as an HTML page with inline SVG plots.
#include <algorithm>
#include <iomanip>
#include <sstream>

#include "core/report/advice.h"
#include "core/report/render.h"

namespace savorytrail::report {
namespace {

constexpr double plot_width = 720; // pixels
constexpr double plot_height = 160;
constexpr double min_top_rate = 2; // lowest burn rate at the upper edge of a plot

constexpr const char* style =
    "body{font:15px sans-serif;max-width:760px;margin:2em auto;color:#222}"
    "table{border-collapse:collapse}td,th{padding:.2em .8em;border:1px solid #bbb;text-align:right}"
    ".burning{color:#b00020}.fine{color:#1b6e2d}svg{background:#f6f6f6}";

std::string escape(const std::string& text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '&':
            result += "&amp;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

// Plots the burn rate over time as a step line between scrapes, with a dashed line at rate 1.
void draw_rates(const burn_report& report, const objective_burn& burn, std::ostream& out) {
    const double begin = report.times.front();
    const double length = std::max(report.times.back() - begin, 1e-9);
    const double top_rate =
        std::max(min_top_rate, *std::max_element(burn.rates.begin(), burn.rates.end()));
    const auto x = [&](double at) { return (at - begin) / length * plot_width; };
    const auto y = [&](double rate) { return plot_height * (1 - rate / top_rate); };
    out << "<svg width=\"" << plot_width << "\" height=\"" << plot_height
        << "\" role=\"img\" aria-label=\"burn rate of " << escape(burn.name) << "\">"
        << "<line x1=\"0\" x2=\"" << plot_width << "\" y1=\"" << y(1) << "\" y2=\"" << y(1)
        << "\" stroke=\"#b00020\" stroke-dasharray=\"4\"/>"
        << "<polyline fill=\"none\" stroke=\"#1a4f9c\" stroke-width=\"2\" points=\"";
    for (std::size_t i = 0; i < burn.rates.size(); i++)
        out << x(report.times[i]) << "," << y(burn.rates[i]) << " " << x(report.times[i + 1]) << ","
            << y(burn.rates[i]) << " ";
    out << "\"/><text x=\"4\" y=\"14\" font-size=\"12\">burn rate " << top_rate
        << "</text></svg><p>" << length << " seconds; the dashed line marks burn rate 1.</p>\n";
}

void write_windows(const objective_burn& burn, std::ostream& out) {
    out << "<table><tr><th>long window</th><th>burn rate</th><th>short window</th>"
           "<th>burn rate</th><th>threshold</th><th></th></tr>\n";
    for (const auto& it : burn.pairs)
        out << "<tr><td>" << it.windows.long_seconds << " s</td><td>" << it.over_long.rate
            << "</td><td>" << it.windows.short_seconds << " s</td><td>" << it.over_short.rate
            << "</td><td>" << it.windows.threshold << "</td><td>"
            << (it.is_burning ? "burning" : "") << "</td></tr>\n";
    out << "</table>\n";
}

void write_objective(const burn_report& report, const objective_burn& burn, std::ostream& out) {
    const char* const state = burn.is_burning ? "burning" : "fine";
    out << "<h2>" << escape(burn.name) << ": <span class=\"" << state << "\">" << state
        << "</span></h2>\n<p>Good share " << burn.good_share << ", target " << burn.target
        << ".</p>\n";
    draw_rates(report, burn, out);
    write_windows(burn, out);
    if (!burn.is_burning)
        return;
    out << "<h3>What to do next</h3>\n<ul>\n";
    for (const auto& it : advise(report, burn))
        out << "<li>" << escape(it) << "</li>\n";
    out << "</ul>\n";
}

} // namespace

std::string render_html(const burn_report& report) {
    std::ostringstream out;
    out << std::setprecision(4);
    out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>Service-level burn</title><style>"
        << style << "</style></head><body>\n<h1>Service-level burn</h1>\n";
    for (const auto& it : report.burns)
        write_objective(report, it, out);
    const auto& total = report.total;
    out << "<h2>Answers</h2>\n<p>" << total.complete << " complete, " << total.lost << " lost ("
        << total.unknown << " of them could not say which tasks ran), " << total.excluded
        << " caused by callers.</p>\n<table><tr><th>reason</th><th>lost</th></tr>\n";
    for (const auto& [reason, n] : total.lost_by_reason)
        out << "<tr><td>" << escape(reason) << "</td><td>" << n << "</td></tr>\n";
    out << "</table>\n</body></html>\n";
    return out.str();
}

} // namespace savorytrail::report
