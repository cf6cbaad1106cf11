// Validates an entry's answer against the job that was submitted.
#pragma once

#include <optional>
#include <string>

#include "core/common/clock.h"
#include "stand_ins/callers/job_generator.h"

namespace savorytrail::stand_ins {

enum class answer_state {
    complete,
    failed,
    refused,
    unavailable,
    running,
    bad_request, // the entry rejected the request
    no_answer,   // the connection failed or the answer cannot be read
};

std::string_view name_of(answer_state state);

// Whether a further request with the same id must return the same state.
bool is_final(answer_state state);

struct checked_answer {
    answer_state state = answer_state::no_answer;
    bool wrong = false;   // a result that is not the echo of its task's body
    bool partial = false; // a complete answer that lacks results, or any other answer that has some
    bool crossed = false; // has the id or a result of another task or job
    common::milliseconds retry_after{0};
    std::string problem; // the defect that was found, or the reason that the entry gave

    bool is_sound() const { return !wrong && !partial && !crossed; }
    bool operator==(const checked_answer&) const = default;
};

// `status` and `text` are the HTTP status and body that the entry sent. Only results with the
// upstream status 200 are compared with their task's body.
checked_answer check_answer(const generated_job& job, const std::string& id, int status,
                            const std::string& text);

} // namespace savorytrail::stand_ins
