// HTTP requests of tests, on a new connection each.
#pragma once

#include <chrono>
#include <string>
#include <system_error>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/http/client.h"

namespace savorytrail::stand_ins {

constexpr std::chrono::milliseconds default_call_timeout{10'000};

common::result<http::response> call(const common::endpoint& server, http::method verb,
                                    const std::string& path, const std::string& body = "",
                                    std::chrono::milliseconds timeout = default_call_timeout);

// Sends a control call. Any status other than 200 is error::unavailable.
std::error_code put(const common::endpoint& server, const std::string& path,
                    const std::string& body);

} // namespace savorytrail::stand_ins
