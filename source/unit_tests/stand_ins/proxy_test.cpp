// Effect of each fault on proxied connections and datagrams, and of clearing it.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <mutex>

#include "stand_ins/proxy/sockets.h"
#include "stand_ins/proxy/tcp_route.h"
#include "stand_ins/proxy/udp_route.h"

namespace savorytrail::stand_ins {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view request = "eight by";
constexpr milliseconds silence_timeout(300);
constexpr milliseconds response_timeout(10'000);

const common::endpoint s_listen{"127.31.90.1", 7'301};
const common::endpoint s_target{"127.31.90.2", 7'302};

void set_receive_timeout(int socket, milliseconds timeout) {
    const timeval it{timeout.count() / 1'000, timeout.count() % 1'000 * 1'000};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &it, sizeof(it));
}

// Echoes the data that it receives, on every connection.
class echo_server {
public:
    echo_server() {
        m_listener = socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = to_socket_address(s_target);
        EXPECT_EQ(bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)),
                  0);
        EXPECT_EQ(listen(m_listener, 64), 0);
        m_acceptor = std::thread([this] { accept_all(); });
    }

    ~echo_server() {
        shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        close(m_listener);
        for (auto& it : m_threads)
            it.join();
    }

private:
    void accept_all() {
        while (true) {
            const int it = accept(m_listener, nullptr, nullptr);
            if (it < 0)
                return;
            m_threads.emplace_back([it] { echo(it); });
        }
    }

    static void echo(int socket) {
        std::array<char, 256> buf{};
        ssize_t n = 0;
        while ((n = recv(socket, buf.data(), buf.size(), 0)) > 0)
            send(socket, buf.data(), static_cast<std::size_t>(n), MSG_NOSIGNAL);
        close(socket);
    }

    int m_listener = -1;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

enum class observation { echo, silent, reset, refused };

class caller {
public:
    caller() : m_socket(socket(AF_INET, SOCK_STREAM, 0)) {
        const auto address = to_socket_address(s_listen);
        m_connected =
            connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    }
    ~caller() { close(m_socket); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    // Sends a request and returns the observed reaction. Waits long for an expected response, and
    // briefly when none is expected.
    observation call(observation expected) const {
        if (!m_connected)
            return observation::refused;
        set_receive_timeout(m_socket,
                            expected == observation::silent ? silence_timeout : response_timeout);
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
        std::array<char, 256> buf{};
        const auto n = recv(m_socket, buf.data(), request.size(), MSG_WAITALL);
        if (n < 0)
            return errno == EAGAIN ? observation::silent : observation::reset;
        return std::string_view(buf.data(), static_cast<std::size_t>(n)) == request
                   ? observation::echo
                   : observation::reset;
    }

private:
    int m_socket;
    bool m_connected;
};

struct proxy_case {
    const char* name;
    proxy_fault fault;
    observation old_connection;
    observation new_connection;
    std::uint64_t bytes_to_target; // sum of one request on each connection
    observation old_after;         // after the fault is cleared
    observation new_after;
};

class tcp_route_test : public testing::TestWithParam<proxy_case> {};

TEST_P(tcp_route_test, applies_and_clears_the_fault) {
    const auto& expected = GetParam();
    const echo_server server;
    tcp_route route({s_listen, s_target});
    ASSERT_FALSE(route.start());
    const caller old_caller;
    ASSERT_EQ(old_caller.call(observation::echo), observation::echo);
    const auto before = route.counters().bytes_to_target;

    ASSERT_FALSE(route.set_fault(expected.fault));
    EXPECT_EQ(old_caller.call(expected.old_connection), expected.old_connection);
    const caller new_caller;
    EXPECT_EQ(new_caller.call(expected.new_connection), expected.new_connection);
    EXPECT_EQ(route.counters().bytes_to_target - before, expected.bytes_to_target);

    ASSERT_FALSE(route.set_fault({}));
    EXPECT_EQ(old_caller.call(expected.old_after), expected.old_after);
    EXPECT_EQ(new_caller.call(expected.new_after), expected.new_after);
    EXPECT_EQ(caller().call(observation::echo), observation::echo);
}

constexpr auto echo = observation::echo;
constexpr auto silent = observation::silent;
constexpr auto reset = observation::reset;
constexpr auto refused = observation::refused;

INSTANTIATE_TEST_SUITE_P(
    cases, tcp_route_test,
    testing::Values(
        proxy_case{"pass", {proxy_mode::pass, {}, 0}, echo, echo, 16, echo, echo},
        proxy_case{"cut", {proxy_mode::cut, {}, 0}, reset, refused, 0, reset, refused},
        proxy_case{"drop", {proxy_mode::drop, {}, 0}, silent, silent, 0, silent, silent},
        proxy_case{"drop_old", {proxy_mode::drop_old, {}, 0}, silent, echo, 8, silent, echo},
        proxy_case{"delay", {proxy_mode::delay, milliseconds(50), 0}, echo, echo, 16, echo, echo},
        proxy_case{
            "cut_unnoticed", {proxy_mode::cut_unnoticed, {}, 0}, reset, silent, 0, reset, silent},
        proxy_case{"half_open", {proxy_mode::half_open, {}, 0}, silent, silent, 16, silent, silent},
        proxy_case{"cut_after", {proxy_mode::cut_after, {}, 5}, reset, reset, 10, reset, reset}),
    [](const auto& test) { return test.param.name; });

TEST(tcp_route, delays_each_direction) {
    const echo_server server;
    tcp_route route({s_listen, s_target});
    ASSERT_FALSE(route.start());
    ASSERT_FALSE(route.set_fault({proxy_mode::delay, milliseconds(100), 0}));
    const caller it;
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(it.call(observation::echo), observation::echo);
    EXPECT_GE(std::chrono::steady_clock::now() - start, milliseconds(200));
}

TEST(udp_route, forwards_and_drops) {
    const int receiver = socket(AF_INET, SOCK_DGRAM, 0);
    const auto target = to_socket_address(s_target);
    ASSERT_EQ(bind(receiver, reinterpret_cast<const sockaddr*>(&target), sizeof(target)), 0);
    set_receive_timeout(receiver, response_timeout);
    udp_route route({s_listen, s_target});
    ASSERT_FALSE(route.start());
    const int sender = socket(AF_INET, SOCK_DGRAM, 0);
    const auto listen = to_socket_address(s_listen);
    const auto send_one = [&](char text) {
        sendto(sender, &text, 1, 0, reinterpret_cast<const sockaddr*>(&listen), sizeof(listen));
    };
    const auto receive_one = [&] {
        char text = 0;
        recv(receiver, &text, 1, 0);
        return text;
    };

    send_one('a');
    EXPECT_EQ(receive_one(), 'a');
    ASSERT_FALSE(route.set_fault({proxy_mode::drop, {}, 0}));
    send_one('b');
    set_receive_timeout(receiver, silence_timeout);
    EXPECT_EQ(receive_one(), 0);
    ASSERT_FALSE(route.set_fault({proxy_mode::delay, milliseconds(20), 0}));
    set_receive_timeout(receiver, response_timeout);
    send_one('c');
    EXPECT_EQ(receive_one(), 'c');
    EXPECT_EQ(route.counters().datagrams, 2U);
    close(sender);
    close(receiver);
}

} // namespace
} // namespace savorytrail::stand_ins
