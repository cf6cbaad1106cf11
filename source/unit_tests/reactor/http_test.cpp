// Tests of the HTTP server and client against each other, and of the UDP socket, over loopback.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

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

    // Connects and sends this many requests; returns the socket.
    static int connect_and_send(int requests) {
        const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
        EXPECT_EQ(::connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof to), 0);
        const std::string request = "GET /t HTTP/1.1\r\nHost: a\r\n\r\n";
        for (int i = 0; i < requests; i++) {
            EXPECT_EQ(::send(caller, request.data(), request.size(), 0),
                      static_cast<ssize_t>(request.size()));
        }
        return caller;
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

TEST_F(http, tells_a_refused_connection_from_an_unreachable_peer) {
    http_request request;
    m_client.send({"127.91.7.1", 18081}, request, milliseconds(100),
                  [this](const auto& it) { m_errors.push_back(it.error()); });
    run_for(milliseconds(100));
    ASSERT_EQ(m_errors.size(), 1U);
    EXPECT_EQ(m_errors[0], common::error::connection_refused);
    EXPECT_TRUE(common::is_unsent(m_errors[0]));
}

class http_idle : public http, public testing::WithParamInterface<int> {};

// Guards against a peer that is unreachable for one time-out after the other, as its open
// connections went silent and each is tried in turn.
TEST_P(http_idle, connections_are_closed_when_a_request_to_the_same_address_times_out) {
    m_replies_at_once = false;
    for (int i = 0; i < GetParam(); i++) {
        send("x");
    }
    m_loop.after(milliseconds(50), [this] {
        for (const auto& it : std::exchange(m_answers, {})) {
            it->send({200, {}, ""});
        }
    });
    m_loop.after(milliseconds(100), [this] {
        EXPECT_EQ(m_server.connections(), static_cast<std::size_t>(GetParam()));
        send("silent", milliseconds(50));
    });
    m_loop.after(milliseconds(200), [this] {
        m_answers.clear();
        EXPECT_EQ(m_server.connections(), 0U);
        m_replies_at_once = true;
        send("again");
    });
    run_for(milliseconds(250));
    EXPECT_EQ(m_results.back(), "again");
}

INSTANTIATE_TEST_SUITE_P(numbers, http_idle, testing::Values(1, 4, 16));

// Guards against a request for one process that reaches the next one at its address.
TEST_F(http, reuses_only_connections_that_lead_to_the_process_asked_for) {
    constexpr peer_process known = 1;
    std::vector<std::uint64_t> used;
    const auto request = [&](send_options options, peer_process answers) {
        http_request it;
        it.target = "/t";
        m_client.send(
            address, it, milliseconds(500),
            [&used, answers, this](const auto& answer) {
                used.push_back(answer.value().connection);
                m_client.note_process(address, answer.value(), answers);
            },
            options);
    };
    request({}, any_process);
    m_loop.after(milliseconds(30), [&] {
        EXPECT_TRUE(m_client.has_idle(address, any_process));
        EXPECT_FALSE(m_client.has_idle(address, known));
        request({.to_process = known}, known);
    });
    m_loop.after(milliseconds(60), [&] {
        EXPECT_TRUE(m_client.has_idle(address, known));
        EXPECT_FALSE(m_client.has_idle(address, known + 1));
        request({.to_process = known}, known);
    });
    m_loop.after(milliseconds(90), [&] { m_server.close_connections(); });
    run_for(milliseconds(120));
    ASSERT_EQ(used.size(), 3U);
    EXPECT_NE(used[1], used[0]);
    EXPECT_EQ(used[2], used[1]);
    EXPECT_FALSE(m_client.has_idle(address, any_process));
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

enum class ending { close, reset };

// Ends a caller's connection.
void end_connection(int caller, ending how) {
    if (how == ending::reset) {
        const linger at_once{1, 0};
        ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
    ::close(caller);
}

struct read_ahead_case {
    int requests_ahead;
    ending how;
};

class requests_ahead : public http, public testing::WithParamInterface<read_ahead_case> {};

// A caller that had sent many requests ahead was not noticed to have left until its first one was
// answered, as the server had stopped reading: a job ran on for it, beside the one that it sent
// again elsewhere.
TEST_P(requests_ahead, do_not_hide_that_their_caller_has_left) {
    m_replies_at_once = false;
    bool is_disconnected = false;
    const int caller = connect_and_send(1 + GetParam().requests_ahead);
    m_loop.after(milliseconds(50), [&] {
        m_answers.at(0)->on_disconnect([&] { is_disconnected = true; });
        end_connection(caller, GetParam().how);
    });
    run_for(milliseconds(150));
    EXPECT_TRUE(is_disconnected);
    EXPECT_EQ(m_requests.size(), 1U);
}

// The bound on what is read ahead must not cost a caller that stays any answer.
TEST_P(requests_ahead, are_all_answered_to_a_caller_that_stays) {
    m_replies_at_once = false;
    const auto requests = 1 + static_cast<std::size_t>(GetParam().requests_ahead);
    const int caller = connect_and_send(1 + GetParam().requests_ahead);
    m_loop.after(milliseconds(100), [&] {
        EXPECT_EQ(m_requests.size(), 1U);
        m_replies_at_once = true;
        m_answers.at(0)->send({200, {}, ""});
    });
    run_for(milliseconds(400));
    EXPECT_EQ(m_requests.size(), requests);
    end_connection(caller, GetParam().how);
}

INSTANTIATE_TEST_SUITE_P(
    numbers, requests_ahead,
    testing::Values(read_ahead_case{0, ending::close}, read_ahead_case{15, ending::close},
                    read_ahead_case{16, ending::close}, read_ahead_case{200, ending::close},
                    read_ahead_case{0, ending::reset}, read_ahead_case{15, ending::reset},
                    read_ahead_case{16, ending::reset}, read_ahead_case{200, ending::reset}),
    [](const auto& it) {
        const auto* const how = it.param.how == ending::close ? "closed" : "reset";
        return std::to_string(it.param.requests_ahead) + "_" + how;
    });

// A caller that closed its sending side while a long response was being written got a part of it.
TEST_F(http, completes_a_response_that_is_being_written_to_a_half_closed_connection) {
    constexpr std::size_t body_size = 16'000'000; // more than the kernel's buffers take
    m_replies_at_once = false;
    const int caller = connect_and_send(1);
    std::size_t received = 0;
    std::thread reader;
    m_loop.after(milliseconds(50), [&] {
        m_answers.at(0)->send({200, {}, std::string(body_size, 'x')});
        ::shutdown(caller, SHUT_WR);
    });
    m_loop.after(milliseconds(100), [&] {
        reader = std::thread([&] {
            std::vector<char> buf(65536);
            ssize_t n = 0;
            while ((n = ::recv(caller, buf.data(), buf.size(), 0)) > 0) {
                received += static_cast<std::size_t>(n);
            }
        });
    });
    run_for(milliseconds(1000));
    ::shutdown(caller, SHUT_RDWR); // ends recv() in any case
    reader.join();
    ::close(caller);
    EXPECT_GT(received, body_size);
}

struct leaving_case {
    const char* name;
    ending how;
};

class a_caller_that_has_left : public http, public testing::WithParamInterface<leaving_case> {};

// A request was started although its caller had left, and had sent it again to another entry.
TEST_P(a_caller_that_has_left, is_not_served) {
    const int caller = connect_and_send(1);
    end_connection(caller, GetParam().how);
    run_for(milliseconds(50));
    EXPECT_TRUE(m_requests.empty());
}

INSTANTIATE_TEST_SUITE_P(all, a_caller_that_has_left,
                         testing::Values(leaving_case{"closed", ending::close},
                                         leaving_case{"reset", ending::reset}),
                         [](const auto& it) { return std::string(it.param.name); });

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

// A server that sends what it is told in reply to each request, also what is no response to it.
class scripted_server {
public:
    struct reply {
        std::string bytes;
        std::string later; // 10 ms after them
    };

    explicit scripted_server(std::vector<reply> replies) : m_replies(std::move(replies)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(s_address.port);
        ::inet_pton(AF_INET, s_address.host.c_str(), &at.sin_addr);
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        EXPECT_EQ(::bind(m_listener, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
        EXPECT_EQ(::listen(m_listener, 8), 0);
        m_thread = std::thread([this] { serve(); });
    }
    ~scripted_server() {
        ::shutdown(m_listener, SHUT_RDWR); // ends accept()
        m_thread.join();
        ::close(m_listener);
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    inline static const common::endpoint s_address{"127.91.7.3", 18083};

private:
    void serve() {
        std::size_t next = 0;
        for (int caller = ::accept(m_listener, nullptr, nullptr); caller >= 0;
             caller = ::accept(m_listener, nullptr, nullptr)) {
            while (next < m_replies.size() && receive_request(caller)) {
                send(caller, m_replies[next].bytes);
                std::this_thread::sleep_for(milliseconds(10));
                send(caller, m_replies[next].later);
                next++;
            }
            ::close(caller);
        }
    }
    static bool receive_request(int caller) {
        std::string text;
        char c = 0;
        while (!text.ends_with("\r\n\r\n")) {
            if (::recv(caller, &c, 1, 0) != 1) {
                return false;
            }
            text += c;
        }
        return true;
    }
    static void send(int caller, const std::string& bytes) {
        std::ignore = ::send(caller, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    const std::vector<reply> m_replies;
    const int m_listener = ::socket(AF_INET, SOCK_STREAM, 0);
    std::thread m_thread;
};

std::string response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct reply_case {
    const char* name;
    scripted_server::reply first;
};

class unexpected_bytes : public testing::TestWithParam<reply_case> {};

// What was left of the bytes that a server had sent was taken for the answer to the next request on
// the connection, as a start order that was answered with the reply to another.
TEST_P(unexpected_bytes, are_not_taken_for_the_next_answer) {
    loop event_loop;
    http_client client(event_loop);
    scripted_server server({GetParam().first, {response("b"), ""}});
    std::vector<std::string> results;
    const std::function<void()> send = [&] {
        http_request request;
        request.method = "GET";
        request.target = "/t";
        client.send(scripted_server::s_address, request, milliseconds(500), [&](const auto& it) {
            results.push_back(it ? it.value().body : it.error().message());
            // All bytes arrive before the next request, which is sent at once.
            std::this_thread::sleep_for(milliseconds(50));
            results.size() < 2 ? send() : event_loop.stop();
        });
    };
    send();
    event_loop.after(milliseconds(2000), [&] { event_loop.stop(); });
    event_loop.run();
    EXPECT_EQ(results, (std::vector<std::string>{"a", "b"}));
}

INSTANTIATE_TEST_SUITE_P(
    http, unexpected_bytes,
    testing::Values(
        reply_case{"none", {response("a"), ""}},
        reply_case{"second_response", {response("a") + response("extra"), ""}},
        reply_case{"second_response_later", {response("a"), response("extra")}},
        reply_case{"part_of_a_response", {response("a") + "HTTP/1.1 2", ""}},
        reply_case{"interim_response", {"HTTP/1.1 100 Continue\r\n\r\n" + response("a"), ""}},
        reply_case{"interim_response_first", {"HTTP/1.1 103 Early Hints\r\n\r\n", response("a")}}),
    [](const auto& it) { return std::string(it.param.name); });

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
