#include "core/control/explain_placement.h"

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"
#include "core/control/report.h"
#include "core/settings/text.h"

namespace savorytrail::control {
namespace {

using nlohmann::json;

constexpr int status_ok = 200;
// Entries accept no longer bodies (reactor::server_limits).
constexpr std::size_t max_job_bytes = 262'144;

using table_row = std::vector<std::string>;

// Columns are as wide as their widest cell.
void print_table(const std::vector<table_row>& rows, std::ostream& out) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); i++)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line = " ";
        for (std::size_t i = 0; i < row.size(); i++) {
            const auto padding = i + 1 < row.size() ? widths[i] - row[i].size() : 0;
            absl::StrAppend(&line, " ", row[i], std::string(padding, ' '));
        }
        out << line << "\n";
    }
}

std::string text_of(const json& value) {
    return value.is_null() ? "-" : value.is_string() ? value.get<std::string>() : value.dump();
}

// The costs that are not 0, the weightiest first.
std::string describe_cost(const json& cost) {
    constexpr std::array<const char*, 9> names = {"drained",     "avoided",      "other_rack",
                                                  "cold",        "late",         "interference",
                                                  "speed_steps", "packing_loss", "cpu_millis_left"};
    std::vector<std::string> parts;
    for (const char* name : names) {
        const auto& value = cost.at(name);
        if (value.is_boolean() && value.get<bool>())
            parts.emplace_back(name);
        else if (value.is_number() && value != 0)
            parts.push_back(absl::StrCat(name, "=", value.dump()));
    }
    return parts.empty() ? "none" : absl::StrJoin(parts, " ");
}

void print_targets(const json& answer, std::ostream& out) {
    out << "target cells, chosen at random by weight:\n";
    std::vector<table_row> rows = {
        {"CELL", "DOMAIN", "AGE_MS", "CORES", "USABLE", "SENT", "BACKLOG_MS", "COST_MS", "CHANCE"}};
    for (const json& it : answer.at("targets"))
        rows.push_back({text_of(it.at("cell")), it.at("own_domain").get<bool>() ? "own" : "other",
                        text_of(it.at("age_ms")), text_of(it.at("capacity_cores")),
                        text_of(it.at("usable_cores")), text_of(it.at("sent_since_cores")),
                        text_of(it.at("backlog_ms")), text_of(it.at("cost_ms")),
                        absl::StrFormat("%.0f%%", 100 * it.at("probability").get<double>())});
    print_table(rows, out);
    if (rows.size() == 1)
        out << "  none"
            << (answer.at("all_drained").get<bool>()
                    ? ": every failure domain with executors is drained"
                    : ": no cell has executors")
            << "\n";
    if (answer.at("out_of_time").get<bool>())
        out << "  refused at once: its caller's patience ends\n";
}

void print_tasks(const json& cell, std::ostream& out) {
    std::vector<table_row> rows = {{"TASK", "EXECUTOR", "COSTS", "WORSE BY"}};
    for (const json& task : cell.at("tasks")) {
        const auto name =
            absl::StrCat(task.at("step").get<int>(), ".", task.at("index").get<int>());
        const bool is_started = !task.at("executor").is_null();
        if (!is_started)
            rows.push_back({name, task.contains("waits_for")
                                      ? "waits for " + text_of(task.at("waits_for"))
                                      : "none has room"});
        bool is_first = is_started;
        for (const json& option : task.at("options")) {
            rows.push_back({is_first ? name : "",
                            (is_first ? "" : "  not ") + text_of(option.at("executor")),
                            describe_cost(option.at("cost")), option.value("worse_by", "")});
            is_first = false;
        }
    }
    if (rows.size() > 1) {
        out << "tasks of the first steps:\n";
        print_table(rows, out);
    }
}

void print_left_out(const json& cell, std::ostream& out) {
    std::vector<table_row> rows = {{"EXECUTOR", "STEP", "REASONS"}};
    for (const json& it : cell.at("left_out"))
        rows.push_back({text_of(it.at("executor")), text_of(it.at("step")),
                        absl::StrJoin(it.at("reasons").get<std::vector<std::string>>(), " ")});
    if (rows.size() > 1) {
        out << "executors left out:\n";
        print_table(rows, out);
    }
}

void print_own_cell(const json& cell, std::ostream& out) {
    if (cell.at("admitted").get<bool>())
        out << "own cell: admitted\n";
    else
        out << "own cell: refused (" << text_of(cell.at("cause"))
            << "): " << text_of(cell.at("reason")) << ", retry after "
            << text_of(cell.at("retry_after_ms"))
            << " ms; what follows is as if it were admitted\n";
    out << "  capacity " << text_of(cell.at("capacity_cores")) << " cores by reports "
        << text_of(cell.at("age_ms")) << " ms old, work ahead " << text_of(cell.at("work_ahead_ms"))
        << " ms in " << text_of(cell.at("jobs_ahead")) << " jobs, waiting "
        << text_of(cell.at("work_waiting_ms")) << " ms, " << text_of(cell.at("first_tasks_fitting"))
        << " of " << text_of(cell.at("first_tasks")) << " first tasks fit"
        << (cell.at("room_unclaimed").get<bool>() ? ", beside waiting jobs too" : "") << "\n";
    if (!cell.at("held_back_for_priority").is_null())
        out << "  held back for jobs of priority " << text_of(cell.at("held_back_for_priority"))
            << "\n";
    if (cell.at("starts_paused").get<bool>())
        out << "  nothing starts now: the process has just been stalled or suspended\n";
    print_tasks(cell, out);
    print_left_out(cell, out);
}

void print_answer(const json& answer, std::ostream& out) {
    out << "queue " << text_of(answer.at("queue")) << ", priority "
        << text_of(answer.at("priority")) << ", rank " << text_of(answer.at("rank").at("urgency"))
        << " " << text_of(answer.at("rank").at("key")) << ", slack "
        << text_of(answer.at("slack_ms")) << " ms\n"
        << "on time for " << text_of(answer.at("on_time_for_ms")) << " ms, of use for "
        << text_of(answer.at("late_for_ms")) << " ms, caller waits for "
        << text_of(answer.at("wanted_for_ms")) << " ms\n";
    print_targets(answer, out);
    print_own_cell(answer.at("own_cell"), out);
}

std::string error_of(const http::response& answer) {
    const auto body = json::parse(answer.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body.at("error").is_string())
        return body.at("error").get<std::string>();
    return absl::StrCat("status ", answer.status);
}

} // namespace

exit_status explain_placement(const explain_placement_options& options, environment& env,
                              console& io) {
    const auto fail = [&io](const std::string& message) {
        return report_error(exit_status::bad_input, message, io);
    };
    const auto text = settings::read_file(options.path);
    if (!text)
        return fail(absl::StrCat(options.path, ": cannot be read: ", text.error().message()));
    if (text.value().size() > max_job_bytes)
        return fail(absl::StrCat(options.path, ": longer than ", max_job_bytes, " bytes"));
    json request = {{"job", json::parse(text.value(), nullptr, false)}};
    if (!request.at("job").is_object())
        return fail(options.path + ": not a JSON object");
    if (options.queue.empty()) {
        request["host"] = options.host;
        request["path"] = options.route;
    } else {
        request["queue"] = options.queue;
    }
    if (options.patience_ms > 0)
        request["patience_ms"] = options.patience_ms;
    const auto entry = "entry " + options.entry.to_string() + ": ";
    const auto body = request.dump(-1, ' ', false, json::error_handler_t::replace);
    const auto answer = env.post(options.entry, "/explain-placement", body);
    if (!answer)
        return fail(entry + answer.error().message());
    if (answer.value().status != status_ok)
        return fail(entry + error_of(answer.value()));
    try {
        const json explanation = json::parse(answer.value().body);
        // Completed first, so that a malformed answer prints no half of a table.
        std::ostringstream table;
        print_answer(explanation, table);
        if (io.json)
            print_json(explanation, io);
        else
            io.out << table.str();
    } catch (const json::exception&) {
        return fail(entry + "the answer is malformed");
    }
    return exit_status::ok;
}

} // namespace savorytrail::control
