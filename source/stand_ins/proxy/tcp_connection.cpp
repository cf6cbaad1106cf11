// Forwarding of one TCP connection with the route's fault applied.
#include "stand_ins/proxy/tcp_connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "stand_ins/proxy/sockets.h"

namespace savorytrail::stand_ins {
namespace {

constexpr std::size_t receive_bytes = 65'536;
constexpr std::size_t max_queued_bytes = 1 << 20; // a side with more queued is not read

} // namespace

tcp_connection::tcp_connection(int client_socket, int target_socket)
    : m_sockets{client_socket, target_socket}, m_connecting(target_socket >= 0),
      m_blackholed(target_socket < 0) {
    m_streams[target].ended = target_socket < 0;
}

tcp_connection::~tcp_connection() {
    for (const int it : m_sockets) {
        if (it >= 0)
            close(it);
    }
}

void tcp_connection::change_fault(const proxy_fault& before, const proxy_fault& after) {
    m_bytes_accepted = 0;
    // A stream with lost bytes must not resume with later ones.
    const bool was_half_open = before.mode == proxy_mode::half_open;
    if (was_half_open && after.mode != proxy_mode::half_open && m_response_bytes_lost)
        blackhole();
    if (after.mode == proxy_mode::drop_old)
        blackhole();
    if (after.mode == proxy_mode::cut_unnoticed)
        reset_client();
}

void tcp_connection::reset() {
    for (int& it : m_sockets) {
        if (it >= 0)
            close_with_reset(it);
        it = -1;
    }
}

void tcp_connection::reset_client() {
    blackhole();
    m_streams[client].ended = true;
    if (m_sockets[client] >= 0)
        close_with_reset(m_sockets[client]);
    m_sockets[client] = -1;
}

bool tcp_connection::finished() const {
    if (m_sockets[client] < 0 && m_sockets[target] < 0)
        return true;
    if (m_blackholed)
        return m_streams[client].ended && m_streams[target].ended;
    return m_streams[client].end_forwarded && m_streams[target].end_forwarded;
}

void tcp_connection::add_polls(std::vector<pollfd>& polls) const {
    for (const auto it : {client, target}) {
        const auto& from = m_streams[it];
        const auto& towards = m_streams[it == client ? target : client];
        short events = 0;
        if (!from.ended && from.queue.bytes() < max_queued_bytes)
            events |= POLLIN;
        if (towards.blocked || (it == target && m_connecting))
            events |= POLLOUT;
        // A socket without events is not polled, since poll() would report its hang-up repeatedly.
        polls.push_back({events != 0 ? m_sockets[it] : -1, events, 0});
    }
}

route_counters tcp_connection::handle(const pollfd* polls, const proxy_fault& fault,
                                      common::time_point now) {
    if (m_connecting && polls[target].revents != 0)
        finish_connect(polls[target]);
    for (const auto it : {client, target}) {
        const bool readable = (polls[it].revents & (POLLIN | POLLHUP | POLLERR)) != 0;
        const bool usable = m_sockets[it] >= 0 && !(it == target && m_connecting);
        if (readable && usable && !m_streams[it].ended)
            receive(it, fault, now);
    }
    route_counters moved;
    moved.bytes_to_target = send_due(client, now);
    moved.bytes_from_target = send_due(target, now);
    if (m_reset_when_sent && m_streams[client].queue.empty())
        reset();
    return moved;
}

std::optional<common::time_point> tcp_connection::next_due() const {
    std::optional<common::time_point> earliest;
    const auto consider = [&](common::time_point due) {
        earliest = std::min(earliest.value_or(due), due);
    };
    for (const auto it : {client, target}) {
        const auto& from = m_streams[it];
        if (from.blocked || (it == client && m_connecting))
            continue;
        if (!from.queue.empty())
            consider(*from.queue.next_due());
        else if (from.ended && !from.end_forwarded && !m_blackholed)
            consider(from.end_due);
    }
    return earliest;
}

void tcp_connection::blackhole() {
    m_blackholed = true;
    for (auto& it : m_streams) {
        it.queue.clear();
        it.blocked = false;
    }
}

void tcp_connection::receive(side from, const proxy_fault& fault, common::time_point now) {
    std::array<char, receive_bytes> buf{};
    const auto n = recv(m_sockets[from], buf.data(), buf.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n == 0)
        return end_of_stream(from, fault, now);
    if (n < 0 && apply_drop_fault(from, fault))
        return end_of_stream(from, fault, now);
    if (n < 0)
        return reset();
    if (!apply_drop_fault(from, fault)) {
        const auto delay = fault.mode == proxy_mode::delay ? fault.delay : common::milliseconds(0);
        enqueue_data(from, std::string(buf.data(), static_cast<std::size_t>(n)), fault,
                     now + delay);
    }
}

// Returns whether what `from` has just sent is discarded, and records the loss: `drop` blackholes
// the connection, `half_open` discards all later data of the target.
bool tcp_connection::apply_drop_fault(side from, const proxy_fault& fault) {
    if (fault.mode == proxy_mode::drop)
        blackhole();
    if (fault.mode == proxy_mode::half_open && from == target)
        m_response_bytes_lost = true;
    return m_blackholed || (m_response_bytes_lost && from == target);
}

void tcp_connection::enqueue_data(side from, std::string data, const proxy_fault& fault,
                                  common::time_point due) {
    if (m_reset_when_sent)
        return;
    if (from == client && fault.mode == proxy_mode::cut_after) {
        const auto remaining = fault.after_bytes - std::min(m_bytes_accepted, fault.after_bytes);
        m_reset_when_sent = data.size() >= remaining;
        data.resize(std::min<std::uint64_t>(data.size(), remaining));
    }
    if (from == client)
        m_bytes_accepted += data.size();
    if (!data.empty())
        m_streams[from].queue.add(std::move(data), due);
}

void tcp_connection::end_of_stream(side from, const proxy_fault& fault, common::time_point now) {
    m_streams[from].ended = true;
    m_streams[from].end_due = fault.mode == proxy_mode::delay ? now + fault.delay : now;
    if (apply_drop_fault(from, fault))
        blackhole();
}

std::uint64_t tcp_connection::send_due(side from, common::time_point now) {
    const auto to = from == client ? target : client;
    auto& it = m_streams[from];
    std::uint64_t moved = 0;
    if (m_sockets[to] < 0 || m_blackholed || (to == target && m_connecting))
        return moved;
    it.blocked = false;
    while (it.queue.has_due(now)) {
        const auto& data = it.queue.front();
        const auto n = send(m_sockets[to], data.data(), data.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0 && errno == EAGAIN) {
            it.blocked = true;
            return moved;
        }
        if (n < 0) {
            reset();
            return moved;
        }
        moved += static_cast<std::uint64_t>(n);
        it.queue.consume(static_cast<std::size_t>(n));
    }
    if (it.queue.empty() && it.ended && !it.end_forwarded && it.end_due <= now) {
        shutdown(m_sockets[to], SHUT_WR);
        it.end_forwarded = true;
    }
    return moved;
}

void tcp_connection::finish_connect(const pollfd& poll) {
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(poll.fd, SOL_SOCKET, SO_ERROR, &error, &size);
    m_connecting = false;
    if (error != 0)
        reset();
}

} // namespace savorytrail::stand_ins
