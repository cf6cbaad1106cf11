// Tests of the HTTP server and client against each other, and of the UDP socket, over loopback.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/reactor/http_client.h"
#include "core/reactor/http_server.h"
#include "core/reactor/udp_socket.h"

namespace savorytrail::reactor {
namespace {

using common::milliseconds;

const common::endpoint address{"127.91.7.1", 18080};

class http : public testing::Test {
protected:
    http()
        : m_server(m_loop, {4096, 1000, 100}, [this](http_request request, auto answer) {
              m_requests.push_back(request);
              m_answers.push_back(answer);
              if (m_replies_at_once) {
                  answer->send({200, {{"X-Seen", request.target}}, request.body});
              }
          }) {
        EXPECT_TRUE(m_server.listen(address));
    }

    // Sends a request; its result is appended to m_results and m_errors.
    http_client::canceller send(const std::string& body, milliseconds timeout = milliseconds(500)) {
        http_request request;
        request.method = "POST";
        request.target = "/t";
        request.body = body;
        return m_client.send(address, request, timeout, [this](const auto& it) {
            m_results.push_back(it ? it.value().body : it.error().message());
            m_errors.push_back(it ? std::error_code() : it.error());
        });
    }

    void run_for(milliseconds time) {
        m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

    loop m_loop;
    std::vector<http_request> m_requests;
    std::vector<std::shared_ptr<responder>> m_answers;
    bool m_replies_at_once = true;
    std::vector<std::string> m_results;
    std::vector<std::error_code> m_errors;
    http_server m_server;
    http_client m_client{m_loop};
};

TEST_F(http, reuses_one_connection_for_requests) {
    send("a");
    m_loop.after(milliseconds(50), [this] { send("b"); });
    run_for(milliseconds(150));
    EXPECT_EQ(m_results, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(http, times_out_an_unanswered_request) {
    m_replies_at_once = false;
    send("a", milliseconds(50));
    run_for(milliseconds(150));
    ASSERT_EQ(m_errors.size(), 1U);
    EXPECT_EQ(m_errors[0], common::error::timed_out);
}

TEST_F(http, reports_unreachable_when_nothing_was_sent) {
    http_request request;
    m_client.send({"127.91.7.1", 18081}, request, milliseconds(100),
                  [this](const auto& it) { m_errors.push_back(it.error()); });
    run_for(milliseconds(100));
    ASSERT_EQ(m_errors.size(), 1U);
    EXPECT_EQ(m_errors[0], common::error::unreachable);
}

TEST_F(http, notifies_the_server_when_a_caller_disconnects) {
    m_replies_at_once = false;
    bool is_disconnected = false;
    const auto cancel = send("a");
    m_loop.after(milliseconds(50), [&] {
        m_answers.at(0)->on_disconnect([&] { is_disconnected = true; });
        cancel();
    });
    run_for(milliseconds(150));
    EXPECT_TRUE(is_disconnected);
    EXPECT_TRUE(m_results.empty());
}

// A caller that had sent many requests ahead was not noticed to have left until its first one was
// answered, as the server had stopped reading.
TEST_F(http, notifies_the_server_when_a_caller_disconnects_that_sent_requests_ahead) {
    m_replies_at_once = false;
    bool is_disconnected = false;
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port);
    ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
    ASSERT_EQ(::connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
    for (int i = 0; i < 20; i++) {
        const std::string request = "GET /t HTTP/1.1\r\nHost: a\r\n\r\n";
        ASSERT_EQ(::send(caller, request.data(), request.size(), 0),
                  static_cast<ssize_t>(request.size()));
    }
    m_loop.after(milliseconds(50), [&] {
        m_answers.at(0)->on_disconnect([&] { is_disconnected = true; });
        ::close(caller);
    });
    run_for(milliseconds(1000));
    EXPECT_TRUE(is_disconnected);
}

TEST_F(http, matches_delayed_responses_to_requests) {
    m_replies_at_once = false;
    send("a");
    send("b");
    m_loop.after(milliseconds(50), [this] {
        for (std::size_t i = m_answers.size(); i > 0; i--) {
            m_answers[i - 1]->send({200, {}, "for " + m_requests[i - 1].body});
        }
    });
    run_for(milliseconds(150));
    std::sort(m_results.begin(), m_results.end());
    EXPECT_EQ(m_results, (std::vector<std::string>{"for a", "for b"}));
}

TEST_F(http, rejects_an_oversized_body) {
    send(std::string(2000, 'x'));
    run_for(milliseconds(100));
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(m_results.size(), 1U);
}

TEST_F(http, closes_connections_after_responses) {
    m_server.close_after_responses();
    send("a");
    run_for(milliseconds(100));
    m_answers.clear(); // responders keep their session, which connections() counts
    EXPECT_EQ(m_results, (std::vector<std::string>{"a"}));
    EXPECT_EQ(m_server.connections(), 0U);
}

TEST(udp_socket, delivers_to_the_bound_address) {
    loop event_loop;
    std::vector<std::string> received;
    const common::endpoint own_address{"127.91.7.2", 18082};
    udp_socket socket(event_loop, [&](const std::string& bytes, const common::endpoint& from) {
        received.push_back(bytes + " from " + from.to_string());
    });
    ASSERT_TRUE(socket.open(own_address));
    socket.send(own_address, "hello");
    event_loop.after(milliseconds(50), [&] { event_loop.stop(); });
    event_loop.run();
    EXPECT_EQ(received, (std::vector<std::string>{"hello from 127.91.7.2:18082"}));
}

} // namespace
} // namespace savorytrail::reactor
