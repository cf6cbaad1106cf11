// Prepares a cpp-httplib server: socket options, limits, and a listen queue deep enough for bursts.
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
    std::chrono::milliseconds read_timeout{5000}; // longest silence within a request
    std::chrono::seconds keep_alive{60};          // longest idle time of a kept connection

    bool operator==(const server_limits&) const = default;
};

// Applies the limits and binds. Routes are set before; afterwards call listen_after_bind().
std::error_code bind_server(httplib::Server& server, const common::endpoint& address,
                            const server_limits& limits);

} // namespace savorytrail::http
