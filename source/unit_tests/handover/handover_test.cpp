// Tests of the hand-over: between two entries over gRPC, and the order in which heirs are asked.
#include "core/handover/hand_over.h"

#include <grpcpp/impl/codegen/service_type.h>
#include <gtest/gtest.h>

#include "core/handover/client.h"
#include "core/handover/inheritance.h"
#include "core/handover/service.h"
#include "core/peer/server.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::handover {
namespace {

using job::answer_state;

constexpr common::milliseconds lifetime{60000};

platform::vm entry_at(const std::string& name, const std::string& domain, int last_byte) {
    platform::vm it;
    it.name = name;
    it.failure_domain = domain;
    it.address = common::endpoint{"127.83.0." + std::to_string(last_byte), 7311};
    return it;
}

class over_grpc : public testing::Test {
protected:
    void SetUp() override { ASSERT_FALSE(m_server.start(*m_heir_vm.address, {m_service.get()})); }

    submission::submission_id refuse_one(std::size_t detail_bytes) {
        auto body = std::make_shared<job::job>();
        body->tasks.resize(2);
        const auto id = m_ids.issue(1).front();
        m_ledger.open(id, "digest", body, m_ids.expiry(id), m_clock.now(), nullptr);
        m_ledger.give_up(id, job::reason::queue_full, std::string(detail_bytes, 'x'), {});
        return id;
    }

    std::optional<heir> hand_over_now(inheritance& from) {
        from.close();
        m_ledger.close(job::reason::stopping, "");
        auto estates = from.estates();
        estates.push_back(make_estate(m_ids, m_ledger, m_clock.now()));
        return hand_over(m_client, m_old_registry, {m_nobody, m_heir_vm}, estates, {});
    }

    const platform::vm m_nobody = entry_at("zilina-2", "zilina", 9); // nothing listens there
    const platform::vm m_heir_vm = entry_at("zilina-3", "zilina", 1);
    common::system_clock m_clock;
    common::seeded_random m_random{7};
    submission::issuer m_ids{"zilina-1", m_clock, m_random, lifetime};
    submission::ledger m_ledger{{1000, 64 << 20}};
    platform::fake_table m_table;
    heirs m_old_registry{m_table, m_clock};
    heirs m_registry{m_table, m_clock};
    inheritance m_inherited{m_clock, {64 << 20}};
    std::unique_ptr<grpc::Service> m_service = make_service(m_inherited, m_registry, {5, 6});
    peer::server m_server;
    peer::channel_pool m_channels;
    client m_client{m_channels, common::milliseconds(2000)};
};

TEST_F(over_grpc, the_heir_answers_for_all_ids) {
    const auto refused = refuse_one(10);
    const auto large = refuse_one(6 << 20); // fills a part of its own
    const auto late = refuse_one(10);
    const auto unused = m_ids.issue(1).front();
    inheritance own(m_clock, {});
    const auto taker = hand_over_now(own);
    EXPECT_EQ(taker, (heir{"zilina-3", *m_heir_vm.address, {5, 6}}));

    for (const auto& id : {refused, large, late})
        EXPECT_EQ(m_inherited.answer(id, nullptr)->answer->why, job::reason::queue_full);
    const auto never = m_inherited.answer(unused, nullptr)->answer;
    EXPECT_EQ(never->state, answer_state::refused);
    EXPECT_EQ(never->why, job::reason::stopping);
    auto forged = unused;
    forged.tag++;
    EXPECT_EQ(m_inherited.answer(forged, nullptr)->outcome, home::request_outcome::forged);
    EXPECT_EQ(m_registry.known(m_ids.self()), taker);
    heirs elsewhere(m_table, m_clock);
    EXPECT_EQ(elsewhere.look_up(m_ids.self()), taker) << "the row in the table";
}

TEST_F(over_grpc, an_heir_that_stops_refuses) {
    m_inherited.close();
    inheritance own(m_clock, {});
    EXPECT_EQ(hand_over_now(own), std::nullopt);
}

// The age at the closing decides, not the heir's clock, which only starts when the estate arrives.
TEST(inheritance_rules, an_id_that_expired_before_the_closing_is_not_said_not_to_have_run) {
    common::manual_clock clock;
    common::seeded_random random(1);
    submission::issuer ids("zilina-1", clock, random, common::milliseconds(1000));
    const submission::ledger ledger({10, 1 << 20});
    const auto id = ids.issue(1).front();
    clock.advance(common::milliseconds(1000));
    inheritance heir(clock, {});
    ASSERT_TRUE(heir.accept({make_estate(ids, ledger, clock.now())}));
    EXPECT_EQ(heir.answer(id, nullptr)->answer->why, job::reason::id_expired);
    EXPECT_EQ(heir.answer(id, nullptr)->answer->state, answer_state::failed);
}

TEST(heir_candidates, own_domain_first_from_the_successor_on) {
    const std::vector<platform::vm> live = {entry_at("a", "zilina", 1), entry_at("b", "zilina", 2),
                                            entry_at("c", "martin", 3), entry_at("d", "zilina", 4),
                                            entry_at("e", "zilina", 5)};
    std::vector<std::string> names;
    for (const auto& it : heir_candidates(live, "b", "zilina"))
        names.push_back(it.name);
    EXPECT_EQ(names, (std::vector<std::string>{"d", "e", "a", "c"}));
}

} // namespace
} // namespace savorytrail::handover
