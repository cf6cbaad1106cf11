// Collects scrapes, finds the objectives, computes the burn rates and writes the report.
#include "core/report/run.h"

#include <fstream>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <thread>

#include "core/http/client.h"
#include "core/report/render.h"
#include "core/report/saved_scrapes.h"
#include "core/settings/text.h"

namespace savorytrail::report {
namespace {

constexpr http::client_timeouts scrape_timeouts{std::chrono::milliseconds(1000),
                                                std::chrono::milliseconds(3000)};
constexpr int status_ok = 200;
constexpr std::size_t min_points = 2;

double unix_seconds() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

std::optional<std::string> scrape_entry(const common::endpoint& entry) {
    http::client client(entry, scrape_timeouts);
    http::request request;
    request.path = "/metrics";
    const auto answer = client.send(request);
    if (!answer || answer.value().status != status_ok)
        return std::nullopt;
    return answer.value().body;
}

std::vector<saved_scrape> scrape_all(const run_options& options) {
    std::vector<saved_scrape> result;
    const double at = unix_seconds();
    for (const auto& it : options.entries) {
        const std::string name = "http://" + it.to_string();
        if (auto text = scrape_entry(it))
            result.push_back({at, name, std::move(*text)});
    }
    return result;
}

bool save(const std::string& path, const std::vector<saved_scrape>& scrapes) {
    std::ofstream file(path, std::ios::app);
    for (const auto& it : scrapes)
        file << to_json_line(it);
    return static_cast<bool>(file.flush());
}

bool read_saved(const run_options& options, std::vector<saved_scrape>& scrapes, std::ostream& err) {
    for (const auto& path : options.from) {
        const auto text = settings::read_file(path);
        if (!text) {
            err << path << ": cannot be read: " << text.error().message() << "\n";
            return false;
        }
        const auto lines = parse_saved_scrapes(text.value());
        if (!lines) {
            err << path << ": not a file of saved scrapes\n";
            return false;
        }
        scrapes.insert(scrapes.end(), lines.value().begin(), lines.value().end());
    }
    return true;
}

// The objectives of the manifest file, or else those of the latest scrape that has any.
std::optional<manifest::objectives> find_objectives(const run_options& options,
                                                    const std::vector<saved_scrape>& scrapes,
                                                    std::ostream& err) {
    if (!options.manifest.empty()) {
        const auto text = settings::read_file(options.manifest);
        const auto parsed =
            text ? manifest::parse(text.value(), options.manifest) : manifest::parse("");
        if (text && parsed)
            return parsed.value().objectives;
        err << options.manifest << ": not a valid manifest; see savoryctl validate\n";
        return std::nullopt;
    }
    std::optional<manifest::objectives> result;
    double latest = 0;
    for (const auto& it : scrapes) {
        const auto scrape = telemetry::parse_scrape(it.metrics);
        manifest::objectives found;
        if (it.at < latest || !scrape || !read_objectives(*scrape, found))
            continue;
        latest = it.at;
        result = found;
    }
    if (!result)
        err << "no scrape contains objectives; use --manifest\n";
    return result;
}

// Reports on `err` each entry that this run could not scrape.
bool check_all_answered(const run_options& options, const std::set<std::string>& answered,
                        std::ostream& err) {
    bool result = true;
    for (const auto& it : options.entries) {
        const std::string name = "http://" + it.to_string();
        if (answered.contains(name))
            continue;
        err << "entry " << name << " cannot be reached\n";
        result = false;
    }
    return result;
}

bool write_html(const std::string& path, const burn_report& report, std::ostream& err) {
    std::ofstream file(path);
    file << render_html(report);
    if (file.flush())
        return true;
    err << path << ": cannot be written\n";
    return false;
}

} // namespace

exit_status run(const run_options& options, std::ostream& out, std::ostream& err) {
    std::vector<saved_scrape> scrapes;
    if (!read_saved(options, scrapes, err))
        return exit_status::bad_input;
    std::set<std::string> answered;
    for (std::size_t i = 0; i < options.scrapes && !options.entries.empty(); i++) {
        if (i > 0)
            std::this_thread::sleep_for(options.interval);
        const auto fresh = scrape_all(options);
        err << "scrape " << i + 1 << " of " << options.scrapes << ": " << fresh.size() << " of "
            << options.entries.size() << " entries\n";
        for (const auto& it : fresh)
            answered.insert(it.entry);
        if (!options.save.empty() && !save(options.save, fresh)) {
            err << options.save << ": cannot be written\n";
            return exit_status::bad_input;
        }
        scrapes.insert(scrapes.end(), fresh.begin(), fresh.end());
    }
    const bool all_reached = check_all_answered(options, answered, err);
    if (scrapes.empty())
        return all_reached ? exit_status::bad_input : exit_status::unreachable;
    if (!options.save.empty() && options.from.empty() && options.scrapes < min_points)
        return all_reached ? exit_status::ok : exit_status::unreachable; // this run only collects

    const auto objectives = find_objectives(options, scrapes, err);
    if (!objectives)
        return exit_status::bad_input;
    const auto points = make_points(scrapes, objectives->response_over_ideal);
    if (!points || points.value().size() < min_points) {
        err << (points ? "a report needs scrapes from two or more points in time\n"
                       : "a scrape cannot be parsed\n");
        return all_reached ? exit_status::bad_input : exit_status::unreachable;
    }
    const auto report = compute_burn(points.value(), *objectives, default_windows());
    out << (options.json ? render_json(report) : render_text(report));
    if (!options.html.empty() && !write_html(options.html, report, err))
        return exit_status::bad_input;
    if (report.is_burning())
        return exit_status::burning;
    return all_reached ? exit_status::ok : exit_status::unreachable;
}

} // namespace savorytrail::report
