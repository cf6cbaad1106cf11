// An HTTP/1.1 client on the event loop. It pools keep-alive connections for each address and sends
// one request at a time on each. Every request has its own time-out; a connection whose request
// timed out is closed, since a late response would be taken for that of the next request, and so
// are the idle ones to the same address, which may have gone silent with it. So is one on which
// more arrives than the response. Interim responses (1xx) are skipped.
//
// An address may lead to another process than before, when the peer has restarted. A connection
// leads to one process for all its life, so that a request which must not reach another one can ask
// for a connection that is known to lead to the right one.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/reactor/http_types.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

// Why a request did not succeed, for logs.
std::string describe(const common::result<http_response>& it);

// A process at the other end of a connection, by a number that the client's user gives it.
using peer_process = std::int64_t;
constexpr peer_process any_process = 0;

// Which connection a request may take. If no pooled one is as asked, it opens a new one.
struct send_options {
    bool new_connection = false; // do not reuse a pooled one
    // Do not reuse a pooled one that is not known to lead to this process.
    peer_process to_process = any_process;
};

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

    canceller send(const common::endpoint& to, http_request request, common::milliseconds timeout,
                   callback done, send_options options = {});

    // To be called with a response: the connection that it came on leads to this process.
    void note_process(const common::endpoint& at, const http_response& from, peer_process process);
    // Whether a pooled connection that can be used is known to lead to the process.
    bool has_idle(const common::endpoint& to, peer_process process) const;

    // Closes the pooled connections to an address that is no longer used.
    void close_idle(const common::endpoint& at);

    struct state;

private:
    const std::shared_ptr<state> m_state;
};

} // namespace savorytrail::reactor
