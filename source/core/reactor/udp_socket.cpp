#include "core/reactor/udp_socket.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include "core/reactor/native.h"

namespace savorytrail::reactor {

using boost::asio::ip::udp;
using boost::system::error_code;

constexpr std::size_t max_datagram_bytes = 65536;

struct udp_socket::state {
    state(loop& event_loop, handler callback)
        : socket(event_loop.native().io), on_datagram(std::move(callback)) {}

    udp::socket socket;
    const handler on_datagram;
    udp::endpoint sender;
    std::array<char, max_datagram_bytes> buffer{};
};

namespace {

void receive_next(const std::shared_ptr<udp_socket::state>& it) {
    it->socket.async_receive_from(
        boost::asio::buffer(it->buffer), it->sender, [it](error_code ec, std::size_t n) {
            if (ec == boost::asio::error::operation_aborted) {
                return;
            }
            if (!ec) {
                it->on_datagram(std::string(it->buffer.data(), n),
                                {it->sender.address().to_string(), it->sender.port()});
            }
            receive_next(it);
        });
}

} // namespace

udp_socket::udp_socket(loop& event_loop, handler on_datagram)
    : m_state(std::make_shared<state>(event_loop, std::move(on_datagram))) {}

udp_socket::~udp_socket() {
    error_code ignored;
    m_state->socket.close(ignored);
}

common::result<void> udp_socket::open(const common::endpoint& address) {
    const auto native_address = to_native(address);
    error_code ec;
    m_state->socket.open(udp::v4(), ec);
    if (!ec) {
        m_state->socket.bind({native_address.address(), native_address.port()}, ec);
    }
    if (!ec) {
        m_state->socket.non_blocking(true, ec);
    }
    if (ec) {
        return std::error_code(ec.value(), std::system_category());
    }
    receive_next(m_state);
    return boost::outcome_v2::success();
}

void udp_socket::send(const common::endpoint& to, const std::string& bytes) {
    const auto native_address = to_native(to);
    error_code ignored; // a failed send counts as a lost datagram
    m_state->socket.send_to(boost::asio::buffer(bytes),
                            {native_address.address(), native_address.port()}, 0, ignored);
}

} // namespace savorytrail::reactor
