// A small HTTP/1.1 server and client for the stand-ins, one thread a connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;

struct message {
    std::string method; // of a request
    std::string target; // of a request
    int status = 0;     // of a response
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

inline sockaddr_in address_of(const std::string& ip, int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
    return at;
}

inline bool send_all(int fd, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads one message; `buffer` keeps what follows it. Fails at the end of the connection, or when
// `until` has passed.
inline std::optional<message> read_message(int fd, std::string& buffer, clock_type::time_point until) {
    const auto fill = [&] {
        const auto left = std::chrono::duration_cast<ms>(until - clock_type::now()).count();
        pollfd p{fd, POLLIN, 0};
        if (left <= 0 || ::poll(&p, 1, static_cast<int>(std::min<long long>(left, 1000000))) <= 0) {
            return false;
        }
        char chunk[65536];
        const auto n = ::recv(fd, chunk, sizeof chunk, 0);
        if (n <= 0) {
            return false;
        }
        buffer.append(chunk, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    message it;
    const auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    std::size_t from = head.find("\r\n");
    const auto first = head.substr(0, from);
    const auto space = first.find(' ');
    const auto second = first.find(' ', space + 1);
    if (first.starts_with("HTTP/")) {
        it.status = std::atoi(first.c_str() + space + 1);
    } else {
        it.method = first.substr(0, space);
        it.target = first.substr(space + 1, second - space - 1);
    }
    while (from != std::string::npos) {
        const auto next = head.find("\r\n", from + 2);
        const auto line = head.substr(from + 2, next == std::string::npos ? next : next - from - 2);
        from = next;
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        for (auto& c : name) {
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        }
        const auto value = line.find_first_not_of(' ', colon + 1);
        it.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    const auto length = it.headers.find("content-length");
    const std::size_t size = length == it.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!fill()) {
            return std::nullopt;
        }
    }
    it.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return it;
}

// Serves requests at one address until crash(). The handler runs on the connection's thread and may
// block; it returns nullopt to leave the request without an answer.
class http_host {
public:
    using handler = std::function<std::optional<message>(const message&)>;

    http_host(std::string ip, int port, handler handle)
        : m_ip(std::move(ip)), m_port(port), m_handle(std::move(handle)) {}
    ~http_host() { crash(); }

    bool listen() {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto at = address_of(m_ip, m_port);
        if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
            ::close(fd);
            return false;
        }
        m_life++;
        m_listener = fd;
        m_acceptor = std::thread([this, fd] { accept_all(fd); });
        return true;
    }

    // Ends as a process does: the port is closed and each open connection is reset.
    void crash() {
        const int fd = m_listener.exchange(-1);
        if (fd < 0) {
            return;
        }
        m_life++;
        ::shutdown(fd, SHUT_RDWR);
        m_acceptor.join();
        ::close(fd);
        const std::lock_guard lock(m_mutex);
        for (const int it : m_open) {
            const linger reset{1, 0};
            ::setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(it, SHUT_RDWR);
        }
    }

    // The connections that are open now go silent for good, without a reset; new ones work.
    void silence() { m_generation++; }

    // Changes with each start and each crash.
    int life() const { return m_life; }

private:
    void accept_all(int listener) {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            std::thread([this, fd, life = m_life.load(), generation = m_generation.load()] {
                serve(fd, life, generation);
            }).detach();
        }
    }

    void serve(int fd, int life, int generation) {
        std::string buffer;
        while (m_life == life) {
            const auto request = read_message(fd, buffer, clock_type::now() + std::chrono::hours(1));
            if (!request || m_life != life) {
                break;
            }
            if (m_generation != generation) {
                continue; // what arrives on a silent connection is lost
            }
            const auto answer = m_handle(*request);
            if (m_life != life) {
                break;
            }
            if (!answer || m_generation != generation) {
                continue;
            }
            std::string text = "HTTP/1.1 " + std::to_string(answer->status) +
                               " X\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body;
            if (!send_all(fd, text)) {
                break;
            }
        }
        {
            const std::lock_guard lock(m_mutex);
            m_open.erase(fd);
        }
        ::close(fd);
    }

    const std::string m_ip;
    const int m_port;
    const handler m_handle;
    std::atomic<int> m_listener = -1;
    std::atomic<int> m_life = 0;
    std::atomic<int> m_generation = 0;
    std::thread m_acceptor;
    std::mutex m_mutex;
    std::set<int> m_open;
};

// A request on a connection of its own. nullopt: no complete answer came within `patience`.
inline std::optional<message> call(const std::string& ip, int port, const std::string& method,
                                   const std::string& target, const std::map<std::string, std::string>& headers,
                                   const std::string& body, ms patience) {
    const auto until = clock_type::now() + patience;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto at = address_of(ip, port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return std::nullopt;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    bool has_host = false;
    for (const auto& [name, value] : headers) {
        has_host = has_host || name == "Host";
        text += name + ": " + value + "\r\n";
    }
    if (!has_host) {
        text += "Host: " + ip + "\r\n";
    }
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::optional<message> answer;
    std::string buffer;
    if (send_all(fd, text)) {
        answer = read_message(fd, buffer, until);
    }
    ::close(fd);
    return answer;
}

} // namespace review
