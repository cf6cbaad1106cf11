#include "core/reactor/http_client.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <optional>
#include <vector>

#include "core/reactor/native.h"

namespace savorytrail::reactor {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

class connection;

constexpr std::size_t max_idle_per_address = 16;
constexpr std::size_t max_response_bytes = std::size_t{4} << 20;

} // namespace

struct http_client::state {
    explicit state(loop& event_loop) : io(event_loop.native().io) {}

    boost::asio::io_context& io;
    std::map<common::endpoint, std::vector<std::shared_ptr<connection>>> idle;
    std::uint64_t connections = 0; // opened so far
    bool is_closed = false;
};

namespace {

using client_state = std::shared_ptr<http_client::state>;

http::request<http::string_body> to_native(http_request&& it, const common::endpoint& to) {
    http::request<http::string_body> request;
    request.method_string(it.method);
    request.target(it.target);
    request.version(11);
    request.set(http::field::host, to.to_string());
    for (const auto& field : it.headers) {
        request.set(field.name, field.value);
    }
    request.body() = std::move(it.body);
    request.prepare_payload();
    return request;
}

http_response from_native(http::response<http::string_body>&& it) {
    http_response response;
    response.status = static_cast<int>(it.result_int());
    for (const auto& field : it) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(it.body());
    return response;
}

void close_idle_connections(http_client::state& of, const common::endpoint& to);

// One connection. While it is idle, a wait for readability is pending, so that a close by the peer
// is noticed at once.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(const client_state& owner, common::endpoint to)
        : m_owner(owner), m_address(std::move(to)), m_number(++owner->connections),
          m_socket(owner->io), m_timer(owner->io) {}

    void start(http_request request, common::milliseconds timeout, http_client::callback done);
    void cancel(std::uint64_t request_number);
    void close();
    std::uint64_t number() const { return m_number; }
    std::uint64_t request_number() const { return m_request_number; }
    void note_process(peer_process it) { m_process = it; }
    bool leads_to(peer_process it) const { return it == any_process || it == m_process; }
    // Bytes may have arrived that the loop has not noticed yet.
    bool is_usable(peer_process to) const { return leads_to(to) && !has_unread_bytes(); }
    // Whether bytes have arrived while no request was outstanding. They must not be taken for the
    // answer to the next one.
    bool has_unread_bytes() const;

private:
    void connect(common::milliseconds timeout);
    void write();
    void read();
    void on_response(error_code ec);
    void watch_idle();
    void finish(const common::result<http_response>& outcome);
    void fail(common::error error);
    void on_timeout();

    const std::weak_ptr<http_client::state> m_owner;
    const common::endpoint m_address;
    const std::uint64_t m_number;         // unique in the client
    peer_process m_process = any_process; // at the other end, if it is known
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    std::optional<http::response_parser<http::string_body>> m_parser;
    http_client::callback m_done;       // set while a request is outstanding
    std::uint64_t m_request_number = 0; // of the latest request
    bool m_is_connected = false;
    bool m_may_be_sent = false; // bytes of the request may have reached the peer
};

void connection::start(http_request request, common::milliseconds timeout,
                       http_client::callback done) {
    m_request = to_native(std::move(request), m_address);
    m_done = std::move(done);
    m_request_number++;
    m_may_be_sent = false;
    m_timer.expires_after(timeout);
    m_timer.async_wait(
        [self = shared_from_this(), request_number = m_request_number](error_code ec) {
            if (!ec && self->m_done && self->m_request_number == request_number) {
                self->on_timeout();
            }
        });
    if (m_is_connected) {
        error_code ignored;
        m_socket.cancel(ignored); // ends the wait of watch_idle()
        write();
        return;
    }
    connect(timeout);
}

void connection::connect(common::milliseconds timeout) {
    m_socket.async_connect(
        reactor::to_native(m_address), [self = shared_from_this(), timeout](error_code ec) {
            if (!self->m_done) {
                return;
            }
            if (ec) {
                self->fail(ec == boost::asio::error::connection_refused
                               ? common::error::connection_refused
                               : common::error::unreachable);
                return;
            }
            self->m_is_connected = true;
            configure_socket(self->m_socket, timeout + common::milliseconds(1000));
            self->write();
        });
}

void connection::write() {
    m_may_be_sent = true;
    http::async_write(
        m_socket, m_request,
        [self = shared_from_this(), request_number = m_request_number](error_code ec, std::size_t) {
            if (!self->m_done || self->m_request_number != request_number) {
                return;
            }
            if (ec) {
                self->fail(common::error::connection_lost);
                return;
            }
            self->read();
        });
}

void connection::read() {
    m_parser.emplace();
    m_parser->body_limit(max_response_bytes);
    http::async_read(
        m_socket, m_buffer, *m_parser,
        [self = shared_from_this(), request_number = m_request_number](error_code ec, std::size_t) {
            if (self->m_done && self->m_request_number == request_number) {
                self->on_response(ec);
            }
        });
}

void connection::on_response(error_code ec) {
    if (ec) {
        fail(common::error::connection_lost);
        return;
    }
    if (http::to_status_class(m_parser->get().result_int()) == http::status_class::informational) {
        read(); // the response is still to come
        return;
    }
    m_timer.cancel();
    auto response = m_parser->release();
    // Bytes that are left over must not be taken for the answer to the next request.
    const bool keep_alive = response.keep_alive() && m_buffer.size() == 0;
    auto received = from_native(std::move(response));
    received.connection = m_number;
    const common::result<http_response> outcome = std::move(received);
    auto done = std::exchange(m_done, nullptr);
    const auto owner = m_owner.lock();
    if (!keep_alive || !owner || owner->is_closed) {
        close();
    } else {
        auto& idle = owner->idle[m_address];
        if (idle.size() < max_idle_per_address) {
            idle.push_back(shared_from_this());
            watch_idle();
        } else {
            close();
        }
    }
    done(outcome);
}

bool connection::has_unread_bytes() const {
    error_code ec;
    return m_socket.available(ec) > 0;
}

void connection::watch_idle() {
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this(),
                                                 request_number = m_request_number](error_code ec) {
        if (ec || self->m_done || self->m_request_number != request_number) {
            return;
        }
        self->close(); // closed by the peer, or it sent unsolicited bytes
    });
}

void connection::fail(common::error error) {
    close();
    finish(make_error_code(error));
}

void connection::on_timeout() {
    // What made this connection go silent may have hit the idle ones too, and each would cost
    // another time-out.
    if (const auto owner = m_owner.lock()) {
        close_idle_connections(*owner, m_address);
    }
    fail(m_may_be_sent ? common::error::timed_out : common::error::unreachable);
}

void connection::finish(const common::result<http_response>& outcome) {
    if (auto done = std::exchange(m_done, nullptr)) {
        done(outcome);
    }
}

void connection::cancel(std::uint64_t request_number) {
    if (m_done && m_request_number == request_number) {
        m_done = nullptr;
        close();
    }
}

void connection::close() {
    m_is_connected = false;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
    if (const auto owner = m_owner.lock()) {
        if (const auto it = owner->idle.find(m_address); it != owner->idle.end()) {
            std::erase(it->second, shared_from_this());
        }
    }
}

void close_idle_connections(http_client::state& of, const common::endpoint& to) {
    const auto it = of.idle.find(to);
    if (it == of.idle.end()) {
        return;
    }
    auto connections = std::move(it->second);
    of.idle.erase(it);
    for (const auto& connection : connections) {
        connection->close();
    }
}

// The one of the idle connections to the process that was used last; null if there is none.
std::shared_ptr<connection> take_idle(http_client::state& of, const common::endpoint& to,
                                      peer_process process) {
    const auto it = of.idle.find(to);
    if (it == of.idle.end()) {
        return nullptr;
    }
    auto& list = it->second;
    const auto found = std::find_if(list.rbegin(), list.rend(), [&](const auto& connection) {
        return connection->is_usable(process);
    });
    if (found == list.rend()) {
        return nullptr;
    }
    auto taken = std::move(*found);
    list.erase(std::next(found).base());
    return taken;
}

} // namespace

std::string describe(const common::result<http_response>& it) {
    return it ? "status " + std::to_string(it.value().status) : it.error().message();
}

http_client::http_client(loop& event_loop) : m_state(std::make_shared<state>(event_loop)) {}

http_client::~http_client() {
    m_state->is_closed = true;
    for (auto& [address, connections] : std::exchange(m_state->idle, {})) {
        for (const auto& it : connections) {
            it->close();
        }
    }
}

http_client::canceller http_client::send(const common::endpoint& to, http_request request,
                                         common::milliseconds timeout, callback done,
                                         send_options options) {
    auto chosen = options.new_connection ? nullptr : take_idle(*m_state, to, options.to_process);
    if (!chosen) {
        chosen = std::make_shared<connection>(m_state, to);
    }
    chosen->start(std::move(request), timeout, std::move(done));
    return [weak = std::weak_ptr<connection>(chosen), request_number = chosen->request_number()] {
        if (const auto it = weak.lock()) {
            it->cancel(request_number);
        }
    };
}

void http_client::note_process(const common::endpoint& at, const http_response& from,
                               peer_process process) {
    const auto it = m_state->idle.find(at);
    if (it == m_state->idle.end()) {
        return;
    }
    for (const auto& connection : it->second) {
        if (connection->number() == from.connection) {
            connection->note_process(process);
        }
    }
}

bool http_client::has_idle(const common::endpoint& to, peer_process process) const {
    const auto it = m_state->idle.find(to);
    return it != m_state->idle.end() &&
           std::any_of(it->second.begin(), it->second.end(),
                       [&](const auto& connection) { return connection->is_usable(process); });
}

void http_client::close_idle(const common::endpoint& at) {
    close_idle_connections(*m_state, at);
}

} // namespace savorytrail::reactor
