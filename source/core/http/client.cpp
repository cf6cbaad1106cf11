// The connection pool. Each pooled connection is one cpp-httplib client with keep-alive.
//
// cpp-httplib sends a request once, but the pool must avoid two of its behaviours: it opens a new
// connection by itself when the existing one was closed, and it reads bytes that arrived while a
// connection was idle as the next response. So the pool checks an idle connection before reuse and
// discards one that is closed or has unread bytes.
#include "core/http/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "httplib.h"

namespace savorytrail::http {
namespace {

using common::error;
using std::chrono::milliseconds;

constexpr int keep_alive_idle_s = 5;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 3;
// The kernel closes a connection whose sent bytes stay unacknowledged for this long.
constexpr unsigned int unacknowledged_timeout_ms = 5000;

void set_option(socket_t socket, int level, int name, unsigned int value) {
    setsockopt(socket, level, name, &value, sizeof(value));
}

void set_socket_options(socket_t socket) {
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

// A server sends nothing on an idle connection, so a readable one was closed or reset, or holds a
// response that no request waits for.
bool has_no_input(socket_t socket) {
    pollfd state{socket, POLLIN, 0};
    return ::poll(&state, 1, 0) == 0;
}

error to_error(httplib::Error code, bool is_past_deadline) {
    switch (code) {
    case httplib::Error::Connection:
    case httplib::Error::BindIPAddress:
    case httplib::Error::ConnectionTimeout:
        return error::unreachable;
    default:
        return is_past_deadline ? error::timed_out : error::connection_lost;
    }
}

httplib::Request to_httplib_request(const request& message) {
    static constexpr const char* s_verbs[] = {"GET", "POST", "PUT", "DELETE"};
    httplib::Request it;
    it.method = s_verbs[static_cast<int>(message.verb)];
    it.path = message.path;
    it.body = message.body;
    for (const auto& [name, value] : message.headers)
        it.set_header(name, value);
    if (!message.body.empty())
        it.set_header("Content-Type", message.content_type);
    return it;
}

} // namespace

struct client::connection {
    connection(const common::endpoint& server, std::uint64_t generation_)
        : client(server.host, server.port), generation(generation_) {}

    httplib::Client client;
    const std::uint64_t generation;
    clock::time_point idle_since;
};

client::client(common::endpoint server, client_timeouts timeouts, std::size_t max_connections)
    : m_server(std::move(server)), m_timeouts(timeouts), m_max_connections(max_connections) {}

client::~client() = default;

common::result<response> client::send(const request& message) {
    return send(message, m_timeouts.response);
}

common::result<response> client::send(const request& message, milliseconds response_timeout) {
    auto it = acquire(clock::now() + m_timeouts.connect);
    if (!it)
        return make_error_code(error::unreachable);
    auto result = exchange(*it, message, response_timeout);
    if (result) {
        release(std::move(it));
        return result;
    }
    discard(std::move(it));
    if (result.error() == error::timed_out)
        drop_connections();
    return result;
}

common::result<response> client::exchange(connection& it, const request& message,
                                          milliseconds response_timeout) const {
    const auto deadline = clock::now() + response_timeout;
    auto out = to_httplib_request(message);
    // cpp-httplib's read timeout limits the time between bytes; this check limits the whole
    // response. Bytes that have already arrived are accepted past the deadline, because this
    // process itself may have been paused.
    out.progress = [&it, deadline](std::uint64_t bytes, std::uint64_t of) {
        const bool is_complete = of > 0 && bytes >= of;
        return is_complete || clock::now() < deadline || !has_no_input(it.client.socket());
    };
    it.client.set_read_timeout(response_timeout);
    const auto result = it.client.send(out);
    if (!result)
        return make_error_code(to_error(result.error(), clock::now() >= deadline));
    return response{result->status, result->body};
}

void client::drop_connections() {
    std::vector<connection_ptr> dropped;
    const std::lock_guard lock(m_mutex);
    m_generation++;
    dropped.swap(m_idle);
    m_returned.notify_all();
}

void client::close_stale() {
    const auto now = clock::now();
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_idle, [&](const auto& it) { return is_stale(*it, now); });
    m_returned.notify_all();
}

void client::set_max_connections(std::size_t n) {
    const std::lock_guard lock(m_mutex);
    m_max_connections = n;
    m_returned.notify_all();
}

std::size_t client::connections() const {
    const std::lock_guard lock(m_mutex);
    return m_in_use + m_idle.size();
}

client::connection_ptr client::acquire(clock::time_point deadline) {
    std::unique_lock lock(m_mutex);
    const auto is_available = [this] { return !m_idle.empty() || m_in_use < m_max_connections; };
    if (!m_returned.wait_until(lock, deadline, is_available))
        return nullptr;
    m_in_use++;
    auto it = acquire_idle();
    return it ? std::move(it) : open();
}

// Reuses the most recently used connection, which is the most likely to be alive. The others reach
// the idle timeout and are closed.
client::connection_ptr client::acquire_idle() {
    const auto now = clock::now();
    while (!m_idle.empty()) {
        auto it = std::move(m_idle.back());
        m_idle.pop_back();
        if (!is_stale(*it, now))
            return it;
    }
    return nullptr;
}

bool client::is_stale(const connection& it, clock::time_point now) const {
    if (now - it.idle_since > m_timeouts.idle)
        return true;
    return !it.client.is_socket_open() || !has_no_input(it.client.socket());
}

client::connection_ptr client::open() const {
    auto it = std::make_unique<connection>(m_server, m_generation);
    it->client.set_keep_alive(true);
    it->client.set_tcp_nodelay(true);
    it->client.set_connection_timeout(m_timeouts.connect);
    it->client.set_write_timeout(m_timeouts.connect);
    it->client.set_socket_options(set_socket_options);
    return it;
}

void client::release(connection_ptr it) {
    it->idle_since = clock::now();
    {
        const std::lock_guard lock(m_mutex);
        if (it->client.is_socket_open() && it->generation == m_generation) {
            m_idle.push_back(std::move(it));
            m_in_use--;
            m_returned.notify_one();
            return;
        }
    }
    discard(std::move(it));
}

void client::discard(connection_ptr it) {
    it.reset();
    const std::lock_guard lock(m_mutex);
    m_in_use--;
    m_returned.notify_one();
}

} // namespace savorytrail::http
