// Tests of the event loop's HTTP server and client against each other, over loopback.
#include <gtest/gtest.h>

#include "core/reactor/datagrams.h"
#include "core/reactor/http_client.h"
#include "core/reactor/http_server.h"

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
              if (m_echoes) {
                  answer->send({200, {{"X-Seen", request.target}}, request.body});
              }
          }) {
        EXPECT_TRUE(m_server.listen(address));
    }

    // Sends a request and runs the loop until its callback, or for the time.
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
    bool m_echoes = true;
    std::vector<std::string> m_results;
    std::vector<std::error_code> m_errors;
    http_server m_server;
    http_client m_client{m_loop};
};

TEST_F(http, answers_requests_on_one_connection) {
    send("a");
    m_loop.after(milliseconds(50), [this] { send("b"); });
    run_for(milliseconds(150));
    EXPECT_EQ(m_results, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(http, gives_up_a_request_that_is_not_answered) {
    m_echoes = false;
    send("a", milliseconds(50));
    run_for(milliseconds(150));
    ASSERT_EQ(m_errors.size(), 1U);
    EXPECT_EQ(m_errors[0], common::error::timed_out);
}

TEST_F(http, tells_that_nothing_was_sent) {
    http_request request;
    m_client.send({"127.91.7.1", 18081}, request, milliseconds(100),
                  [this](const auto& it) { m_errors.push_back(it.error()); });
    run_for(milliseconds(100));
    ASSERT_EQ(m_errors.size(), 1U);
    EXPECT_EQ(m_errors[0], common::error::unreachable);
}

TEST_F(http, tells_the_server_that_a_caller_has_left) {
    m_echoes = false;
    bool is_abandoned = false;
    const auto cancel = send("a");
    m_loop.after(milliseconds(50), [&] {
        m_answers.at(0)->on_disconnect([&] { is_abandoned = true; });
        cancel();
    });
    run_for(milliseconds(150));
    EXPECT_TRUE(is_abandoned);
    EXPECT_TRUE(m_results.empty());
}

TEST_F(http, sends_a_late_answer_to_its_own_request) {
    m_echoes = false;
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

TEST_F(http, refuses_a_body_that_is_too_long) {
    send(std::string(2000, 'x'));
    run_for(milliseconds(100));
    EXPECT_TRUE(m_requests.empty());
    EXPECT_EQ(m_results.size(), 1U);
}

TEST_F(http, closes_connections_after_answers_when_asked_to) {
    m_server.close_after_responses();
    send("a");
    run_for(milliseconds(100));
    m_answers.clear(); // they keep their connection's record
    EXPECT_EQ(m_results, (std::vector<std::string>{"a"}));
    EXPECT_EQ(m_server.connections(), 0U);
}

TEST(datagrams, arrive) {
    loop on;
    std::vector<std::string> received;
    const common::endpoint at{"127.91.7.2", 18082};
    datagrams socket(on, [&](const std::string& bytes, const common::endpoint& from) {
        received.push_back(bytes + " from " + from.to_string());
    });
    ASSERT_TRUE(socket.open(at));
    socket.send(at, "hello");
    on.after(milliseconds(50), [&] { on.stop(); });
    on.run();
    EXPECT_EQ(received, (std::vector<std::string>{"hello from 127.91.7.2:18082"}));
}

} // namespace
} // namespace savorytrail::reactor
