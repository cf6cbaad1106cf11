// Conversion of results to HTTP responses: status codes, headers and error bodies (docs/API.md).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/peer/types.h"

namespace savorytrail::front {

struct reply {
    int status = 200;
    std::string body;
    std::optional<common::milliseconds> retry_after;

    bool operator==(const reply&) const = default;
};

reply error_reply(int status, std::string_view code, std::string_view field,
                  std::string_view message);
reply result_reply(const peer::forward_result& result, std::string_view submission_id);

} // namespace savorytrail::front
