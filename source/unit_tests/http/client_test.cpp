// Tests of the connection pool against servers that close, reset, fall silent or answer late.
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

constexpr milliseconds answer_timeout{300};
constexpr milliseconds long_enough{5000};
constexpr milliseconds settle{50}; // for a segment on loopback to arrive

request post(const std::string& body) {
    request it;
    it.verb = method::post;
    it.path = "/work";
    it.body = body;
    return it;
}

void echo(fake_connection& it) {
    while (it.read_request())
        it.answer(it.last_body());
}

// What a connection does with its first request, and what the caller is told.
struct ending {
    const char* name;
    fake_server::script script;
    error told;
};

class first_request : public testing::TestWithParam<ending> {};

TEST_P(first_request, ends_with_the_outcome_and_is_sent_once) {
    std::atomic<int> requests{0};
    const auto& script = GetParam().script;
    fake_server server({[&](fake_connection& it) {
        if (!it.read_request())
            return;
        requests++;
        script(it);
    }});
    client pool(server.address(), {});
    const auto answer = pool.send(post("x"), answer_timeout);
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error(), GetParam().told);
    std::this_thread::sleep_for(settle);
    EXPECT_EQ(requests, 1);
    EXPECT_EQ(pool.connections(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    table, first_request,
    testing::Values(
        ending{"silent", [](auto& it) { it.wait_until_closed(); }, error::timed_out},
        ending{"closed", [](auto&) {}, error::connection_lost},
        ending{"reset", [](auto& it) { it.reset_on_close(); }, error::connection_lost},
        ending{"closed_in_the_head", [](auto& it) { it.write("HTTP/1.1 200 OK\r\nCont"); },
               error::connection_lost},
        ending{"closed_in_the_body",
               [](auto& it) { it.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"); },
               error::connection_lost},
        ending{"silent_in_the_body",
               [](auto& it) {
                   it.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
                   it.wait_until_closed();
               },
               error::timed_out},
        ending{"trickling",
               [](auto& it) {
                   it.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
                   for (int i = 0; i < 20; i++) {
                       std::this_thread::sleep_for(settle);
                       it.write("a");
                   }
               },
               error::timed_out},
        ending{"no_http", [](auto& it) { it.write("what?\r\n\r\n"); }, error::connection_lost}),
    [](const auto& param) { return param.param.name; });

TEST(client, says_unreachable_only_when_nothing_was_sent) {
    common::endpoint closed;
    {
        const fake_server server({echo});
        closed = server.address();
    }
    client pool(closed, {});
    EXPECT_EQ(pool.send(post("x")).error(), error::unreachable);
}

TEST(client, keeps_a_connection) {
    fake_server server({echo});
    client pool(server.address(), {});
    for (int i = 0; i < 5; i++)
        EXPECT_EQ(pool.send(post(std::to_string(i))).value().body, std::to_string(i));
    EXPECT_EQ(server.accepted(), 1);
}

// What a connection does while it is idle after its first answer.
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
                            it.answer("first");
                            std::this_thread::sleep_for(settle);
                            script(it);
                            if (it.read_request())
                                second_requests++;
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    std::this_thread::sleep_for(4 * settle);
    EXPECT_EQ(pool.send(post("2")).value().body, "2");
    EXPECT_EQ(server.accepted(), 2);
    EXPECT_EQ(second_requests, 0);
}

INSTANTIATE_TEST_SUITE_P(
    table, idle_connection,
    testing::Values(idle_fault{"with_another_answer", [](auto& it) { it.answer("crossed"); }},
                    idle_fault{"with_part_of_an_answer", [](auto& it) { it.write("H"); }}),
    [](const auto& param) { return param.param.name; });

struct closing {
    const char* name;
    bool is_reset;
};

class closed_idle_connection : public testing::TestWithParam<closing> {};

TEST_P(closed_idle_connection, is_replaced_before_the_request_is_sent) {
    fake_server server({[](fake_connection& it) {
                            it.read_request();
                            it.answer("first");
                            if (GetParam().is_reset)
                                it.reset_on_close();
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    std::this_thread::sleep_for(settle);
    EXPECT_EQ(pool.send(post("2")).value().body, "2");
    EXPECT_EQ(server.accepted(), 2);
}

INSTANTIATE_TEST_SUITE_P(table, closed_idle_connection,
                         testing::Values(closing{"closed", false}, closing{"reset", true}),
                         [](const auto& param) { return param.param.name; });

// The server closes just when the second request is under way: whether it was read cannot be told,
// so it must not be sent again.
TEST(client, does_not_repeat_a_request_on_a_kept_connection_that_breaks) {
    std::atomic<int> requests{0};
    fake_server server({[&](fake_connection& it) {
                            it.read_request();
                            it.answer("first");
                            it.read_request();
                            requests++;
                        },
                        [&](fake_connection& it) {
                            while (it.read_request()) {
                                requests++;
                                it.answer("again");
                            }
                        }});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1")).value().body, "first");
    EXPECT_EQ(pool.send(post("2")).error(), error::connection_lost);
    std::this_thread::sleep_for(2 * settle);
    EXPECT_EQ(requests, 1);
}

TEST(client, gives_a_late_answer_to_no_other_request) {
    fake_server server({[](fake_connection& it) {
                            it.read_request();
                            std::this_thread::sleep_for(2 * answer_timeout);
                            it.answer("late");
                            it.wait_until_closed();
                        },
                        echo});
    client pool(server.address(), {});
    EXPECT_EQ(pool.send(post("1"), answer_timeout).error(), error::timed_out);
    for (const auto* body : {"2", "3"}) {
        EXPECT_EQ(pool.send(post(body)).value().body, body);
        std::this_thread::sleep_for(2 * answer_timeout);
    }
}

TEST(client, suspects_the_other_connections_once_one_is_silent) {
    std::promise<void> both_are_open;
    const auto are_open = both_are_open.get_future().share();
    std::atomic<int> open{0};
    // Two connections answer once and swallow everything afterwards; later ones echo.
    const auto goes_silent = [&](fake_connection& it) {
        it.read_request();
        if (++open == 2)
            both_are_open.set_value();
        are_open.wait_for(long_enough);
        it.answer("first");
        it.wait_until_closed();
    };
    fake_server server({goes_silent, goes_silent, echo});
    client pool(server.address(), {});
    auto other = std::async(std::launch::async, [&] { return pool.send(post("b")).has_value(); });
    EXPECT_TRUE(pool.send(post("a")).has_value());
    EXPECT_TRUE(other.get());
    ASSERT_EQ(pool.connections(), 2U);

    EXPECT_EQ(pool.send(post("c"), answer_timeout).error(), error::timed_out);
    EXPECT_EQ(pool.connections(), 0U);
    EXPECT_EQ(pool.send(post("d"), answer_timeout).value().body, "d");
}

TEST(client, closes_connections_that_are_idle_for_long) {
    fake_server server({echo});
    client pool(server.address(), {milliseconds(500), milliseconds(10000), milliseconds(100)});
    EXPECT_TRUE(pool.send(post("1")).has_value());
    EXPECT_EQ(pool.connections(), 1U);
    std::this_thread::sleep_for(milliseconds(150));
    pool.close_stale();
    EXPECT_EQ(pool.connections(), 0U);
}

TEST(client, never_has_more_connections_than_its_share) {
    fake_server server({[](fake_connection& it) {
        while (it.read_request()) {
            std::this_thread::sleep_for(milliseconds(20));
            it.answer("done");
        }
    }});
    client pool(server.address(), {long_enough}, 2);
    constexpr int requests = 8;
    std::vector<std::future<bool>> answers;
    answers.reserve(requests);
    for (int i = 0; i < requests; i++)
        answers.push_back(
            std::async(std::launch::async, [&] { return pool.send(post("x")).has_value(); }));
    for (auto& it : answers)
        EXPECT_TRUE(it.get());
    EXPECT_LE(server.accepted(), 2);
}

} // namespace
} // namespace savorytrail::http
