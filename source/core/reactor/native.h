// Boost.Asio helpers for the files of this folder; not included from elsewhere.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/common/endpoint.h"
#include "core/reactor/loop.h"

namespace savorytrail::reactor {

struct loop::context {
    boost::asio::io_context io{1};
};

inline boost::asio::ip::tcp::endpoint to_native(const common::endpoint& it) {
    boost::system::error_code ec;
    return {boost::asio::ip::make_address_v4(it.host, ec), it.port};
}

// Disables Nagle's algorithm, and limits how long sent data may stay unacknowledged before the
// connection fails.
template <typename Socket>
void configure_socket(Socket& socket, common::milliseconds unacknowledged_timeout) {
    boost::system::error_code ec;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    const auto timeout_ms = static_cast<unsigned>(unacknowledged_timeout.count());
    // A failure to set it is ignored: requests still have their own time-outs.
    std::ignore = setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                             sizeof timeout_ms);
}

} // namespace savorytrail::reactor
