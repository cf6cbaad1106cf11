// An HTTP/1.1 client on the event loop. It pools keep-alive connections for each address and sends
// one request at a time on each. Every request has its own time-out; a connection whose request
// timed out is closed, since a late response would be taken for that of the next request, and so
// are the idle ones to the same address, which may have gone silent with it. So is one on which
// more arrives than the response. Interim responses (1xx) are skipped.
#pragma once

#include <functional>
#include <memory>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/reactor/http_types.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

// Why a request did not succeed, for logs.
std::string describe(const common::result<http_response>& it);

class http_client {
public:
    // The errors are those of common::error: unreachable (nothing was sent), timed_out,
    // connection_lost, malformed.
    using callback = std::function<void(const common::result<http_response>&)>;

    explicit http_client(loop& event_loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    // Cancels the request by closing its connection; its callback is not called any more.
    using canceller = std::function<void()>;

    // With `new_connection`, the request does not reuse a pooled connection.
    canceller send(const common::endpoint& to, http_request request, common::milliseconds timeout,
                   callback done, bool new_connection = false);

    // Closes the pooled connections to an address that is no longer used.
    void close_idle(const common::endpoint& at);

    struct state;

private:
    const std::shared_ptr<state> m_state;
};

} // namespace savorytrail::reactor
