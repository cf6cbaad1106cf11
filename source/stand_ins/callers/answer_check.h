// Judges an entry's answer against the job that was sent.
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
    bad_request, // the entry rejects the call
    no_answer,   // the connection failed or the answer cannot be read
};

std::string_view name_of(answer_state state);

// Whether no other answer can follow under the same id.
bool is_final(answer_state state);

struct checked_answer {
    answer_state state = answer_state::no_answer;
    bool wrong = false;   // a result that is not the echo of its task's body
    bool partial = false; // a complete answer without all results, or another one with some
    bool crossed = false; // holds something of another job
    common::milliseconds retry_after{0};
    std::string problem; // what is wrong, or the entry's reason

    bool is_sound() const { return !wrong && !partial && !crossed; }
    bool operator==(const checked_answer&) const = default;
};

// `status` and `text` as the entry sent them. Results that an upstream answered with another status
// than 200 need not echo.
checked_answer check_answer(const generated_job& job, const std::string& id, int status,
                            const std::string& text);

} // namespace savorytrail::stand_ins
