// Creation and closing of non-blocking IPv4 sockets.
#include "stand_ins/proxy/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace savorytrail::stand_ins {
namespace {

constexpr int listen_queue = 1'024; // connections

std::error_code last_error() {
    return {errno, std::generic_category()};
}

std::error_code close_after_error(int socket) {
    const auto ec = last_error();
    close(socket);
    return ec;
}

int open_socket(int type) {
    return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

common::result<int> open_bound(int type, const common::endpoint& address) {
    const int it = open_socket(type);
    if (it < 0)
        return last_error();
    const int on = 1;
    setsockopt(it, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto target = to_socket_address(address);
    if (bind(it, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0)
        return close_after_error(it);
    return it;
}

} // namespace

sockaddr_in to_socket_address(const common::endpoint& address) {
    sockaddr_in it{};
    it.sin_family = AF_INET;
    it.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &it.sin_addr);
    return it;
}

common::result<int> open_listener(const common::endpoint& address) {
    const auto it = open_bound(SOCK_STREAM, address);
    if (it && listen(it.value(), listen_queue) != 0)
        return close_after_error(it.value());
    return it;
}

common::result<int> open_datagram_socket(const common::endpoint& address) {
    return open_bound(SOCK_DGRAM, address);
}

common::result<int> start_connect(const common::endpoint& address) {
    const int it = open_socket(SOCK_STREAM);
    if (it < 0)
        return last_error();
    const int on = 1;
    setsockopt(it, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto target = to_socket_address(address);
    const int n = connect(it, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    if (n != 0 && errno != EINPROGRESS)
        return close_after_error(it);
    return it;
}

void close_with_reset(int socket) {
    const linger abort_on_close{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof(abort_on_close));
    close(socket);
}

} // namespace savorytrail::stand_ins
