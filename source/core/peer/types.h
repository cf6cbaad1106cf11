// Requests that one entry forwards to another, and their results.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/clock.h"
#include "core/job/job.h"
#include "core/submission/submission_id.h"

namespace savorytrail::peer {

enum class request_kind : std::uint8_t { submit, query, cancel, story };

struct forward_request {
    request_kind kind = request_kind::query;
    submission::submission_id id;
    std::optional<job::job> job; // set for submit
    common::milliseconds wait{0};
    std::string came_in_at; // VM name of the entry that received the caller's request

    bool operator==(const forward_request&) const = default;
};

enum class forward_outcome : std::uint8_t { answered, not_home, different_body, forged };

struct forward_result {
    forward_outcome outcome = forward_outcome::answered;
    job::answer answer;
    submission::incarnation current; // incarnation of the process that replied
    std::string story;               // JSON; empty unless a story was requested and is known

    bool operator==(const forward_result&) const = default;
};

} // namespace savorytrail::peer
