// JSON request and response bodies of HTTP handlers.
#pragma once

#include <functional>

#include "httplib.h"
#include "nlohmann/json.hpp"

namespace savorytrail::stand_ins {

void respond_json(httplib::Response& response, int status, const nlohmann::json& body);

// Wraps a handler that takes the parsed body. Malformed JSON, a missing field and a field of the
// wrong type are answered with status 400 and the error.
using json_handler =
    std::function<void(const httplib::Request&, const nlohmann::json&, httplib::Response&)>;
httplib::Server::Handler with_json(json_handler handler);

// The value of a numeric query parameter, or `default_value` if it is missing or not a number.
long long number_parameter(const httplib::Request& request, const char* name,
                           long long default_value);

} // namespace savorytrail::stand_ins
