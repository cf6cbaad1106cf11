// The fakes behave as the platform does, as far as other tests rely on it.
#include "unit_tests/platform/fake_platform.h"

#include <gtest/gtest.h>

namespace savorytrail::platform {
namespace {

using common::error;

commit_outcome commit(fake_table& table, const std::vector<operation>& operations) {
    return table.commit(operations).value();
}

TEST(fake_table, commits_all_operations_or_none) {
    fake_table table;
    EXPECT_EQ(commit(table, {{"a", absent_row, "1"}, {"b", any_version, "2"}}),
              commit_outcome(committed{{1, 1}}));
    EXPECT_EQ(commit(table, {{"a", 1, "3"}, {"b", absent_row, "4"}, {"c", 7, "5"}}),
              commit_outcome(conflicts{{{"b", 1, "2"}, {"c", 0, ""}}}));
    EXPECT_EQ(table.list("").value(), (std::vector<row>{{"a", 1, "1"}, {"b", 1, "2"}}));
    EXPECT_EQ(commit(table, {{"a", 1, "3"}, {"b", 1, std::nullopt}}),
              commit_outcome(committed{{2, 2}}));
    EXPECT_EQ(table.list("").value(), (std::vector<row>{{"a", 2, "3"}}));
    EXPECT_EQ(table.list("b").value(), std::vector<row>());
}

TEST(fake_table, returns_a_row_only_if_newer) {
    fake_table table;
    EXPECT_EQ(table.read_newer("a", 0).error(), error::not_found);
    commit(table, {{"a", absent_row, "1"}});
    EXPECT_EQ(table.read_newer("a", 0).value(), (row{"a", 1, "1"}));
    EXPECT_EQ(table.read_newer("a", 1).value(), std::nullopt);
}

TEST(fake_table, loses_answers_before_or_after_the_write) {
    fake_table table;
    table.fail_next_commits({{error::timed_out, true}, {error::unavailable, false}});
    EXPECT_EQ(table.commit({{"a", absent_row, "1"}}).error(), error::timed_out);
    EXPECT_EQ(table.commit({{"a", 1, "2"}}).error(), error::unavailable);
    EXPECT_EQ(table.read_newer("a", 0).value(), (row{"a", 1, "1"}));
}

TEST(fake_live_list, returns_changes_since_a_revision) {
    fake_live_list list;
    const vm one{"entry-1", vm_role::entry, "zilina", "sk", common::endpoint{"10.0.0.1", 9000}};
    vm two = one;
    two.name = "entry-2";
    list.set(one);
    list.set(two);
    EXPECT_EQ(list.read_newer(0).value(), (vm_changes{2, true, {one, two}}));
    two.state = vm_state::leaving;
    list.set(two);
    EXPECT_EQ(list.read_newer(2).value(), (vm_changes{3, false, {two}}));
    EXPECT_EQ(list.read_newer(3).value(), (vm_changes{3, false, {}}));
}

} // namespace
} // namespace savorytrail::platform
