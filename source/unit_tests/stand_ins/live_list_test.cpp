// Lag, revisions and address overrides of the platform stand-in's list of VMs.
#include "stand_ins/platform/live_list.h"

#include <gtest/gtest.h>

namespace savorytrail::stand_ins {
namespace {

using std::chrono::milliseconds;

vm entry(const std::string& name, const std::string& state = "live") {
    return {name, "entry", "zilina", "sk-central", "127.1.0.1:7400", state};
}

class live_list_test : public testing::Test {
protected:
    common::manual_clock m_clock;
    live_list m_list{m_clock, milliseconds(500)};
};

TEST_F(live_list_test, shows_a_change_after_the_lag) {
    m_list.put(entry("a"));
    m_clock.advance(milliseconds(499));
    EXPECT_TRUE(m_list.read(0, "r")->vms.empty());
    m_clock.advance(milliseconds(1));
    EXPECT_EQ(m_list.read(0, "r"), (list_response{1, true, {entry("a")}}));
    EXPECT_EQ(m_list.read(1, "r"), std::nullopt);
}

TEST_F(live_list_test, returns_changes_since_a_revision) {
    m_list.put(entry("a"));
    m_list.put(entry("b"));
    m_list.put(entry("a", "leaving"));
    m_clock.advance(milliseconds(500));
    EXPECT_EQ(m_list.read(2, "r"), (list_response{3, false, {entry("a", "leaving")}}));
    // A revision beyond this list's own comes from another list, so all VMs are returned.
    EXPECT_TRUE(m_list.read(9, "r")->complete);
}

TEST_F(live_list_test, address_override_is_visible_to_its_reader_at_once) {
    m_list.put(entry("a"));
    m_clock.advance(milliseconds(500));
    EXPECT_EQ(m_list.read(0, "r")->revision, 1U);
    m_list.override_address("r", "a", "127.9.0.1:7400");
    EXPECT_EQ(m_list.read(1, "r")->vms.at(0).address, "127.9.0.1:7400");
    EXPECT_EQ(m_list.read(1, "s")->vms.at(0).address, "127.1.0.1:7400");
}

} // namespace
} // namespace savorytrail::stand_ins
