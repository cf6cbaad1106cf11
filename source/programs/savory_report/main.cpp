// savory-report, the service-level burn report. Defines flags and help; core/report does the work.
#include <CLI/CLI.hpp>
#include <iostream>

#include "core/report/run.h"

namespace savorytrail {
namespace {

constexpr const char* footer = R"(Examples:
  savory-report --entries http://10.1.0.1:8080,http://10.2.0.1:8080 --scrapes 7 --every-s 10
  savory-report --entries http://10.1.0.1:8080 --scrapes 1 --save scrapes.jsonl
  savory-report --from scrapes.jsonl --html burn.html

Counters start at zero when an entry starts; the windows of 5 minutes to 3 days need scrapes that
reach back that far. Collect them with --save, for example once a minute.

Exit codes:
  0  no objective is burning
  1  an objective is burning
  2  invalid usage, an invalid file, or too few scrapes
  3  an entry could not be reached)";

const CLI::Validator url_check(
    [](std::string& text) {
        return common::parse_http_url(text) ? std::string()
                                            : "expected http://IPv4:PORT, found " + text;
    },
    "URL");

int run(int argc, char** argv) {
    CLI::App app{"Reports how fast the error budgets of the manifest's objectives are consumed."};
    app.set_version_flag("--version", "savory-report " SAVORY_VERSION);
    app.footer(footer);
    report::run_options options;
    std::vector<std::string> urls;
    std::int64_t interval_s = 10;
    app.add_option("--entries", urls, "Entries to scrape, separated by commas")
        ->delimiter(',')
        ->check(url_check);
    app.add_option("--from", options.from, "Files with saved scrapes");
    app.add_option("--save", options.save, "File that this run's scrapes are appended to");
    app.add_option("--manifest", options.manifest,
                   "Manifest with the objectives; default: those in the scrapes");
    app.add_option("--scrapes", options.scrapes, "How many times to scrape")
        ->check(CLI::Range(1, 100000))
        ->capture_default_str();
    app.add_option("--every-s", interval_s, "Seconds between scrapes")
        ->check(CLI::Range(1, 86400))
        ->capture_default_str();
    app.add_flag("--json", options.json, "Print one JSON object");
    app.add_option("--html", options.html, "Also write the report as a page with plots");
    try {
        app.parse(argc, argv);
        if (urls.empty() && options.from.empty())
            throw CLI::RequiredError("--entries or --from");
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : static_cast<int>(report::exit_status::bad_input);
    }
    for (const auto& it : urls)
        options.entries.push_back(common::parse_http_url(it).value());
    options.interval = std::chrono::seconds(interval_s);
    return static_cast<int>(report::run(options, std::cout, std::cerr));
}

} // namespace
} // namespace savorytrail

int main(int argc, char** argv) {
    return savorytrail::run(argc, argv);
}
