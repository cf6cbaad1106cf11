// Forwarding of UDP datagrams.
#include "stand_ins/proxy/udp_route.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

#include "stand_ins/proxy/sockets.h"

namespace savorytrail::stand_ins {
namespace {

constexpr std::size_t max_datagram_bytes = 65'536;

} // namespace

udp_route::~udp_route() {
    stop();
    if (m_sender >= 0 && m_sender != m_socket)
        close(m_sender);
    if (m_socket >= 0)
        close(m_socket);
}

std::error_code udp_route::open() {
    const auto it = open_datagram_socket(addresses().listen);
    if (!it)
        return it.error();
    m_socket = it.value();
    m_sender = m_socket;
    if (m_source_host.empty())
        return {};
    const auto sender = open_datagram_socket({m_source_host, 0});
    if (!sender)
        return sender.error();
    m_sender = sender.value();
    return {};
}

std::error_code udp_route::apply(const proxy_fault& fault) {
    m_fault = fault;
    return {};
}

void udp_route::add_polls(std::vector<pollfd>& polls) {
    polls.push_back({m_socket, POLLIN, 0});
}

void udp_route::handle(const std::vector<pollfd>& polls, common::time_point now) {
    if (polls.front().revents != 0)
        receive_pending(now);
    send_due(now);
}

void udp_route::receive_pending(common::time_point now) {
    const bool drops = m_fault.mode == proxy_mode::cut || m_fault.mode == proxy_mode::drop;
    const auto delay = m_fault.mode == proxy_mode::delay ? m_fault.delay : common::milliseconds(0);
    std::array<char, max_datagram_bytes> buf{};
    while (true) {
        const auto n = recv(m_socket, buf.data(), buf.size(), 0);
        if (n < 0)
            return;
        if (!drops && n > 0)
            m_queue.add(std::string(buf.data(), static_cast<std::size_t>(n)), now + delay);
    }
}

void udp_route::send_due(common::time_point now) {
    const auto target = to_socket_address(addresses().target);
    while (m_queue.has_due(now)) {
        const auto& data = m_queue.front();
        const auto n = sendto(m_sender, data.data(), data.size(), MSG_NOSIGNAL,
                              reinterpret_cast<const sockaddr*>(&target), sizeof(target));
        if (n > 0)
            add_to_counters({.bytes_to_target = static_cast<std::uint64_t>(n), .datagrams = 1});
        m_queue.consume(data.size());
    }
}

} // namespace savorytrail::stand_ins
