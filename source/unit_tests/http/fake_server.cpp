// The scripted test server.
#include "fake_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace savorytrail::http {
namespace {

constexpr const char* loopback_host = "127.21.0.1";

std::size_t content_length(const std::string& header) {
    const std::string name = "Content-Length: ";
    const auto at = header.find(name);
    return at == std::string::npos ? 0 : std::stoul(header.substr(at + name.size()));
}

} // namespace

fake_connection::~fake_connection() {
    ::close(m_socket);
}

bool fake_connection::read_request() {
    std::string text;
    std::array<char, 4096> buf{};
    for (;;) {
        const auto end = text.find("\r\n\r\n");
        if (end != std::string::npos && text.size() >= end + 4 + content_length(text)) {
            m_last_body = text.substr(end + 4);
            return true;
        }
        const auto n = ::recv(m_socket, buf.data(), buf.size(), 0);
        if (n <= 0)
            return false;
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
}

void fake_connection::wait_until_closed() {
    std::array<char, 4096> buf{};
    while (::recv(m_socket, buf.data(), buf.size(), 0) > 0) {
    }
}

void fake_connection::write(const std::string& bytes) {
    ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void fake_connection::respond(const std::string& body) {
    write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void fake_connection::reset_on_close() {
    const linger abort_on_close{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof(abort_on_close));
}

fake_server::fake_server(std::vector<script> scripts) : m_scripts(std::move(scripts)) {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, loopback_host, &address.sin_addr);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(m_listener, 64) != 0 ||
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("cannot listen on loopback");
    m_address = {loopback_host, ntohs(address.sin_port)};
    m_acceptor = std::thread([this] { serve(); });
}

fake_server::~fake_server() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    for (auto& it : m_connections)
        it.join();
    ::close(m_listener);
}

void fake_server::serve() {
    for (;;) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            return;
        const auto n = static_cast<std::size_t>(m_accepted++);
        const auto& run = m_scripts[std::min(n, m_scripts.size() - 1)];
        const std::lock_guard lock(m_mutex);
        m_connections.emplace_back([&run, socket] {
            fake_connection connection(socket);
            run(connection);
        });
    }
}

} // namespace savorytrail::http
