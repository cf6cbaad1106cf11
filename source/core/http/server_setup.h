// Configures a cpp-httplib server: socket options, limits, and a listen backlog for bursts.
#pragma once

#include <chrono>
#include <cstddef>
#include <system_error>

#include "core/common/endpoint.h"

namespace httplib {
class Server;
}

namespace savorytrail::http {

struct server_limits {
    std::size_t threads = 64; // connections served at once
    std::size_t max_body_bytes = 4 << 20;
    std::chrono::milliseconds read_timeout{5000}; // longest time without a byte within a request
    std::chrono::seconds keep_alive{60};          // idle timeout of a keep-alive connection

    bool operator==(const server_limits&) const = default;
};

// Applies the limits and binds. Register routes before; call listen_after_bind() afterwards.
std::error_code bind_server(httplib::Server& server, const common::endpoint& address,
                            const server_limits& limits);

} // namespace savorytrail::http
