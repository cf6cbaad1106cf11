// Prints a table of entries, followed by the members of their status that have no column.
#include "core/control/status.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/control/entries.h"
#include "core/control/report.h"

namespace savorytrail::control {
namespace {

using nlohmann::json;
using row = std::vector<std::string>;

row to_row(const entry_status& it) {
    const std::string address = it.address.to_string();
    if (it.failure)
        return {address, "-", "-", "-", "-", "-", "-", it.failure.message()};
    return {address,
            it.vm,
            it.failure_domain,
            it.ready ? "yes" : "no",
            absl::StrCat(it.configuration_version),
            absl::StrCat(it.queued_tasks),
            absl::StrCat(it.running_tasks),
            it.incarnation};
}

void print_table(const std::vector<row>& rows, std::ostream& out) {
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (const row& it : rows) {
        for (std::size_t i = 0; i < it.size(); i++)
            widths[i] = std::max(widths[i], it[i].size());
    }
    for (const row& it : rows) {
        for (std::size_t i = 0; i + 1 < it.size(); i++)
            out << std::left << std::setw(static_cast<int>(widths[i]) + 2) << it[i];
        out << it.back() << "\n";
    }
}

// Prints the non-empty members of the answer for which the table has no column.
void print_other_members(const entry_status& it, std::ostream& out) {
    static const std::set<std::string> s_columns{
        "vm",           "failure_domain", "incarnation", "ready", "configuration_version",
        "queued_tasks", "running_tasks"};
    std::string line;
    const json body = json::parse(it.body);
    for (const auto& [name, value] : body.items()) {
        if (s_columns.count(name) == 0 && !value.empty())
            absl::StrAppend(&line, " ", name, "=", value.dump());
    }
    if (!line.empty())
        out << it.vm << ":" << line << "\n";
}

void print_text(const std::vector<entry_status>& entries, std::ostream& out) {
    std::vector<row> rows{
        {"ADDRESS", "VM", "DOMAIN", "READY", "VERSION", "QUEUED", "RUNNING", "INCARNATION"}};
    for (const entry_status& it : entries)
        rows.push_back(to_row(it));
    print_table(rows, out);
    for (const entry_status& it : entries) {
        if (!it.failure)
            print_other_members(it, out);
    }
}

json to_json(const entry_status& it) {
    json result = {{"address", it.address.to_string()}};
    if (it.failure)
        result["error"] = it.failure.message();
    else
        result["status"] = json::parse(it.body);
    return result;
}

} // namespace

exit_status status(const std::vector<common::endpoint>& entries, environment& env, console& io) {
    const std::vector<entry_status> answers = query_entries(entries, env);
    if (io.json) {
        json list = json::array();
        for (const entry_status& it : answers)
            list.push_back(to_json(it));
        print_json({{"entries", list}}, io);
    } else {
        print_text(answers, io.out);
    }
    const bool all_answered = std::none_of(answers.begin(), answers.end(),
                                           [](const entry_status& it) { return bool(it.failure); });
    return all_answered ? exit_status::ok : exit_status::unreachable;
}

} // namespace savorytrail::control
