// Tests of the directory with changes from the platform and from peers in any order.
#include "core/membership/directory.h"

#include <gtest/gtest.h>

namespace savorytrail::membership {
namespace {

using platform::vm;
using platform::vm_changes;
using platform::vm_role;
using platform::vm_state;

vm make_vm(const std::string& name, vm_state state = vm_state::live, std::uint16_t port = 1) {
    return {name, vm_role::entry, "d", "r", common::endpoint{"127.0.0.1", port}, state};
}

class directory_changes : public testing::Test {
protected:
    directory_changes() {
        m_directory.update({5, true, {make_vm("a"), make_vm("b")}});
        m_directory.update({7, false, {make_vm("b", vm_state::leaving)}});
    }
    directory m_directory;
};

TEST_F(directory_changes, are_returned_since_a_revision) {
    EXPECT_EQ(m_directory.changes_since(7), (vm_changes{7, false, {}}));
    EXPECT_EQ(m_directory.changes_since(5),
              (vm_changes{7, false, {make_vm("b", vm_state::leaving)}}));
    EXPECT_EQ(m_directory.changes_since(4),
              (vm_changes{7, true, {make_vm("a"), make_vm("b", vm_state::leaving)}}));
}

TEST_F(directory_changes, received_through_a_peer_give_the_same_list) {
    directory other;
    other.update_from_peer(m_directory.changes_since(other.revision()));
    m_directory.update({9, false, {make_vm("a", vm_state::gone), make_vm("c")}});
    other.update_from_peer(m_directory.changes_since(other.revision()));
    EXPECT_EQ(other.entries(), m_directory.entries());
    EXPECT_EQ(other.revision(), 9U);
}

TEST_F(directory_changes, older_than_the_current_revision_are_ignored) {
    m_directory.update({6, false, {make_vm("b")}});
    m_directory.update_from_peer({6, true, {make_vm("b")}});
    EXPECT_FALSE(m_directory.takes_new_work("b"));
    EXPECT_TRUE(m_directory.takes_new_work("a"));
}

TEST_F(directory_changes, mark_a_vm_gone_that_a_complete_list_lacks) {
    m_directory.update({9, true, {make_vm("a")}});
    EXPECT_EQ(m_directory.find("b")->state, vm_state::gone);
    EXPECT_TRUE(m_directory.takes_new_work("never-listed"));
}

TEST_F(directory_changes, from_a_peer_keep_addresses_that_this_entry_read) {
    m_directory.update_from_peer({9, false, {make_vm("a", vm_state::leaving, 2)}});
    EXPECT_EQ(m_directory.find("a"), make_vm("a", vm_state::leaving, 1));
    EXPECT_FALSE(m_directory.needs_own_read());
}

struct peer_change {
    const char* name;
    vm changed;
};

class entry_reported_by_a_peer : public directory_changes,
                                 public testing::WithParamInterface<peer_change> {};

TEST_P(entry_reported_by_a_peer, requires_one_own_read_of_the_platform) {
    m_directory.update({8, false, {make_vm("b", vm_state::gone)}});
    m_directory.update_from_peer({9, false, {GetParam().changed}});
    EXPECT_EQ(m_directory.find(GetParam().changed.name)->address->port, 2);
    EXPECT_TRUE(m_directory.needs_own_read());
    auto own = GetParam().changed;
    own.address->port = 3;
    m_directory.update({9, false, {own}});
    EXPECT_EQ(m_directory.find(own.name), own);
    EXPECT_FALSE(m_directory.needs_own_read());
    EXPECT_EQ(m_directory.own_revision(), 9U);
}

INSTANTIATE_TEST_SUITE_P(table, entry_reported_by_a_peer,
                         testing::Values(peer_change{"when_new", make_vm("n", vm_state::live, 2)},
                                         peer_change{"when_it_returns",
                                                     make_vm("b", vm_state::live, 2)}),
                         [](const auto& param) { return param.param.name; });

} // namespace
} // namespace savorytrail::membership
