// Tests of the hand-over between two entries over gRPC, and of the order of successor candidates.
#include "core/handover/hand_over.h"

#include <grpcpp/impl/codegen/service_type.h>
#include <gtest/gtest.h>

#include "core/handover/client.h"
#include "core/handover/inherited_submissions.h"
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
    void SetUp() override {
        ASSERT_FALSE(m_server.start(*m_successor_vm.address, {m_service.get()}));
    }

    submission::submission_id refuse_one(std::size_t detail_bytes) {
        auto body = std::make_shared<job::job>();
        body->tasks.resize(2);
        const auto id = m_ids.issue(1).front();
        m_ledger.open(id, "digest", body, m_ids.expiry(id), m_clock.now(), nullptr);
        m_ledger.give_up(id, job::reason::queue_full, std::string(detail_bytes, 'x'), {});
        return id;
    }

    std::optional<successor_entry> hand_over_now(inherited_submissions& from) {
        from.close();
        m_ledger.close(job::reason::stopping, "");
        auto snapshots = from.snapshots();
        snapshots.push_back(make_snapshot(m_ids, m_ledger, m_clock.now()));
        return hand_over(m_client, m_old_registry, {m_unreachable_vm, m_successor_vm}, snapshots,
                         {});
    }

    const platform::vm m_unreachable_vm =
        entry_at("zilina-2", "zilina", 9); // nothing listens there
    const platform::vm m_successor_vm = entry_at("zilina-3", "zilina", 1);
    common::system_clock m_clock;
    common::seeded_random m_random{7};
    submission::issuer m_ids{"zilina-1", m_clock, m_random, lifetime};
    submission::ledger m_ledger{{1000, 64 << 20}};
    platform::fake_table m_table;
    successor_registry m_old_registry{m_table, m_clock};
    successor_registry m_registry{m_table, m_clock};
    inherited_submissions m_inherited{m_clock, {64 << 20}};
    std::unique_ptr<grpc::Service> m_service = make_service(m_inherited, m_registry, {5, 6});
    peer::server m_server;
    peer::channel_pool m_channels;
    client m_client{m_channels, common::milliseconds(2000)};
};

TEST_F(over_grpc, the_successor_answers_for_all_ids) {
    const auto refused = refuse_one(10);
    const auto large = refuse_one(6 << 20); // fills a message part of its own
    const auto late = refuse_one(10);
    const auto unused = m_ids.issue(1).front();
    inherited_submissions own(m_clock, {});
    const auto successor = hand_over_now(own);
    EXPECT_EQ(successor, (successor_entry{"zilina-3", *m_successor_vm.address, {5, 6}}));

    for (const auto& id : {refused, large, late})
        EXPECT_EQ(m_inherited.answer(id, nullptr)->answer->why, job::reason::queue_full);
    const auto never = m_inherited.answer(unused, nullptr)->answer;
    EXPECT_EQ(never->state, answer_state::refused);
    EXPECT_EQ(never->why, job::reason::stopping);
    auto forged = unused;
    forged.tag++;
    EXPECT_EQ(m_inherited.answer(forged, nullptr)->outcome, home::request_outcome::forged);
    EXPECT_EQ(m_registry.known(m_ids.self()), successor);
    successor_registry elsewhere(m_table, m_clock);
    EXPECT_EQ(elsewhere.look_up(m_ids.self()), successor) << "the row in the table";
}

TEST_F(over_grpc, a_successor_that_stops_refuses) {
    m_inherited.close();
    inherited_submissions own(m_clock, {});
    EXPECT_EQ(hand_over_now(own), std::nullopt);
}

// An id that expired at the stopped home must not be reported as never submitted. The successor's
// clock for the id starts only when the snapshot arrives, so the age in the snapshot must decide.
TEST(inherited_submissions, an_id_expired_before_the_hand_over_is_not_reported_as_never_submitted) {
    common::manual_clock clock;
    common::seeded_random random(1);
    submission::issuer ids("zilina-1", clock, random, common::milliseconds(1000));
    const submission::ledger ledger({10, 1 << 20});
    const auto id = ids.issue(1).front();
    clock.advance(common::milliseconds(1000));
    inherited_submissions inherited(clock, {});
    ASSERT_TRUE(inherited.accept({make_snapshot(ids, ledger, clock.now())}));
    EXPECT_EQ(inherited.answer(id, nullptr)->answer->why, job::reason::id_expired);
    EXPECT_EQ(inherited.answer(id, nullptr)->answer->state, answer_state::failed);
}

TEST(successor_candidates, own_domain_first_then_by_name_from_the_next_vm_on) {
    const std::vector<platform::vm> live = {entry_at("a", "zilina", 1), entry_at("b", "zilina", 2),
                                            entry_at("c", "martin", 3), entry_at("d", "zilina", 4),
                                            entry_at("e", "zilina", 5)};
    std::vector<std::string> names;
    for (const auto& it : successor_candidates(live, "b", "zilina"))
        names.push_back(it.name);
    EXPECT_EQ(names, (std::vector<std::string>{"d", "e", "a", "c"}));
}

} // namespace
} // namespace savorytrail::handover
