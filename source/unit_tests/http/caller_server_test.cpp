// Tests of caller_server with slow and malicious callers.
#include "core/http/caller_server.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "core/http/client.h"
#include "httplib.h"

namespace savorytrail::http {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds service_bound{4000}; // within which a well-behaved caller must be served

class raw_connection {
public:
    explicit raw_connection(const common::endpoint& to)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
        EXPECT_EQ(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        const timeval timeout{service_bound.count() / 1000, 0};
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    }
    ~raw_connection() { ::close(m_socket); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void send(const std::string& text) const {
        ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    // Reads until the server closes the connection; appends "open" when it did not in time.
    std::string read_all() const {
        std::string text;
        char buf[4096];
        for (;;) {
            const auto n = ::recv(m_socket, buf, sizeof(buf), 0);
            if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
                return text + "open";
            if (n <= 0)
                return text;
            text.append(buf, n);
        }
    }

private:
    const int m_socket;
};

class caller_server_test : public testing::Test {
protected:
    static caller_server_limits limits() {
        caller_server_limits it;
        it.connections = 8;
        it.max_body_bytes = 1000;
        it.header_time = milliseconds(1000);
        it.body_time = milliseconds(1000);
        return it;
    }

    void SetUp() override {
        m_server.routes().Get("/hello", [](const httplib::Request&, httplib::Response& out) {
            out.set_content("hello", "text/plain");
        });
        m_server.routes().Post("/length", [](const httplib::Request& in, httplib::Response& out) {
            out.set_content(std::to_string(in.body.size()), "text/plain");
        });
        m_server.routes().Get("/slow", [this](const httplib::Request&, httplib::Response& out) {
            m_is_slow_served = true;
            std::this_thread::sleep_for(milliseconds(1000));
            out.set_content("done", "text/plain");
        });
        // No other test uses this address, so a free port is found quickly.
        for (m_address.port = 20000; m_server.bind(m_address); m_address.port++)
            ASSERT_LT(m_address.port, 20100);
        m_thread = std::thread([this] { m_server.serve(); });
    }

    void TearDown() override { stop(); }

    void stop() {
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    // Retries as a caller does whose connection was refused or closed.
    bool is_served_within_bound() {
        const auto end = steady_clock::now() + service_bound;
        while (steady_clock::now() < end) {
            client it(m_address, {});
            const auto response = it.send({method::get, "/hello", "", "", {}});
            if (response && response.value().status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    common::endpoint m_address{"127.78.0.1", 0};
    caller_server m_server{limits()};
    std::thread m_thread;
    std::atomic<bool> m_is_slow_served{false};
};

struct slow_caller {
    const char* name;
    std::string sent;
};

class slow_callers : public caller_server_test, public testing::WithParamInterface<slow_caller> {};

TEST_P(slow_callers, do_not_starve_other_callers) {
    std::vector<std::unique_ptr<raw_connection>> slow;
    for (std::size_t i = 0; i < 3 * limits().connections; i++) {
        slow.push_back(std::make_unique<raw_connection>(m_address));
        slow.back()->send(GetParam().sent);
    }
    EXPECT_TRUE(is_served_within_bound());
}

TEST_P(slow_callers, are_disconnected) {
    const raw_connection it(m_address);
    it.send(GetParam().sent);
    if (GetParam().sent.empty())
        return; // an idle connection may stay open
    EXPECT_EQ(it.read_all().find("open"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
    table, slow_callers,
    testing::Values(slow_caller{"nothing", ""}, slow_caller{"half_line", "GET /hel"},
                    slow_caller{"half_header", "GET /hello HTTP/1.1\r\nHost: x\r\nX-A: "},
                    slow_caller{"half_body",
                                "POST /length HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc"}),
    [](const auto& it) { return it.param.name; });

struct bad_request {
    const char* name;
    std::string sent;
    const char* response; // prefix; empty when the connection is closed without a response
};

class bad_requests : public caller_server_test, public testing::WithParamInterface<bad_request> {};

TEST_P(bad_requests, do_not_affect_other_callers) {
    {
        const raw_connection it(m_address);
        it.send(GetParam().sent);
        const auto text = it.read_all();
        EXPECT_TRUE(text.starts_with(GetParam().response)) << text.substr(0, 200);
        EXPECT_FALSE(text.ends_with("open"));
    }
    EXPECT_TRUE(is_served_within_bound());
}

const std::string close_and_end = "\r\nConnection: close\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    table, bad_requests,
    testing::Values(
        bad_request{"long_url", "GET /" + std::string(9000, 'a') + " HTTP/1.1" + close_and_end,
                    "HTTP/1.1 414"},
        bad_request{"long_header",
                    "GET /hello HTTP/1.1\r\nX: " + std::string(9000, 'a') + close_and_end, ""},
        bad_request{"endless_header", "GET /hello HTTP/1.1\r\nX: " + std::string(100000, 'a'), ""},
        bad_request{"large_body",
                    "POST /length HTTP/1.1\r\nContent-Length: 2000" + close_and_end +
                        std::string(2000, 'a'),
                    "HTTP/1.1 413"},
        bad_request{"wrong_length", "POST /length HTTP/1.1\r\nContent-Length: -1" + close_and_end,
                    "HTTP/1.1"},
        bad_request{"no_http", std::string("\x16\x03\x01\x00\xff\x00\r\n\r\n", 10), ""},
        bad_request{"good", "GET /hello HTTP/1.1" + close_and_end, "HTTP/1.1 200"}),
    [](const auto& it) { return it.param.name; });

TEST_F(caller_server_test, keep_alive_connections_serve_many_requests) {
    client it(m_address, {});
    for (int i = 0; i < 100; i++) {
        const auto response =
            it.send({method::post, "/length", std::string(i + 1, 'x'), "x/y", {}});
        ASSERT_TRUE(response);
        EXPECT_EQ(response.value().body, std::to_string(i + 1));
    }
}

TEST_F(caller_server_test, stop_closes_idle_connections_and_finishes_requests) {
    client idle(m_address, {});
    ASSERT_TRUE(idle.send({method::get, "/hello", "", "", {}}));
    auto served = std::async(std::launch::async, [this] {
        client it(m_address, {});
        return it.send({method::get, "/slow", "", "", {}});
    });
    while (!m_is_slow_served)
        std::this_thread::sleep_for(milliseconds(5));
    const auto start = steady_clock::now();
    stop();
    EXPECT_LT(steady_clock::now() - start, service_bound)
        << "stop() must not wait for the idle timeout of a minute";
    const auto response = served.get();
    ASSERT_TRUE(response);
    EXPECT_EQ(response.value().body, "done");
}

} // namespace
} // namespace savorytrail::http
