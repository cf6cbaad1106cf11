// An HTTP server for callers who may be slow or hostile. A request's header and body must arrive
// within a bounded time, so that no caller can hold a thread. The number of connections is bounded:
// when it is reached, a new connection takes the place of the one that has waited longest for its
// caller's bytes, and is refused with 503 when there is none. Connections that are idle cost no
// wake-ups and are closed at once when the server stops.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <system_error>

#include "core/common/endpoint.h"

namespace httplib {
class Server;
struct Response;
} // namespace httplib

namespace savorytrail::http {

struct caller_server_limits {
    std::size_t connections = 256;
    std::size_t max_body_bytes = 4 << 20;
    std::size_t max_header_bytes = 16'384;       // request line and header
    std::chrono::milliseconds header_time{5000}; // from the first byte to the header's end
    std::chrono::milliseconds body_time{5000};   // from the header's end to the body's end
    std::chrono::milliseconds write_time{5000};  // of one answer
    std::chrono::milliseconds idle_time{60000};  // of a kept connection between requests

    bool operator==(const caller_server_limits&) const = default;
};

class caller_server {
public:
    explicit caller_server(caller_server_limits limits);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // For routes, which are set before serve().
    httplib::Server& routes();
    // Writes the body of answers that no route gave: unknown calls, malformed requests, limits.
    void set_error_writer(std::function<void(httplib::Response&)> writer);
    std::error_code bind(const common::endpoint& address);
    // Serves until stop().
    void serve();
    // Closes idle connections at once and waits until serve() has ended; requests that are being
    // served get their answers.
    void stop();

private:
    class server;
    const std::unique_ptr<server> m_server;
};

} // namespace savorytrail::http
