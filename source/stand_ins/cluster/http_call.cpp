// Single HTTP calls.
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::stand_ins {

common::result<http::response> call(const common::endpoint& server, http::method verb,
                                    const std::string& path, const std::string& body,
                                    std::chrono::milliseconds bound) {
    http::client client(server, {.connect = bound, .response = bound});
    http::request message;
    message.verb = verb;
    message.path = path;
    message.body = body;
    return client.send(message);
}

std::error_code put(const common::endpoint& server, const std::string& path,
                    const std::string& body) {
    const auto answer = call(server, http::method::put, path, body);
    if (!answer)
        return answer.error();
    if (answer.value().status != 200)
        return make_error_code(common::error::unavailable);
    return {};
}

} // namespace savorytrail::stand_ins
