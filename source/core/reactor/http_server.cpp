#include "core/reactor/http_server.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <deque>
#include <optional>
#include <set>
#include <vector>

#include "core/reactor/native.h"

namespace savorytrail::reactor {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

class session;

} // namespace

struct http_server::state {
    state(loop& event_loop, server_limits its_limits, handler its_handler)
        : io(event_loop.native().io), limits(its_limits), handle(std::move(its_handler)),
          acceptor(io) {}

    boost::asio::io_context& io;
    const server_limits limits;
    const handler handle;
    tcp::acceptor acceptor;
    std::set<session*> sessions;
    bool close_after_responses = false;
};

namespace {

constexpr common::milliseconds unacknowledged_timeout{4000};
// Pipelined requests that are read ahead of the one in service.
constexpr std::size_t max_pipelined = 16;
// While no more of them are read, the end of the connection is looked for this often.
constexpr common::milliseconds hangup_check_interval{25};

using server_state = std::shared_ptr<http_server::state>;

http_request from_native(http::request<http::string_body>&& it) {
    http_request request;
    request.method = std::string(it.method_string());
    request.target = std::string(it.target());
    for (const auto& field : it) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(it.body());
    return request;
}

// One connection of a client. Its pending read and the responder in use keep the object alive.
class session : public std::enable_shared_from_this<session> {
public:
    session(server_state server, tcp::socket socket)
        : m_server(std::move(server)), m_socket(std::move(socket)),
          m_hangup_check(m_socket.get_executor()) {
        m_server->sessions.insert(this);
    }
    ~session() { m_server->sessions.erase(this); }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    void read();
    void send(http_response response, std::uint64_t request);
    void on_disconnect(std::function<void()> callback, std::uint64_t request);
    void close();

private:
    void on_read(error_code ec);
    void on_written(error_code ec, bool close_after_write);
    void serve_next();
    bool may_read_ahead() const { return m_pipelined.size() < max_pipelined; }
    // Looks for the end of the connection until the next request may be read, as no read that is
    // pending would notice it.
    void watch_for_hangup();
    // The connection has ended, and nothing that came before is left to read. Cheap: it is asked
    // for each request.
    bool has_client_left();
    // The same while earlier data are unread.
    bool has_hung_up();
    void reject_oversized(error_code ec);

    const server_state m_server;
    tcp::socket m_socket;
    boost::asio::steady_timer m_hangup_check;
    boost::beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::deque<http::request<http::string_body>> m_pipelined; // read and not yet served
    std::uint64_t m_request_number = 0;                       // number of the request in service
    bool m_is_busy = false;                                   // a response is owed or being written
    bool m_is_answered = false; // the request in service has been responded to
    bool m_is_open = true;
    bool m_is_reading = false;
    bool m_is_watching_for_hangup = false;
    bool m_keep_alive = true;
    bool m_closes_when_written = false; // the response that is being written is the last
    std::function<void()> m_on_disconnect;
};

class session_responder final : public responder {
public:
    session_responder(std::shared_ptr<session> owner, std::uint64_t request)
        : m_session(std::move(owner)), m_request(request) {}

    void send(http_response response) override { m_session->send(std::move(response), m_request); }
    void on_disconnect(std::function<void()> callback) override {
        m_session->on_disconnect(std::move(callback), m_request);
    }

private:
    const std::shared_ptr<session> m_session;
    const std::uint64_t m_request;
};

void session::read() {
    if (m_is_reading || !m_is_open) {
        return;
    }
    if (!may_read_ahead()) {
        watch_for_hangup();
        return;
    }
    m_is_reading = true;
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits.max_header_bytes));
    m_parser->body_limit(m_server->limits.max_body_bytes);
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this()](error_code ec, std::size_t) { self->on_read(ec); });
}

void session::on_read(error_code ec) {
    m_is_reading = false;
    if (ec == http::error::body_limit || ec == http::error::header_limit) {
        reject_oversized(ec);
        return;
    }
    if (ec == http::error::end_of_stream && m_is_busy && m_is_answered) {
        m_closes_when_written = true; // the client may have closed its side only
        return;
    }
    if (ec) {
        close();
        return;
    }
    m_pipelined.push_back(m_parser->release());
    if (!m_is_busy) {
        serve_next();
    }
    read();
}

void session::reject_oversized(error_code ec) {
    const auto status = ec == http::error::body_limit
                            ? http::status::payload_too_large
                            : http::status::request_header_fields_too_large;
    if (m_is_busy) {
        close();
        return;
    }
    m_is_busy = true;
    m_is_answered = true;
    m_response = {status, 11};
    m_response.keep_alive(false);
    m_response.prepare_payload();
    http::async_write(m_socket, m_response,
                      [self = shared_from_this()](error_code write_error, std::size_t) {
                          self->on_written(write_error, true);
                      });
}

void session::watch_for_hangup() {
    if (m_is_watching_for_hangup) {
        return;
    }
    m_is_watching_for_hangup = true;
    m_hangup_check.expires_after(hangup_check_interval);
    m_hangup_check.async_wait([self = shared_from_this()](error_code) {
        self->m_is_watching_for_hangup = false;
        if (self->m_is_open && self->has_hung_up()) {
            self->close();
        } else if (!self->may_read_ahead()) {
            self->read();
        }
    });
}

bool session::has_client_left() {
    char next = 0;
    const auto n = ::recv(m_socket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool session::has_hung_up() {
    // Unlike a read, this tells the end of the stream while data that came before it are unread.
    pollfd it{m_socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&it, 1, 0) > 0 && (it.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void session::serve_next() {
    if (m_pipelined.empty()) {
        return;
    }
    if (has_client_left()) {
        close(); // it may have sent the request again elsewhere
        return;
    }
    auto request = std::move(m_pipelined.front());
    m_pipelined.pop_front();
    m_is_busy = true;
    m_is_answered = false;
    m_keep_alive = request.keep_alive();
    m_request_number++;
    m_server->handle(from_native(std::move(request)),
                     std::make_shared<session_responder>(shared_from_this(), m_request_number));
}

void session::send(http_response response, std::uint64_t request) {
    if (!m_is_open || request != m_request_number || m_is_answered) {
        return;
    }
    m_is_answered = true;
    m_on_disconnect = nullptr;
    const bool close_after_write = m_server->close_after_responses || !m_keep_alive;
    m_response = {static_cast<http::status>(response.status), 11};
    m_response.set(http::field::content_type, response.content_type);
    for (const auto& it : response.headers) {
        m_response.set(it.name, it.value);
    }
    m_response.body() = std::move(response.body);
    m_response.keep_alive(!close_after_write);
    m_response.prepare_payload();
    http::async_write(m_socket, m_response,
                      [self = shared_from_this(), close_after_write](error_code ec, std::size_t) {
                          self->on_written(ec, close_after_write);
                      });
}

void session::on_written(error_code ec, bool close_after_write) {
    m_is_busy = false;
    if (ec || m_closes_when_written) {
        close();
        return;
    }
    if (close_after_write && m_pipelined.empty()) {
        // The pending read continues until the client closes its side: closing the socket with
        // unread bytes would reset the connection and could lose the response.
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    serve_next();
    read();
}

void session::on_disconnect(std::function<void()> callback, std::uint64_t request) {
    if (request != m_request_number || m_is_answered) {
        return;
    }
    if (!m_is_open) {
        callback();
        return;
    }
    m_on_disconnect = std::move(callback);
}

void session::close() {
    if (!m_is_open) {
        return;
    }
    m_is_open = false;
    m_hangup_check.cancel();
    error_code ignored;
    m_socket.close(ignored);
    if (auto callback = std::exchange(m_on_disconnect, nullptr)) {
        callback();
    }
}

void accept_next(const server_state& server) {
    server->acceptor.async_accept([server](error_code ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted) {
            return;
        }
        if (!ec && server->sessions.size() < server->limits.max_connections) {
            configure_socket(socket, unacknowledged_timeout);
            std::make_shared<session>(server, std::move(socket))->read();
        }
        accept_next(server);
    });
}

} // namespace

http_server::http_server(loop& event_loop, server_limits limits, handler handle)
    : m_state(std::make_shared<state>(event_loop, limits, std::move(handle))) {}

http_server::~http_server() {
    error_code ignored;
    m_state->acceptor.close(ignored);
}

common::result<void> http_server::listen(const common::endpoint& at) {
    const auto native_address = to_native(at);
    error_code ec;
    auto& acceptor = m_state->acceptor;
    acceptor.open(native_address.protocol(), ec);
    if (!ec) {
        // A process that is spawned would keep the address in use.
        ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(native_address, ec);
    }
    if (!ec) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
        return std::error_code(ec.value(), std::system_category());
    }
    accept_next(m_state);
    return boost::outcome_v2::success();
}

void http_server::close_after_responses() {
    m_state->close_after_responses = true;
}

void http_server::close_connections() {
    std::vector<std::shared_ptr<session>> open; // closing one may destroy others
    for (auto* it : m_state->sessions) {
        if (auto session = it->weak_from_this().lock()) {
            open.push_back(std::move(session));
        }
    }
    for (const auto& it : open) {
        it->close();
    }
}

std::size_t http_server::connections() const {
    return m_state->sessions.size();
}

} // namespace savorytrail::reactor
