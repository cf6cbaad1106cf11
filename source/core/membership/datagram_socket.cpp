// Implementation of the UDP socket with POSIX sockets.
#include "core/membership/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace savorytrail::membership {
namespace {

constexpr std::size_t receive_buffer_bytes = 2048;

sockaddr_in to_address(const common::endpoint& it) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(it.port);
    inet_pton(AF_INET, it.host.c_str(), &address.sin_addr);
    return address;
}

std::error_code last_error() {
    return {errno, std::generic_category()};
}

} // namespace

datagram_socket::~datagram_socket() {
    if (m_socket >= 0)
        ::close(m_socket);
}

std::error_code datagram_socket::bind(const common::endpoint& address) {
    m_socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (m_socket < 0)
        return last_error();
    const auto to = to_address(address);
    if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0)
        return last_error();
    return {};
}

void datagram_socket::send(const common::endpoint& to, const std::string& datagram) const {
    const auto address = to_address(to);
    ::sendto(m_socket, datagram.data(), datagram.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

std::optional<std::string> datagram_socket::receive(common::milliseconds wait) const {
    pollfd ready{m_socket, POLLIN, 0};
    if (::poll(&ready, 1, static_cast<int>(wait.count())) <= 0)
        return std::nullopt;
    std::array<char, receive_buffer_bytes> buf{};
    const auto n = ::recv(m_socket, buf.data(), buf.size(), 0);
    if (n < 0)
        return std::nullopt;
    return std::string(buf.data(), static_cast<std::size_t>(n));
}

} // namespace savorytrail::membership
