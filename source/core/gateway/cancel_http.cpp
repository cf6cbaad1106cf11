#include "core/gateway/cancel_http.h"

#include "core/gateway/forwarding_http.h"

namespace savorytrail::gateway {
namespace {

constexpr common::milliseconds cancel_timeout{500};

} // namespace

void http_cancel_client::cancel(const common::endpoint& to, const cancelled_job& it,
                                callback done) {
    m_client.send(to, post(cancel_path, encode(it)), cancel_timeout,
                  [done = std::move(done)](const auto& response) {
                      done(read_response(response, decode_cancel_answer));
                  });
}

} // namespace savorytrail::gateway
