// JSON bodies in handlers: a field that is missing or of the wrong type becomes a 400 with a
// reason.
#pragma once

#include <functional>

#include "httplib.h"
#include "nlohmann/json.hpp"

namespace savorytrail::stand_ins {

void respond_json(httplib::Response& response, int status, const nlohmann::json& body);

// Wraps a handler that takes the parsed body.
using json_handler =
    std::function<void(const httplib::Request&, const nlohmann::json&, httplib::Response&)>;
httplib::Server::Handler with_json(json_handler handler);

// The number in the query parameter, or `default_value`.
long long number_parameter(const httplib::Request& request, const char* name,
                           long long default_value);

} // namespace savorytrail::stand_ins
