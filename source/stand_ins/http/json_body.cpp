// JSON request and response bodies of HTTP handlers.
#include "stand_ins/http/json_body.h"

#include <charconv>

namespace savorytrail::stand_ins {

using nlohmann::json;

void respond_json(httplib::Response& response, int status, const json& body) {
    response.status = status;
    // Invalid UTF-8 is replaced, so that any request body can be echoed.
    response.set_content(body.dump(-1, ' ', false, json::error_handler_t::replace),
                         "application/json");
}

httplib::Server::Handler with_json(json_handler handler) {
    return [handler = std::move(handler)](const httplib::Request& request,
                                          httplib::Response& response) {
        try {
            handler(request, json::parse(request.body), response);
        } catch (const json::exception& error) {
            respond_json(response, 400, {{"error", error.what()}});
        }
    };
}

long long number_parameter(const httplib::Request& request, const char* name,
                           long long default_value) {
    const auto text = request.get_param_value(name);
    long long value = default_value;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() ? value : default_value;
}

} // namespace savorytrail::stand_ins
