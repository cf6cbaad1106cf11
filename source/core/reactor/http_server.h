// An HTTP/1.1 server on the event loop. A connection takes no thread, so that clients may keep idle
// ones open. A response may be sent at any time after its request; until then the server keeps
// reading from the connection, and reports when the client has disconnected.
#pragma once

#include <functional>
#include <memory>

#include "core/common/endpoint.h"
#include "core/common/error.h"
#include "core/reactor/http_types.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

struct server_limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 262144;
    std::size_t max_connections = 3000;

    bool operator==(const server_limits&) const = default;
};

// Sends the response to one request. Used on the loop's thread only.
class responder {
public:
    virtual ~responder() = default;

    // Only the first call has an effect, and none after the client has disconnected.
    virtual void send(http_response response) = 0;

    // Calls `callback` once if the connection ends before the response has been sent.
    virtual void on_disconnect(std::function<void()> callback) = 0;

protected:
    responder() = default;
    responder(const responder&) = default;
    responder& operator=(const responder&) = default;
};

class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<responder>)>;

    http_server(loop& event_loop, server_limits limits, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    common::result<void> listen(const common::endpoint& at);

    // From now on every response closes its connection, so that clients reconnect to other entries.
    void close_after_responses();

    // Closes all connections at once, also those that await a response.
    void close_connections();

    std::size_t connections() const;

    struct state;

private:
    const std::shared_ptr<state> m_state;
};

} // namespace savorytrail::reactor
