// Converts forwarded requests and their results.
#include "core/peer/codec.h"

#include "core/job/job_codec.h"
#include "peer.pb.h"

namespace savorytrail::peer {

void to_message(const forward_request& value, schema::forward_request& out) {
    out.set_kind(static_cast<schema::request_kind>(value.kind));
    out.set_submission_id(submission::to_string(value.id));
    if (value.job)
        job::to_message(*value.job, *out.mutable_job());
    out.set_wait_ms(value.wait.count());
    out.set_came_in_at(value.came_in_at);
}

std::optional<forward_request> from_message(const schema::forward_request& message) {
    const auto id = submission::parse_submission_id(message.submission_id());
    if (!id || !schema::request_kind_IsValid(message.kind()))
        return std::nullopt;

    forward_request value;
    value.kind = static_cast<request_kind>(message.kind());
    value.id = *id;
    if (message.has_job())
        value.job = job::from_message(message.job());
    if (value.kind == request_kind::submit && (!value.job || value.job->tasks.empty()))
        return std::nullopt;
    value.wait = common::milliseconds(message.wait_ms());
    value.came_in_at = message.came_in_at();
    return value;
}

void to_message(const forward_result& value, schema::forward_reply& out) {
    out.set_outcome(static_cast<schema::forward_outcome>(value.outcome));
    job::to_message(value.answer, *out.mutable_answer());
    out.mutable_current()->set_high(value.current.high);
    out.mutable_current()->set_low(value.current.low);
    out.set_story(value.story);
}

std::optional<forward_result> from_message(const schema::forward_reply& message) {
    if (!schema::forward_outcome_IsValid(message.outcome()))
        return std::nullopt;
    auto answer = job::from_message(message.answer());
    if (!answer)
        return std::nullopt;
    return forward_result{static_cast<forward_outcome>(message.outcome()),
                          std::move(*answer),
                          {message.current().high(), message.current().low()},
                          message.story()};
}

} // namespace savorytrail::peer
