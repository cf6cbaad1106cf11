// HTTP server of the stand-ins: a cpp-httplib server whose handlers can inject faults. A handler
// may hold a request until the client disconnects, or close the connection without a response. Idle
// connections wait without polling, and threads are started on demand, one per connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

#include "core/common/endpoint.h"
#include "httplib.h"

namespace savorytrail::stand_ins {

// An accepted connection, as seen by the handler of its current request.
class server_connection {
public:
    explicit server_connection(int socket) : m_socket(socket) {}

    // Closes the connection without a response when the handler returns.
    void abandon() { m_abandoned = true; }
    // Blocks until the client closes the connection, then abandons it.
    void wait_for_close();
    // Excludes the current request from the server's byte counts.
    void exclude_from_counts() { m_excluded = true; }

    // The connection whose request the calling thread handles.
    static server_connection& current();

private:
    friend class fault_server;
    const int m_socket;
    bool m_abandoned = false;
    bool m_excluded = false;
};

struct byte_counts {
    std::uint64_t in = 0;
    std::uint64_t out = 0;

    bool operator==(const byte_counts&) const = default;
};

class fault_server : public httplib::Server {
public:
    // Binds the address. Handlers may be registered before or after it; listen_after_bind() then
    // serves until the process ends.
    std::error_code bind(const common::endpoint& address, std::size_t max_threads);

    // Bytes of all requests and responses including headers, except excluded ones.
    byte_counts bytes() const { return {m_bytes_in.load(), m_bytes_out.load()}; }

    // Called when a connection ends, on the thread that served it.
    std::function<void()> on_connection_end = [] {};

private:
    bool process_and_close_socket(socket_t socket) override;

    std::atomic<std::uint64_t> m_bytes_in{0};
    std::atomic<std::uint64_t> m_bytes_out{0};
};

} // namespace savorytrail::stand_ins
