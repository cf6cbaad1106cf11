// Address layout of a cluster, and the lock on its address range.
#include "stand_ins/cluster/addresses.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace savorytrail::stand_ins {
namespace {

constexpr int first_octet = 100;
constexpr int octets = 100;
constexpr std::uint16_t lock_port = 6'999;

constexpr std::uint16_t platform_port = 7'000;
constexpr std::uint16_t control_port = 7'100;
constexpr std::uint16_t peer_port = 7'400;
constexpr std::uint16_t caller_port = 8'080;
constexpr std::uint16_t executor_port = 8'000;
constexpr std::uint16_t first_peer_route_port = 20'000;

// Third octets. For entries it is the index of their failure domain plus 1.
constexpr std::size_t executor_net = 100;
constexpr std::size_t peer_route_net = 200;
constexpr std::size_t platform_route_net = 201;
constexpr std::size_t executor_route_net = 202;
constexpr std::size_t service_net = 250;
constexpr std::size_t lock_net = 255;

std::string dotted(int second, std::size_t third, std::size_t fourth) {
    return "127." + std::to_string(second) + "." + std::to_string(third) + "." +
           std::to_string(fourth);
}

// Returns a bound socket, or -1 when the address is in use.
int bind_lock(int octet) {
    const int it = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(lock_port);
    inet_pton(AF_INET, dotted(octet, lock_net, 1).c_str(), &address.sin_addr);
    if (bind(it, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return it;
    close(it);
    return -1;
}

} // namespace

address_range_lock::address_range_lock() {
    const int offset = getpid() % octets;
    for (int i = 0; i < octets && m_socket < 0; i++) {
        const int octet = first_octet + (offset + i) % octets;
        m_socket = bind_lock(octet);
        if (m_socket >= 0)
            m_octet = octet;
    }
}

address_range_lock::~address_range_lock() {
    if (m_socket >= 0)
        close(m_socket);
}

common::endpoint addresses::platform() const {
    return at(service_net, 1, platform_port);
}

common::endpoint addresses::proxy_control() const {
    return at(service_net, 2, control_port);
}

common::endpoint addresses::callers(std::size_t domain, std::size_t index_in_domain) const {
    return at(domain + 1, index_in_domain + 1, caller_port);
}

common::endpoint addresses::peers(std::size_t domain, std::size_t index_in_domain) const {
    return at(domain + 1, index_in_domain + 1, peer_port);
}

common::endpoint addresses::executor(std::size_t index) const {
    return at(executor_net, index + 1, executor_port);
}

common::endpoint addresses::peer_route(std::size_t reader, std::size_t entry) const {
    return at(peer_route_net, reader + 1,
              static_cast<std::uint16_t>(first_peer_route_port + entry));
}

common::endpoint addresses::platform_route(std::size_t reader) const {
    return at(platform_route_net, reader + 1, platform_port);
}

common::endpoint addresses::executor_route(std::size_t index) const {
    return at(executor_route_net, index + 1, executor_port);
}

common::endpoint addresses::at(std::size_t third, std::size_t fourth, std::uint16_t port) const {
    return {dotted(m_octet, third, fourth), port};
}

} // namespace savorytrail::stand_ins
