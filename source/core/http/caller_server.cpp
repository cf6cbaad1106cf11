// The connection loop and the limit on open connections.
#include "core/http/caller_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <list>
#include <mutex>
#include <string_view>
#include <thread>

#include "core/http/connection_stream.h"
#include "core/http/server_setup.h"

namespace savorytrail::http {
namespace {

using std::chrono::steady_clock;

// A connection that has waited for less than this is not evicted.
constexpr std::chrono::milliseconds min_wait_before_eviction{500};
// Threads beyond the connection limit, for refusing connections and for connections that replace an
// evicted one whose thread has not ended yet.
constexpr std::size_t spare_threads = 16;
constexpr std::string_view too_many_connections_response =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\n"
    "Connection: close\r\nContent-Length: 88\r\n\r\n"
    "{\"error\":{\"code\":\"too_many_connections\",\"message\":\"this entry has no connection "
    "free\"}}\n";

constexpr bool has_body_length(std::string_view response, std::size_t body_length) {
    return response.size() - (response.find("\r\n\r\n") + 4) == body_length;
}
static_assert(has_body_length(too_many_connections_response, 88));

constexpr std::chrono::milliseconds stop_poll_interval{5};

// After these statuses the unread rest of the request cannot be told from the next request, so the
// connection is closed.
bool ends_connection(int status) {
    return status == 400 || status == 413 || status == 414 || status == 431;
}

struct connection {
    int socket = -1;
    bool is_idle = true;                      // between requests
    bool is_waiting = true;                   // for the caller's bytes
    steady_clock::time_point idle_changed_at; // when is_idle last changed
    bool is_evicted = false;
};

// The open connections, limited in number.
class connection_table {
public:
    using handle = std::list<connection>::iterator;

    explicit connection_table(std::size_t limit) : m_limit(limit) {}

    // Returns false when the limit is reached and no connection can be evicted, or when stopping.
    bool add(int socket, handle& it) {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopping || (m_open_count >= m_limit && !evict_longest_waiting()))
            return false;
        it = m_connections.insert(m_connections.end(),
                                  {socket, true, true, steady_clock::now(), false});
        m_open_count++;
        return true;
    }

    // The caller closes the socket afterwards, so stop() and eviction never use a closed one.
    void remove(handle it) {
        const std::lock_guard lock(m_mutex);
        if (!it->is_evicted)
            m_open_count--;
        m_connections.erase(it);
    }

    // Returns false when the connection must be closed.
    bool set_idle(handle it, bool is_idle) {
        const std::lock_guard lock(m_mutex);
        it->is_idle = is_idle;
        it->idle_changed_at = steady_clock::now();
        return !it->is_evicted && !(is_idle && m_is_stopping);
    }

    void set_waiting(handle it, bool is_waiting) {
        const std::lock_guard lock(m_mutex);
        it->is_waiting = is_waiting;
    }

    void stop() {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
        for (const auto& it : m_connections) {
            if (it.is_idle)
                ::shutdown(it.socket, SHUT_RDWR);
        }
    }

private:
    bool evict_longest_waiting() {
        const auto now = steady_clock::now();
        connection* longest = nullptr;
        for (auto& it : m_connections) {
            const bool is_evictable = it.is_waiting && !it.is_evicted &&
                                      now - it.idle_changed_at >= min_wait_before_eviction;
            if (is_evictable &&
                (longest == nullptr || it.idle_changed_at < longest->idle_changed_at))
                longest = &it;
        }
        if (longest == nullptr)
            return false;
        longest->is_evicted = true;
        m_open_count--;
        ::shutdown(longest->socket, SHUT_RDWR);
        return true;
    }

    const std::size_t m_limit;
    std::mutex m_mutex;
    std::list<connection> m_connections; // guarded by m_mutex, as all below
    std::size_t m_open_count = 0;        // connections that are not evicted
    bool m_is_stopping = false;
};

void close_connection(int socket) {
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
}

} // namespace

class caller_server::server final : public httplib::Server {
public:
    explicit server(caller_server_limits limits)
        : m_limits(limits), m_connections(limits.connections) {
        set_error_handler([this](const httplib::Request&, httplib::Response& out) {
            if (!out.body.empty())
                return;
            if (ends_connection(out.status))
                out.set_header("Connection", "close");
            m_error_writer(out);
        });
    }

    void set_error_writer(std::function<void(httplib::Response&)> writer) {
        m_error_writer = std::move(writer);
    }

    void serve() {
        m_is_serving = true;
        if (!m_is_stopping)
            listen_after_bind();
        m_is_serving = false;
    }

    void stop_serving() {
        m_is_stopping = true;
        m_connections.stop();
        // The library ignores a stop that comes before its accept loop has begun.
        while (m_is_serving) {
            stop();
            std::this_thread::sleep_for(stop_poll_interval);
        }
    }

    const caller_server_limits& limits() const { return m_limits; }

private:
    bool process_and_close_socket(socket_t socket) override {
        connection_table::handle handle;
        if (!m_connections.add(socket, handle)) {
            ::send(socket, too_many_connections_response.data(),
                   too_many_connections_response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            close_connection(socket);
            return false;
        }
        serve_requests(socket, handle);
        m_connections.remove(handle);
        close_connection(socket);
        return true;
    }

    void serve_requests(socket_t socket, connection_table::handle handle) {
        connection_stream stream(
            socket,
            {m_limits.header_time, m_limits.body_time, m_limits.write_time,
             m_limits.max_header_bytes},
            [this, handle](bool is_waiting) { m_connections.set_waiting(handle, is_waiting); });
        bool is_open = true;
        while (is_open && stream.wait_for_request(m_limits.idle_time)) {
            if (!m_connections.set_idle(handle, false))
                return;
            bool is_closed = false;
            is_open = process_request(stream, false, is_closed, nullptr) && !is_closed &&
                      !stream.announces_close();
            is_open = stream.flush() && is_open;
            is_open = m_connections.set_idle(handle, true) && is_open;
        }
    }

    const caller_server_limits m_limits;
    connection_table m_connections;
    std::function<void(httplib::Response&)> m_error_writer = [](httplib::Response&) {};
    std::atomic<bool> m_is_serving{false};
    std::atomic<bool> m_is_stopping{false};
};

caller_server::caller_server(caller_server_limits limits)
    : m_server(std::make_unique<server>(limits)) {}

caller_server::~caller_server() = default;

httplib::Server& caller_server::routes() {
    return *m_server;
}

void caller_server::set_error_writer(std::function<void(httplib::Response&)> writer) {
    m_server->set_error_writer(std::move(writer));
}

std::error_code caller_server::bind(const common::endpoint& address) {
    server_limits setup;
    setup.threads = m_server->limits().connections + spare_threads;
    setup.max_body_bytes = m_server->limits().max_body_bytes;
    return bind_server(*m_server, address, setup);
}

void caller_server::serve() {
    m_server->serve();
}

void caller_server::stop() {
    m_server->stop_serving();
}

} // namespace savorytrail::http
