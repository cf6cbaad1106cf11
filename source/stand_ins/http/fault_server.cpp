// Connection handling of the fault server: a buffered stream over a socket, and a pool of threads
// that grows with the number of open connections.
#include "stand_ins/http/fault_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "core/http/server_setup.h"

namespace savorytrail::stand_ins {
namespace {

constexpr int request_timeout_ms = 30'000; // longest wait for more data within one request
constexpr std::size_t max_body_bytes = 64 << 20;
constexpr std::size_t buffer_bytes = 16'384;

thread_local server_connection* s_current = nullptr;

// Thread pool that serves one connection per thread and starts a thread when none is idle.
class growing_thread_pool final : public httplib::TaskQueue {
public:
    explicit growing_thread_pool(std::size_t max_threads) : m_max_threads(max_threads) {}

    void enqueue(std::function<void()> fn) override {
        const std::lock_guard lock(m_mutex);
        m_pending.push_back(std::move(fn));
        if (m_idle < m_pending.size() && m_threads.size() < m_max_threads)
            m_threads.emplace_back([this] { run_thread(); });
        m_condition.notify_one();
    }

    void shutdown() override {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_condition.notify_all();
        for (auto& it : m_threads)
            it.join();
    }

private:
    void run_thread() {
        std::unique_lock lock(m_mutex);
        while (true) {
            m_idle++;
            m_condition.wait(lock, [this] { return m_stopped || !m_pending.empty(); });
            m_idle--;
            if (m_pending.empty())
                return;
            const auto fn = std::move(m_pending.front());
            m_pending.pop_front();
            lock.unlock();
            fn();
            lock.lock();
        }
    }

    const std::size_t m_max_threads;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<std::function<void()>> m_pending; // guarded by m_mutex, as all below
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopped = false;
};

void read_address(const sockaddr_in& from, std::string& ip, int& port) {
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(from.sin_port);
}

// Buffers a response until flush(), so that it can be discarded when the connection is abandoned.
class socket_stream final : public httplib::Stream {
public:
    explicit socket_stream(int socket) : m_socket(socket) {}

    bool is_readable() const override { return m_next < m_filled || wait(request_timeout_ms); }
    bool is_writable() const override { return true; }
    socket_t socket() const override { return m_socket; }

    ssize_t read(char* target, size_t size) override {
        if (m_next == m_filled && !fill())
            return m_closed ? 0 : -1;
        const auto n = std::min(size, m_filled - m_next);
        std::copy_n(m_input.data() + m_next, n, target);
        m_next += n;
        return static_cast<ssize_t>(n);
    }

    ssize_t write(const char* data, size_t size) override {
        m_output.append(data, size);
        return static_cast<ssize_t>(size);
    }

    void get_remote_ip_and_port(std::string& ip, int& port) const override {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        if (getpeername(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
            read_address(address, ip, port);
    }

    void get_local_ip_and_port(std::string& ip, int& port) const override {
        sockaddr_in address{};
        socklen_t size = sizeof(address);
        if (getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0)
            read_address(address, ip, port);
    }

    // Waits for the next request. Returns false when the client has closed the connection.
    bool wait_for_request() {
        if (m_next < m_filled)
            return true;
        return wait(-1) && fill();
    }

    bool flush() {
        std::size_t sent = 0;
        while (sent < m_output.size()) {
            const auto n =
                send(m_socket, m_output.data() + sent, m_output.size() - sent, MSG_NOSIGNAL);
            if (n < 0 && errno == EINTR)
                continue;
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        m_bytes.out += sent;
        m_output.clear();
        return true;
    }

    void discard_output() { m_output.clear(); }
    byte_counts take_bytes() { return std::exchange(m_bytes, {}); }

private:
    bool wait(int timeout_ms) const {
        pollfd it{m_socket, POLLIN, 0};
        int n = 0;
        do
            n = poll(&it, 1, timeout_ms);
        while (n < 0 && errno == EINTR);
        return n > 0;
    }

    bool fill() {
        // An interim response (100 Continue) must be sent before waiting for the body.
        if (!m_output.empty() && !flush())
            return false;
        if (!wait(request_timeout_ms))
            return false;
        ssize_t n = 0;
        do
            n = recv(m_socket, m_input.data(), m_input.size(), 0);
        while (n < 0 && errno == EINTR);
        m_closed = n == 0;
        if (n <= 0)
            return false;
        m_next = 0;
        m_filled = static_cast<std::size_t>(n);
        m_bytes.in += m_filled;
        return true;
    }

    const int m_socket;
    std::array<char, buffer_bytes> m_input{};
    std::size_t m_next = 0;   // first unread byte of m_input
    std::size_t m_filled = 0; // end of the received bytes in m_input
    std::string m_output;
    byte_counts m_bytes;
    bool m_closed = false;
};

} // namespace

void server_connection::wait_for_close() {
    abandon();
    pollfd it{m_socket, POLLRDHUP, 0};
    while (poll(&it, 1, -1) < 0 && errno == EINTR) {
    }
}

server_connection& server_connection::current() {
    return *s_current;
}

std::error_code fault_server::bind(const common::endpoint& address, std::size_t max_threads) {
    http::server_limits limits;
    limits.threads = max_threads;
    limits.max_body_bytes = max_body_bytes;
    if (const auto ec = http::bind_server(*this, address, limits))
        return ec;
    new_task_queue = [max_threads] { return new growing_thread_pool(max_threads); };
    return {};
}

bool fault_server::process_and_close_socket(socket_t socket) {
    socket_stream stream(socket);
    server_connection connection(socket);
    s_current = &connection;
    bool open = true;
    while (open && stream.wait_for_request()) {
        connection.m_excluded = false;
        bool closed = false;
        open = process_request(stream, false, closed, nullptr) && !closed;
        if (connection.m_abandoned) {
            stream.discard_output();
            open = false;
        }
        open = stream.flush() && open;
        const auto bytes = stream.take_bytes();
        if (!connection.m_excluded) {
            m_bytes_in += bytes.in;
            m_bytes_out += bytes.out;
        }
    }
    s_current = nullptr;
    on_connection_end();
    ::shutdown(socket, SHUT_RDWR);
    close(socket);
    return open;
}

} // namespace savorytrail::stand_ins
