// An HTTP server for callers that may be slow or malicious. A request's header and body must arrive
// within a time limit, so that no caller can occupy a thread indefinitely. The number of
// connections is limited: at the limit, a new connection evicts the one that has waited longest for
// its caller's bytes, and is refused with 503 when no connection can be evicted. Idle connections
// cause no wake-ups and are closed immediately when the server stops.
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
    std::chrono::milliseconds write_time{5000};  // of one response
    std::chrono::milliseconds idle_time{60000};  // between requests on a keep-alive connection

    bool operator==(const caller_server_limits&) const = default;
};

class caller_server {
public:
    explicit caller_server(caller_server_limits limits);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    // The server to register routes on, before serve().
    httplib::Server& routes();
    // Sets the function that writes the body of responses not produced by a route: unknown paths,
    // malformed requests and exceeded limits.
    void set_error_writer(std::function<void(httplib::Response&)> writer);
    std::error_code bind(const common::endpoint& address);
    // Serves until stop().
    void serve();
    // Closes idle connections, lets requests in progress complete and waits until serve() returns.
    void stop();

private:
    class server;
    const std::unique_ptr<server> m_server;
};

} // namespace savorytrail::http
