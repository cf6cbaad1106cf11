#include "core/gateway/cancel_http.h"

#include "core/gateway/forwarding_http.h"

namespace savorytrail::gateway {
namespace {

constexpr common::milliseconds cancel_timeout{500};

} // namespace

void http_cancel_client::cancel(const common::endpoint& to, const cancelled_job& it,
                                callback done) {
    m_client.send(to, post(cancel_path, encode(it)), cancel_timeout,
                  [done = std::move(done)](const common::result<reactor::http_response>& response) {
                      if (!response) {
                          done(response.error());
                          return;
                      }
                      const auto was_open = decode_cancel_answer(response.value().body);
                      if (response.value().status != 200 || !was_open) {
                          done(make_error_code(common::error::malformed));
                          return;
                      }
                      done(*was_open);
                  });
}

} // namespace savorytrail::gateway
