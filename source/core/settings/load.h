// Loads a schema message from TOML text: defaults, overridden by the file, overridden by
// assignments from the command line. One pass finds all problems and returns them in file order.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/settings/problem.h"
#include "core/settings/text.h"

namespace google::protobuf {
class Message;
}

namespace savorytrail::schema {
class entry_settings;
class manifest;
} // namespace savorytrail::schema

namespace savorytrail::settings {

// Position of each valid value. A key that is absent from the file has no entry.
using position_map = std::map<std::string, position>;

struct populate_result {
    std::string file_name;
    std::vector<problem> problems;
    position_map positions;
};

struct config_source {
    std::string text;
    std::string file_name;                // as shown in problems
    std::vector<std::string> assignments; // such as "callers.threads=8"

    bool operator==(const config_source&) const = default;
};

// Validates each key by itself. Keys with problems keep their defaults in `out`.
populate_result populate(const config_source& source, google::protobuf::Message& out);

// Finds settings that conflict with each other. Ignores values that are invalid by themselves.
std::vector<problem> find_conflicts(const schema::entry_settings& value,
                                    const populate_result& from);
std::vector<problem> find_conflicts(const schema::manifest& value, const populate_result& from);

void sort_in_file_order(std::vector<problem>& problems, const std::string& file_name);

template <class Message>
struct load_result {
    Message value;
    std::vector<problem> problems; // in file order; `value` is usable only when there are none

    bool ok() const { return problems.empty(); }
};

template <class Message>
load_result<Message> load(const config_source& source) {
    load_result<Message> result;
    populate_result from = populate(source, result.value);
    std::vector<problem> conflicts = find_conflicts(result.value, from);
    result.problems = std::move(from.problems);
    result.problems.insert(result.problems.end(), conflicts.begin(), conflicts.end());
    sort_in_file_order(result.problems, source.file_name);
    return result;
}

template <class Message>
load_result<Message> load_file(const std::string& path, std::vector<std::string> assignments = {}) {
    const common::result<std::string> text = read_file(path);
    if (!text)
        return {{}, {{path, 0, 0, "", "cannot be read: " + text.error().message()}}};
    return load<Message>({text.value(), path, std::move(assignments)});
}

} // namespace savorytrail::settings
