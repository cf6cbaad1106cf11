// Forwards jobs to the dispatchers of other entries over HTTP. A connection carries one job at a
// time; closing it before the outcome has come abandons the job.
#pragma once

#include "core/gateway/gateway.h"
#include "core/reactor/http_client.h"

namespace savorytrail::gateway {

// Paths of the requests between entries, and the type of their bodies.
constexpr const char* job_path = "/jobs";
constexpr const char* abandon_path = "/abandoned";
constexpr const char* cancel_path = "/cancelled";
constexpr const char* protobuf_type = "application/x-protobuf";

// A request to another entry; `body` is an encoded message.
reactor::http_request post(const char* path, std::string body);

// The content of another entry's response, by a decoder that returns an optional.
template <typename Decoder>
auto read_response(const common::result<reactor::http_response>& it, const Decoder& decode)
    -> common::result<typename decltype(decode(std::string()))::value_type> {
    if (!it) {
        return it.error();
    }
    const auto content = decode(it.value().body);
    if (it.value().status != 200 || !content) {
        return make_error_code(common::error::malformed);
    }
    return *content;
}

class http_forwarding_client final : public forwarding_client {
public:
    explicit http_forwarding_client(reactor::http_client& client) : m_client(client) {}

    canceller forward(const common::endpoint& to, const passed_job& it, callback done) override;
    void abandon(const common::endpoint& to, const abandoned_job& it) override;

private:
    reactor::http_client& m_client;
};

} // namespace savorytrail::gateway
