// HTTP status codes and JSON bodies of responses.
#include "core/front/replies.h"

#include <nlohmann/json.hpp>

#include "core/job/job_json.h"

namespace savorytrail::front {
namespace {

int status_of(const job::answer& answer) {
    switch (answer.state) {
    case job::answer_state::running:
        return 202;
    case job::answer_state::unavailable:
        return answer.why == job::reason::never_submitted ? 404 : 503;
    case job::answer_state::complete:
    case job::answer_state::failed:
    case job::answer_state::refused:
        return 200;
    }
    return 200;
}

} // namespace

reply error_reply(int status, std::string_view code, std::string_view field,
                  std::string_view message) {
    nlohmann::json error = {{"code", code}, {"message", message}};
    if (!field.empty())
        error["field"] = field;
    const nlohmann::json body = {{"error", error}};
    return {status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), {}};
}

reply result_reply(const peer::forward_result& result, std::string_view submission_id) {
    switch (result.outcome) {
    case peer::forward_outcome::different_body:
        return error_reply(409, "different_body", "id",
                           "this id was submitted with another job before");
    case peer::forward_outcome::forged:
        return error_reply(400, "invalid_id", "id", "no entry issued this id");
    case peer::forward_outcome::answered:
    case peer::forward_outcome::not_home:
        break;
    }
    return {status_of(result.answer), job::to_json(result.answer, submission_id),
            result.answer.retry_after};
}

} // namespace savorytrail::front
