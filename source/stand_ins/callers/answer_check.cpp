// Parsing and validation of entries' answers.
#include "stand_ins/callers/answer_check.h"

#include "nlohmann/json.hpp"
#include "stand_ins/http/name_table.h"

namespace savorytrail::stand_ins {
namespace {

using nlohmann::json;

constexpr name_table<answer_state, 7> state_names{{
    {"complete", answer_state::complete},
    {"failed", answer_state::failed},
    {"refused", answer_state::refused},
    {"unavailable", answer_state::unavailable},
    {"running", answer_state::running},
    {"bad_request", answer_state::bad_request},
    {"no_answer", answer_state::no_answer},
}};

// The string member `key`, or "" when it is missing or not a string.
std::string text_of(const json& object, const char* key) {
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string echo_of(const json& result) {
    const auto body = json::parse(text_of(result, "body"), nullptr, false);
    return body.is_object() ? text_of(body, "echo") : "";
}

void check_results(const generated_job& job, const json& results, checked_answer& answer) {
    if (results.size() != job.bodies.size()) {
        answer.partial = true;
        answer.problem = "the number of results differs from the number of tasks";
        return;
    }
    for (std::size_t i = 0; i < results.size(); i++) {
        if (results[i].value("status", 0) != 200)
            continue;
        const auto echo = echo_of(results[i]);
        if (echo == job.bodies[i])
            continue;
        const bool is_other_task = echo.starts_with("job ");
        answer.crossed = answer.crossed || is_other_task;
        answer.wrong = answer.wrong || !is_other_task;
        answer.problem =
            "result " + std::to_string(i) + " does not echo its task: " + results[i].dump();
    }
}

answer_state state_from_status(int status) {
    if (status == 503)
        return answer_state::unavailable;
    return status >= 400 && status < 500 ? answer_state::bad_request : answer_state::no_answer;
}

} // namespace

std::string_view name_of(answer_state state) {
    return find_name(state_names, state);
}

bool is_final(answer_state state) {
    return state == answer_state::complete || state == answer_state::failed ||
           state == answer_state::refused || state == answer_state::bad_request;
}

checked_answer check_answer(const generated_job& job, const std::string& id, int status,
                            const std::string& text) {
    checked_answer answer;
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        answer.problem = "the body is not a JSON object, status " + std::to_string(status);
        return answer;
    }
    const auto name = text_of(body, "state");
    answer.state = find_value(state_names, name).value_or(state_from_status(status));
    answer.retry_after = common::milliseconds(body.value("retry_after_ms", 0));
    answer.problem = name.empty() ? text : text_of(body, "reason");
    if (const auto answered_id = text_of(body, "id"); !answered_id.empty() && answered_id != id) {
        answer.crossed = true;
        answer.problem = "the answer is for id " + answered_id;
    }
    const auto results = body.value("results", json::array());
    if (answer.state == answer_state::complete) {
        check_results(job, results, answer);
    } else if (!results.empty()) {
        answer.partial = true;
        answer.problem = "an incomplete answer has results";
    }
    return answer;
}

} // namespace savorytrail::stand_ins
