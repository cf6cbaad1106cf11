// Strict JSON parsing of jobs: unknown keys and wrong types are errors that name the field.
#include "core/job/job_json.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace savorytrail::job {
namespace {

using nlohmann::json;

// Thrown by the field readers and caught within this file only.
struct field_error {
    invalid_field error;
};

[[noreturn]] void reject(std::string field, std::string message) {
    throw field_error{{std::move(field), std::move(message)}};
}

json parse_object(std::string_view text) {
    // Nesting is limited because the parser recurses; a valid job nests three levels.
    constexpr int max_depth = 8;
    bool too_deep = false;
    const json::parser_callback_t check_depth = [&too_deep](int depth, json::parse_event_t, json&) {
        too_deep = too_deep || depth > max_depth;
        return !too_deep;
    };
    json value = json::parse(text, check_depth, false);
    if (too_deep)
        reject("body", "is nested too deeply");
    if (value.is_discarded())
        reject("body", "is not valid JSON");
    if (!value.is_object())
        reject("body", "must be a JSON object");
    return value;
}

const json& member(const json& object, const char* key, const std::string& field) {
    const auto it = object.find(key);
    if (it == object.end())
        reject(field, "is missing");
    return *it;
}

std::string read_text(const json& value, const std::string& field, std::size_t max_bytes,
                      bool allow_empty) {
    if (!value.is_string())
        reject(field, "must be a string");
    auto text = value.get<std::string>();
    if (text.empty() && !allow_empty)
        reject(field, "must not be empty");
    if (text.size() > max_bytes)
        reject(field, absl::StrCat("must be at most ", max_bytes, " bytes, has ", text.size()));
    return text;
}

common::milliseconds read_milliseconds(const json& value, const std::string& field,
                                       common::milliseconds max) {
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > std::uint64_t(max.count()))
        reject(field, absl::StrCat("must be a whole number from 0 to ", max.count()));
    return common::milliseconds(value.get<std::int64_t>());
}

void reject_unknown_keys(const json& object, std::initializer_list<std::string_view> known,
                         const std::string& prefix) {
    for (const auto& it : object.items()) {
        if (std::find(known.begin(), known.end(), it.key()) == known.end())
            reject(prefix + it.key(), "is not a known key");
    }
}

task read_task(const json& value, const std::string& field, const job_limits& limits) {
    if (!value.is_object())
        reject(field, "must be an object");
    const std::string prefix = field + ".";
    reject_unknown_keys(value, {"path", "body", "idempotent", "expected_ms"}, prefix);

    task it;
    it.path = read_text(member(value, "path", prefix + "path"), prefix + "path",
                        limits.max_path_bytes, false);
    const bool is_printable = std::all_of(it.path.begin(), it.path.end(),
                                          [](unsigned char c) { return c > ' ' && c < 0x7f; });
    if (it.path.front() != '/' || !is_printable)
        reject(prefix + "path", "must begin with '/' and hold printable ASCII without blanks");

    if (value.contains("body"))
        it.body = read_text(value["body"], prefix + "body", limits.max_task_body_bytes, true);
    if (value.contains("idempotent")) {
        if (!value["idempotent"].is_boolean())
            reject(prefix + "idempotent", "must be true or false");
        it.idempotent = value["idempotent"].get<bool>();
    }
    if (value.contains("expected_ms"))
        it.expected =
            read_milliseconds(value["expected_ms"], prefix + "expected_ms", limits.max_deadline);
    return it;
}

std::vector<task> read_tasks(const json& value, const job_limits& limits) {
    if (!value.is_array())
        reject("tasks", "must be an array");
    if (value.empty() || value.size() > limits.max_tasks)
        reject("tasks",
               absl::StrCat("must hold 1 to ", limits.max_tasks, " tasks, has ", value.size()));

    std::vector<task> tasks;
    tasks.reserve(value.size());
    for (std::size_t i = 0; i < value.size(); i++)
        tasks.push_back(read_task(value[i], absl::StrCat("tasks[", i, "]"), limits));
    return tasks;
}

job read_job(std::string_view text, const job_limits& limits) {
    constexpr std::size_t max_name_bytes = 64;
    const json value = parse_object(text);
    reject_unknown_keys(value, {"team", "upstream", "deadline_ms", "tasks"}, "");

    job it;
    it.team = read_text(member(value, "team", "team"), "team", max_name_bytes, false);
    it.upstream =
        read_text(member(value, "upstream", "upstream"), "upstream", max_name_bytes, false);
    if (value.contains("deadline_ms"))
        it.deadline = read_milliseconds(value["deadline_ms"], "deadline_ms", limits.max_deadline);
    it.tasks = read_tasks(member(value, "tasks", "tasks"), limits);
    return it;
}

} // namespace

std::variant<job, invalid_field> parse_job(std::string_view text, const job_limits& limits) {
    try {
        return read_job(text, limits);
    } catch (const field_error& it) {
        return it.error;
    }
}

std::variant<std::size_t, invalid_field> parse_count(std::string_view text, std::size_t max_count) {
    if (text.empty())
        return std::size_t{1};
    try {
        const json value = parse_object(text);
        reject_unknown_keys(value, {"count"}, "");
        if (!value.contains("count"))
            return std::size_t{1};
        const json& count = value["count"];
        if (!count.is_number_unsigned() || count.get<std::uint64_t>() < 1 ||
            count.get<std::uint64_t>() > max_count)
            reject("count", absl::StrCat("must be a whole number from 1 to ", max_count));
        return count.get<std::size_t>();
    } catch (const field_error& it) {
        return it.error;
    }
}

std::string to_json(const answer& value, std::string_view submission_id) {
    json it = {{"state", to_string(value.state)}};
    if (!submission_id.empty())
        it["id"] = submission_id;
    if (value.why != reason::none)
        it["reason"] = to_string(value.why);
    if (!value.detail.empty())
        it["detail"] = value.detail;
    if (value.retry_after)
        it["retry_after_ms"] = value.retry_after->count();
    for (const auto& result : value.results)
        it["results"].push_back({{"status", result.status}, {"body", result.body}});
    for (const auto& state : value.tasks)
        it["tasks"].push_back(to_string(state));
    // Replaces the invalid bytes of a body that is not UTF-8, because JSON cannot represent them.
    return it.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace savorytrail::job
