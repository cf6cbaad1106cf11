// Buffered socket reads and writes with deadlines.
#include "core/http/connection_stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

namespace savorytrail::http {
namespace {

using std::chrono::steady_clock;

constexpr std::size_t buffer_bytes = 16'384;
constexpr std::string_view header_terminator = "\r\n\r\n";
constexpr std::string_view close_header = "\r\nConnection: close";

bool poll_until(int socket, short events, steady_clock::time_point deadline) {
    for (;;) {
        const auto left =
            std::chrono::ceil<std::chrono::milliseconds>(deadline - steady_clock::now());
        if (left.count() <= 0)
            return false;
        pollfd it{socket, events, 0};
        const int n = poll(&it, 1, static_cast<int>(left.count()));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return false;
    }
}

using address_reader = int (*)(int, sockaddr*, socklen_t*);

void read_socket_address(int socket, address_reader read, std::string& ip, int& port) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    if (read(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        return;
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(address.sin_port);
}

} // namespace

connection_stream::connection_stream(int socket, request_bounds bounds,
                                     std::function<void(bool)> on_wait)
    : m_socket(socket), m_bounds(bounds), m_on_wait(std::move(on_wait)), m_input(buffer_bytes) {}

ssize_t connection_stream::read(char* target, size_t size) {
    if (m_header_bytes > m_bounds.header_bytes)
        return -1;
    if (m_input_begin == m_input_end && !fill_input())
        return -1;
    // The header is passed on byte by byte, so that its end is detected before the body is read.
    const auto n = m_is_header_complete ? std::min(size, m_input_end - m_input_begin) : 1;
    std::copy_n(m_input.data() + m_input_begin, n, target);
    m_input_begin += n;
    if (!m_is_header_complete)
        count_header_byte(*target);
    return static_cast<ssize_t>(n);
}

ssize_t connection_stream::write(const char* data, size_t size) {
    m_output.append(data, size);
    return static_cast<ssize_t>(size);
}

void connection_stream::get_remote_ip_and_port(std::string& ip, int& port) const {
    read_socket_address(m_socket, getpeername, ip, port);
}

void connection_stream::get_local_ip_and_port(std::string& ip, int& port) const {
    read_socket_address(m_socket, getsockname, ip, port);
}

bool connection_stream::wait_for_request(std::chrono::milliseconds timeout) {
    m_deadline = steady_clock::now() + timeout;
    if (m_input_begin == m_input_end && !fill_input())
        return false;
    m_deadline = steady_clock::now() + m_bounds.header_time;
    m_header_bytes = 0;
    m_terminator_matched = 0;
    m_is_header_complete = false;
    return true;
}

bool connection_stream::announces_close() const {
    const std::string_view header(m_output.data(),
                                  std::min(m_output.find(header_terminator), m_output.size()));
    return header.find(close_header) != std::string_view::npos;
}

bool connection_stream::flush() {
    const auto deadline = steady_clock::now() + m_bounds.write_time;
    std::size_t sent = 0;
    while (sent < m_output.size()) {
        const auto n = send(m_socket, m_output.data() + sent, m_output.size() - sent,
                            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            sent += static_cast<std::size_t>(n);
            continue;
        }
        const bool would_block = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (would_block && !poll_until(m_socket, POLLOUT, deadline))
            return false;
        if (!would_block && !(n < 0 && errno == EINTR))
            return false;
    }
    m_output.clear();
    return true;
}

bool connection_stream::fill_input() {
    // An interim response (100 Continue) must be sent before waiting for the body.
    if (!m_output.empty() && !flush())
        return false;
    m_on_wait(true);
    const bool is_received = receive();
    m_on_wait(false);
    return is_received;
}

bool connection_stream::receive() {
    for (;;) {
        if (!poll_until(m_socket, POLLIN, m_deadline))
            return false;
        const auto n = recv(m_socket, m_input.data(), m_input.size(), MSG_DONTWAIT);
        if (n > 0) {
            m_input_begin = 0;
            m_input_end = static_cast<std::size_t>(n);
            return true;
        }
        if (n == 0 || (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK))
            return false;
    }
}

void connection_stream::count_header_byte(char c) {
    m_header_bytes++;
    if (c == header_terminator[m_terminator_matched])
        m_terminator_matched++;
    else
        m_terminator_matched = c == header_terminator[0] ? 1 : 0;
    if (m_terminator_matched < header_terminator.size())
        return;
    m_is_header_complete = true;
    m_deadline = steady_clock::now() + m_bounds.body_time;
}

} // namespace savorytrail::http
