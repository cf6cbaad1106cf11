// A pool of keep-alive HTTP connections to one server. Its errors tell whether a failed request may
// have reached the server, which decides whether a task may be retried on another executor. A
// request is never sent twice.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"

namespace httplib {
class Client;
}

namespace savorytrail::http {

enum class method { get, post, put, del };

struct request {
    method verb = method::get;
    std::string path;
    std::string body;
    std::string content_type = "application/json";
    std::vector<std::pair<std::string, std::string>> headers;

    bool operator==(const request&) const = default;
};

struct response {
    int status = 0;
    std::string body;

    bool operator==(const response&) const = default;
};

struct client_timeouts {
    std::chrono::milliseconds connect{500};
    std::chrono::milliseconds response{10000};
    // Idle connections are closed after this time. It is below the shortest idle timeout of common
    // servers (5 s), so that a request is not sent on a connection that the server is closing.
    std::chrono::milliseconds idle{4000};

    bool operator==(const client_timeouts&) const = default;
};

class client {
public:
    client(common::endpoint server, client_timeouts timeouts,
           std::size_t max_connections = unlimited_connections);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    static constexpr std::size_t unlimited_connections = SIZE_MAX;

    // Sends one request and waits for its response. common::error::unreachable means that no byte
    // of it was sent; timed_out and connection_lost mean that it may have arrived. After timed_out
    // the other connections are assumed to be broken too and are dropped, as by drop_connections().
    common::result<response> send(const request& message);
    common::result<response> send(const request& message,
                                  std::chrono::milliseconds response_timeout);

    // Closes idle connections and marks those in use, so that none of them is reused.
    void drop_connections();
    // Closes connections that have exceeded the idle timeout or that the server has closed.
    void close_stale();
    // Applies to connections opened afterwards; connections above a lowered limit stay open.
    void set_max_connections(std::size_t n);

    // Number of connections, in use and idle.
    std::size_t connections() const;

private:
    struct connection;
    using connection_ptr = std::unique_ptr<connection>;
    using clock = std::chrono::steady_clock;

    connection_ptr acquire(clock::time_point deadline);
    connection_ptr acquire_idle();
    void release(connection_ptr it);
    void discard(connection_ptr it);
    connection_ptr open() const;
    bool is_stale(const connection& it, clock::time_point now) const;
    common::result<response> exchange(connection& it, const request& message,
                                      std::chrono::milliseconds response_timeout) const;

    const common::endpoint m_server;
    const client_timeouts m_timeouts;
    mutable std::mutex m_mutex; // guards all below
    std::condition_variable m_returned;
    std::vector<connection_ptr> m_idle; // longest idle first
    std::size_t m_in_use =
        0; // together with m_idle at most m_max_connections, unless that was lowered
    std::size_t m_max_connections;
    std::uint64_t m_generation = 0; // incremented by drop_connections()
};

} // namespace savorytrail::http
