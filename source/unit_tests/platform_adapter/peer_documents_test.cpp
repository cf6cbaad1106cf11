// Tests of which entry a document is fetched from, over loopback.
#include "platform/peer_documents.h"

#include <gtest/gtest.h>

#include "core/reactor/http_server.h"

namespace savorytrail::platform_adapter {
namespace {

using common::milliseconds;

constexpr std::uint16_t port = 18081;
const std::string near_host = "127.91.7.2";
const std::string far_host = "127.91.7.3";

class a_fetch : public testing::Test {
protected:
    a_fetch() {
        add("near", "d", near_host);
        add("far", "e", far_host);
        EXPECT_TRUE(m_near.listen({near_host, port}));
        EXPECT_TRUE(m_far.listen({far_host, port}));
    }

    void add(const std::string& name, const std::string& domain, const std::string& host) {
        fleet::heartbeat it;
        it.sender = {name, domain, host, 1, 500};
        it.status.sequence = 1;
        m_view.receive(it, host, m_now);
    }

    common::time_point m_now = common::time_point(std::chrono::hours(1));
    reactor::loop m_loop;
    fleet::view m_view{{"self", "d", "127.91.7.1", 5, 120}, port, {}, m_now};
    common::secure_random m_random;
    reactor::http_client m_client{m_loop};
    std::vector<std::shared_ptr<reactor::responder>> m_unanswered;
    reactor::http_server m_near{
        m_loop, {}, [this](const auto&, const auto& answer) { m_unanswered.push_back(answer); }};
    reactor::http_server m_far{m_loop, {}, [](const auto&, const auto& answer) {
                                   answer->send({200, {}, "text"});
                               }};
};

// Guards against a document that is late by one time-out after the other, as the entry of the own
// failure domain that announced it is gone and is asked again and again.
TEST_F(a_fetch, asks_another_domain_when_the_entry_of_the_own_one_does_not_answer) {
    std::string source;
    peer_document_client documents(m_client, m_view, m_random,
                                   [&](const auto&, const auto& from) { source = from; });
    const auto fetch = [&] {
        if (source.empty()) {
            documents.fetch(m_view.live_peers(m_now), "/document");
        }
    };
    fetch();
    m_loop.every(milliseconds(20), fetch);
    m_loop.after(milliseconds(1000), [&] {
        EXPECT_EQ(m_unanswered.size(), 1U);
        EXPECT_EQ(source, "far");
        m_loop.stop();
    });
    m_loop.run();
}

} // namespace
} // namespace savorytrail::platform_adapter
