// Tests of the connection pool with servers that close, reset, stop responding or respond late.
#include "core/http/client.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "fake_server.h"

namespace savorytrail::http {
namespace {

using common::error;
using std::chrono::milliseconds;

constexpr milliseconds response_timeout{300};
constexpr milliseconds long_enough{5000};
constexpr milliseconds settle_time{50}; // for a segment on loopback to arrive

request post(const std::string& body) {
    request it;
    it.verb = method::post;
    it.path = "/work";
    it.body = body;
    return it;
}

void echo(fake_connection& it) {
    while (it.read_request())
        it.respond(it.last_body());
}

// What the server does with the first request of a connection, and the error that send() returns.
struct failure_case {
    const char* name;
    fake_server::script script;
    error expected;
};

class first_request : public testing::TestWithParam<failure_case> {};

TEST_P(first_request, reports_the_failure_and_is_sent_once) {
    std::atomic<int> requests{0};
    const auto& script = GetParam().script;
    fake_server server({[&](fake_connection& it) {
        if (!it.read_request())
            return;
        requests++;
        script(it);
    }});
    client pool(server.address(), {});
    const auto result = pool.send(post("x"), response_timeout);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error(), GetParam().expected);
    std::this_thread::sleep_for(settle_time);
    EXPECT_EQ(requests, 1);
    EXPECT_EQ(pool.connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, first_request,
    testing::Values(
        failure_case{"silent", [](auto& it) { it.wait_until_closed(); }, error::timed_out},
        failure_case{"closed", [](auto&) {}, error::connection_lost},
        failure_case{"reset", [](auto& it) { it.reset_on_close(); }, error::connection_lost},
        failure_case{"closed_in_the_header", [](auto& it) { it.write("HTTP/1.1 200 OK\r\nCont"); },
                     error::connection_lost},
        failure_case{"closed_in_the_body",
                     [](auto& it) { it.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"); },
                     error::connection_lost},
        failure_case{"silent_in_the_body",
                     [](auto& it) {
                         it.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
                         it.wait_until_closed();
                     },
                     error::timed_out},
        failure_case{"trickling",
                     [](auto& it) {
                         it.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
                         for (int i = 0; i < 20; i++) {
                             std::this_thread::sleep_for(settle_time);
                             it.write("a");
                         }
                     },
                     error::timed_out},
        failure_case{"no_http", [](auto& it) { it.write("what?\r\n\r\n"); },
                     error::connection_lost}),
    [](const auto& param) { return param.param.name; });

TEST(client, reports_unreachable_only_when_nothing_was_sent) {
    common::endpoint closed;
    {
        const fake_server server({echo});
        closed = server.address();
    }
    client pool(closed, {});
    EXPECT_EQ(pool.send(post("x")).error(), error::unreachable);
}

TEST(client, reuses_a_connection) {
    fake_server server({echo});
    client pool(server.address(), {});
    for (int i = 0; i < 5; i++)
        EXPECT_EQ(pool.send(post(std::to_string(i))).value().body, std::to_string(i));
    EXPECT_EQ(server.accepted(), 1);
}

// What the server sends on an idle connection after its first response.
struct idle_fault {
    const char* name;
    fake_server::script script;
};

class idle_connection : public testing::TestWithParam<idle_fault> {};

TEST_P(idle_connection, is_not_used_again) {
    const auto& script = GetParam().script;
    std::atomic<int> second_requests{0};
    fake_server server({[&](fake_connection& it) {
                            it.read_request();
                            it.respond("first");
                            std::this_thread::sleep_for(settle_time);
                            script(it);
                            if (it.read_request())
                                second_requests++;
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    std::this_thread::sleep_for(4 * settle_time);
    EXPECT_EQ(pool.send(post("2")).value().body, "2");
    EXPECT_EQ(server.accepted(), 2);
    EXPECT_EQ(second_requests, 0);
}

INSTANTIATE_TEST_SUITE_P(
    table, idle_connection,
    testing::Values(idle_fault{"with_another_answer", [](auto& it) { it.respond("crossed"); }},
                    idle_fault{"with_part_of_an_answer", [](auto& it) { it.write("H"); }}),
    [](const auto& param) { return param.param.name; });

struct close_case {
    const char* name;
    bool is_reset;
};

class closed_idle_connection : public testing::TestWithParam<close_case> {};

TEST_P(closed_idle_connection, is_replaced_before_the_request_is_sent) {
    fake_server server({[](fake_connection& it) {
                            it.read_request();
                            it.respond("first");
                            if (GetParam().is_reset)
                                it.reset_on_close();
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    std::this_thread::sleep_for(settle_time);
    EXPECT_EQ(pool.send(post("2")).value().body, "2");
    EXPECT_EQ(server.accepted(), 2);
}

INSTANTIATE_TEST_SUITE_P(table, closed_idle_connection,
                         testing::Values(close_case{"closed", false}, close_case{"reset", true}),
                         [](const auto& param) { return param.param.name; });

// The server closes the connection while the second request is being sent. The client cannot know
// whether the request was read, so it must not send it again.
TEST(client, does_not_resend_a_request_when_a_reused_connection_breaks) {
    std::atomic<int> requests{0};
    fake_server server({[&](fake_connection& it) {
                            it.read_request();
                            it.respond("first");
                            it.read_request();
                            requests++;
                        },
                        [&](fake_connection& it) {
                            while (it.read_request()) {
                                requests++;
                                it.respond("again");
                            }
                        }});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    EXPECT_EQ(pool.send(post("2")).error(), error::connection_lost);
    std::this_thread::sleep_for(2 * settle_time);
    EXPECT_EQ(requests, 1);
}

TEST(client, never_matches_a_late_response_to_another_request) {
    fake_server server({[](fake_connection& it) {
                            it.read_request();
                            std::this_thread::sleep_for(2 * response_timeout);
                            it.respond("late");
                            it.wait_until_closed();
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1"), response_timeout).error(), error::timed_out);
    for (const auto* body : {"2", "3"}) {
        EXPECT_EQ(pool.send(post(body)).value().body, body);
        std::this_thread::sleep_for(2 * response_timeout);
    }
}

TEST(client, drops_the_other_connections_after_a_timeout) {
    std::promise<void> both_requests_arrived;
    const auto arrived = both_requests_arrived.get_future().share();
    std::atomic<int> arrivals{0};
    // Two connections respond once and ignore everything afterwards; later ones echo.
    const auto stops_responding = [&](fake_connection& it) {
        it.read_request();
        if (++arrivals == 2)
            both_requests_arrived.set_value();
        arrived.wait_for(long_enough);
        it.respond("first");
        it.wait_until_closed();
    };
    fake_server server({stops_responding, stops_responding, echo});
    client pool(server.address(), {});
    auto other = std::async(std::launch::async, [&] { return pool.send(post("b")).has_value(); });
    EXPECT_TRUE(pool.send(post("a")).has_value());
    EXPECT_TRUE(other.get());
    ASSERT_EQ(pool.connections(), 2U);

    EXPECT_EQ(pool.send(post("c"), response_timeout).error(), error::timed_out);
    EXPECT_EQ(pool.connections(), 0U);
    EXPECT_EQ(pool.send(post("d"), response_timeout).value().body, "d");
}

TEST(client, closes_connections_past_the_idle_timeout) {
    fake_server server({echo});
    client pool(server.address(), {milliseconds(500), milliseconds(10000), milliseconds(100)});
    EXPECT_TRUE(pool.send(post("1")).has_value());
    EXPECT_EQ(pool.connections(), 1U);
    std::this_thread::sleep_for(milliseconds(150));
    pool.close_stale();
    EXPECT_EQ(pool.connections(), 0U);
}

TEST(client, respects_the_connection_limit) {
    fake_server server({[](fake_connection& it) {
        while (it.read_request()) {
            std::this_thread::sleep_for(milliseconds(20));
            it.respond("done");
        }
    }});
    client pool(server.address(), {long_enough}, 2);
    constexpr int requests = 8;
    std::vector<std::future<bool>> results;
    results.reserve(requests);
    for (int i = 0; i < requests; i++)
        results.push_back(
            std::async(std::launch::async, [&] { return pool.send(post("x")).has_value(); }));
    for (auto& it : results)
        EXPECT_TRUE(it.get());
    EXPECT_LE(server.accepted(), 2);
}

} // namespace
} // namespace savorytrail::http
