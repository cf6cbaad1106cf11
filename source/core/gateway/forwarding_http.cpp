#include "core/gateway/forwarding_http.h"

#include "core/gateway/forwarding_codec.h"

namespace savorytrail::gateway {
namespace {

// Added to the job's patience, within which the dispatcher answers.
constexpr common::milliseconds outcome_slack{200};
constexpr common::milliseconds abandon_timeout{300};

} // namespace

reactor::http_request post(const char* path, std::string body) {
    reactor::http_request request;
    request.method = "POST";
    request.target = path;
    request.headers = {{"Content-Type", protobuf_type}};
    request.body = std::move(body);
    return request;
}

forwarding_client::canceller http_forwarding_client::forward(const common::endpoint& to,
                                                             const passed_job& it, callback done) {
    return m_client.send(to, post(job_path, encode(it)), it.job.patience + outcome_slack,
                         [done = std::move(done)](const auto& response) {
                             done(read_response(response, decode_outcome));
                         });
}

void http_forwarding_client::abandon(const common::endpoint& to, const abandoned_job& it) {
    // Best effort: the receiver also sees the connection close, or is told when it asks for leases.
    m_client.send(to, post(abandon_path, encode(it)), abandon_timeout, [](const auto&) {});
}

} // namespace savorytrail::gateway
