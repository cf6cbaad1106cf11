// A client for HTTP/1.1 on the event loop: keeps connections to each address and sends one request
// at a time on each. Every request has a time-out of its own; a connection whose request timed out
// is closed, since its answer might come later.
#pragma once

#include <functional>
#include <memory>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/reactor/http_types.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

class http_client {
public:
    // The errors are those of common::error: unreachable (nothing was sent), timed_out,
    // connection_lost, malformed.
    using callback = std::function<void(const common::result<http_response>&)>;

    explicit http_client(loop& event_loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Breaks the request off by closing its connection; the callback is then not called.
    using canceller = std::function<void()>;

    // `fresh` asks for a connection that no request has used yet.
    canceller send(const common::endpoint& to, http_request request, common::milliseconds timeout,
                   callback done, bool new_connection = false);

    // Closes the idle connections to an address that is no longer used.
    void close_idle(const common::endpoint& at);

    struct state;

private:
    const std::shared_ptr<state> m_state;
};

} // namespace savorytrail::reactor
