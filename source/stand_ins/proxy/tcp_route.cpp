// Acceptance and forwarding of TCP connections.
#include "stand_ins/proxy/tcp_route.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "stand_ins/proxy/sockets.h"
#include "stand_ins/proxy/tcp_connection.h"

namespace savorytrail::stand_ins {

tcp_route::tcp_route(route_addresses addresses) : route(std::move(addresses)) {}

tcp_route::~tcp_route() {
    stop();
    close_listener();
}

std::error_code tcp_route::open() {
    const auto it = open_listener(addresses().listen);
    if (!it)
        return it.error();
    m_listener = it.value();
    return {};
}

std::error_code tcp_route::apply(const proxy_fault& fault) {
    // Connections in the listener's accept queue count as open when the fault is set.
    if (m_listener >= 0)
        add_to_counters({.connections = accept_pending()});
    for (const auto& it : m_connections) {
        it->change_fault(m_fault, fault);
        if (fault.mode == proxy_mode::cut)
            it->reset();
    }
    std::erase_if(m_connections, [](const auto& it) { return it->finished(); });
    m_fault = fault;
    if (fault.mode == proxy_mode::cut)
        close_listener();
    else if (m_listener < 0)
        return open();
    return {};
}

void tcp_route::add_polls(std::vector<pollfd>& polls) {
    polls.push_back({m_listener, POLLIN, 0});
    for (const auto& it : m_connections)
        it->add_polls(polls);
}

void tcp_route::handle(const std::vector<pollfd>& polls, common::time_point now) {
    route_counters moved;
    const auto* next = polls.data() + 1;
    for (const auto& it : m_connections) {
        const auto delta = it->handle(next, m_fault, now);
        moved.bytes_to_target += delta.bytes_to_target;
        moved.bytes_from_target += delta.bytes_from_target;
        next += 2;
    }
    std::erase_if(m_connections, [](const auto& it) { return it->finished(); });
    if (polls.front().revents != 0)
        moved.connections = accept_pending();
    if (moved != route_counters{})
        add_to_counters(moved);
}

std::optional<common::time_point> tcp_route::next_due() const {
    std::optional<common::time_point> earliest;
    for (const auto& it : m_connections) {
        if (const auto due = it->next_due())
            earliest = std::min(earliest.value_or(*due), *due);
    }
    return earliest;
}

std::uint64_t tcp_route::accept_pending() {
    std::uint64_t accepted = 0;
    while (true) {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return accepted;
        accepted++;
        const int on = 1;
        setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (m_fault.mode == proxy_mode::drop || m_fault.mode == proxy_mode::cut_unnoticed) {
            m_connections.push_back(std::make_unique<tcp_connection>(client, -1));
            continue;
        }
        const auto target = start_connect(addresses().target);
        if (target)
            m_connections.push_back(std::make_unique<tcp_connection>(client, target.value()));
        else
            close_with_reset(client);
    }
}

void tcp_route::close_listener() {
    if (m_listener >= 0)
        close(m_listener);
    m_listener = -1;
}

} // namespace savorytrail::stand_ins
