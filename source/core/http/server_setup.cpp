// Configures cpp-httplib servers. cpp-httplib listens with a backlog of five connections, and a
// connection beyond the backlog waits a second for the kernel's retry, so a second listen() after
// bind enlarges the backlog.
#include "core/http/server_setup.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <memory>

#include "core/common/thread_pool.h"
#include "httplib.h"

namespace savorytrail::http {
namespace {

constexpr int listen_backlog = 1024; // connections
constexpr std::size_t keep_alive_requests = 1'000'000'000;

// cpp-httplib's thread pool starts all threads at construction; this one starts them on demand.
class growing_task_queue final : public httplib::TaskQueue {
public:
    explicit growing_task_queue(std::size_t max_threads) : m_pool(max_threads) {}
    void enqueue(std::function<void()> fn) override { m_pool.run(std::move(fn)); }
    void shutdown() override { m_pool.shut_down(); }

private:
    common::thread_pool m_pool;
};

} // namespace

std::error_code bind_server(httplib::Server& server, const common::endpoint& address,
                            const server_limits& limits) {
    server.new_task_queue = [n = limits.threads] { return new growing_task_queue(n); };
    server.set_payload_max_length(limits.max_body_bytes);
    server.set_read_timeout(limits.read_timeout);
    server.set_write_timeout(limits.read_timeout);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(limits.keep_alive.count());
    server.set_tcp_nodelay(true);

    const auto listening_socket = std::make_shared<int>(-1);
    server.set_socket_options([listening_socket](socket_t socket) {
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        *listening_socket = socket;
    });
    if (!server.bind_to_port(address.host, address.port))
        return {errno != 0 ? errno : EADDRINUSE, std::generic_category()};
    if (::listen(*listening_socket, listen_backlog) != 0)
        return {errno, std::generic_category()};
    return {};
}

} // namespace savorytrail::http
