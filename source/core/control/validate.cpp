// Offline checks.
#include "core/control/validate.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "core/control/input.h"
#include "core/control/report.h"
#include "core/settings/load.h"
#include "core/settings/print.h"
#include "core/settings/reference.h"
#include "settings.pb.h"

namespace savorytrail::control {
namespace {

exit_status report_valid(const std::string& path, const std::string& summary, console& io) {
    if (io.json)
        print_json({{"outcome", "valid"}, {"problems", nlohmann::json::array()}}, io);
    else
        io.out << path << " is valid" << summary << "\n";
    return exit_status::ok;
}

std::string summary(const manifest::manifest& it) {
    std::size_t executors = 0;
    std::size_t slots = 0;
    for (const manifest::upstream& upstream : it.upstreams) {
        executors += upstream.executors.size();
        for (const manifest::executor& executor : upstream.executors)
            slots += executor.slots;
    }
    return absl::StrCat(": ", it.teams.size(), " teams, ", it.upstreams.size(), " upstreams, ",
                        executors, " executors with ", slots, " slots");
}

exit_status validate_manifest(const std::string& path, console& io) {
    const manifest_file file = read_manifest(path);
    if (!file.problems.empty())
        return report_problems(file.problems, io);
    return report_valid(path, summary(file.value), io);
}

exit_status validate_settings(const std::string& path, console& io) {
    const auto loaded = settings::load_file<schema::entry_settings>(path);
    if (!loaded.ok())
        return report_problems(loaded.problems, io);
    return report_valid(path, "", io);
}

// The defaults with assignments over them. Required keys are missing here, which is no problem for
// a file to start from; the problems of assignments have no line.
settings::load_result<schema::entry_settings>
load_defaults(const std::vector<std::string>& assignments) {
    settings::load_result<schema::entry_settings> result;
    for (settings::problem& it : settings::populate({"", "", assignments}, result.value).problems) {
        if (it.line == 0)
            result.problems.push_back(std::move(it));
    }
    return result;
}

} // namespace

exit_status validate(const std::string& path, file_kind kind, console& io) {
    return kind == file_kind::manifest ? validate_manifest(path, io) : validate_settings(path, io);
}

exit_status print_settings(const print_settings_options& options, console& io) {
    const auto loaded =
        options.path.empty()
            ? load_defaults(options.assignments)
            : settings::load_file<schema::entry_settings>(options.path, options.assignments);
    if (!loaded.ok())
        return report_problems(loaded.problems, io);
    io.out << settings::print(loaded.value);
    return exit_status::ok;
}

exit_status print_reference(console& io) {
    io.out << settings::reference();
    return exit_status::ok;
}

} // namespace savorytrail::control
