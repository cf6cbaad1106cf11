// Tests of applying a manifest with lost replies, an unreachable platform and concurrent changes.
#include "core/configuration/apply.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <memory>
#include <set>

#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::configuration {
namespace {

using common::error;
using platform::fake_table;
using platform::fault;

proposal change_of(const std::string& id, std::optional<std::uint64_t> expected = std::nullopt) {
    return {"text of " + id, id, "author of " + id, "2026-12-03T22:00:00Z", expected};
}

retry_predicate retry_at_most(int retries) {
    return [left = std::make_shared<int>(retries)] { return (*left)-- > 0; };
}

apply_outcome apply_now(platform::table& table, const proposal& proposed) {
    return apply(table, proposed, retry_at_most(2)).value();
}

change change_in_row(std::uint64_t version, const std::string& id) {
    return {version, id, "author of " + id, "2026-12-03T22:00:00Z"};
}

TEST(apply, counts_versions_and_keeps_earlier_changes) {
    fake_table table;
    EXPECT_EQ(apply_now(table, change_of("a")), apply_outcome(accepted{1, 1}));
    EXPECT_EQ(apply_now(table, change_of("b")), apply_outcome(accepted{2, 2}));
    const record expected{change_in_row(2, "b"), "text of b", {change_in_row(1, "a")}};
    EXPECT_EQ(read_current(table).value(), expected);
}

TEST(apply, of_the_same_change_id_writes_once) {
    fake_table table;
    apply_now(table, change_of("a"));
    EXPECT_EQ(apply_now(table, change_of("a")), apply_outcome(accepted{1, 1}));
    apply_now(table, change_of("b"));
    EXPECT_EQ(apply_now(table, change_of("a")), apply_outcome(accepted{1, 2}));
    EXPECT_EQ(table.commits(), 2);
}

TEST(apply, refuses_a_change_id_with_another_text) {
    fake_table table;
    apply_now(table, change_of("a"));
    proposal other = change_of("a");
    other.text = "another";
    EXPECT_EQ(apply_now(table, other), apply_outcome(reused_change_id{change_in_row(1, "a")}));
}

struct expectation_case {
    const char* name;
    int applied_before; // changes "c1", "c2", ...
    std::optional<std::uint64_t> expected_version;
    apply_outcome outcome;
};

std::ostream& operator<<(std::ostream& out, const expectation_case& it) {
    return out << it.name;
}

class expected_versions : public testing::TestWithParam<expectation_case> {};

TEST_P(expected_versions, decide) {
    fake_table table;
    for (int i = 1; i <= GetParam().applied_before; i++)
        apply_now(table, change_of("c" + std::to_string(i)));
    EXPECT_EQ(apply_now(table, change_of("a", GetParam().expected_version)), GetParam().outcome);
}

const expectation_case expectation_cases[] = {
    {"none_yet", 0, 0, accepted{1, 1}},
    {"the_current_one", 2, 2, accepted{3, 3}},
    {"an_old_one", 2, 1, conflict{change_in_row(2, "c2")}},
    {"none_but_there_is_one", 1, 0, conflict{change_in_row(1, "c1")}},
    {"one_but_there_is_none", 0, 1, conflict{change{}}},
};

INSTANTIATE_TEST_SUITE_P(apply, expected_versions, testing::ValuesIn(expectation_cases),
                         [](const auto& it) { return std::string(it.param.name); });

struct fault_case {
    const char* name;
    std::deque<fault> commit_faults;
    std::optional<apply_outcome> outcome; // nullopt: an error, nothing is written
    bool written;
};

std::ostream& operator<<(std::ostream& out, const fault_case& it) {
    return out << it.name;
}

class commit_faults : public testing::TestWithParam<fault_case> {};

TEST_P(commit_faults, report_what_was_written) {
    fake_table table;
    table.fail_next_commits(GetParam().commit_faults);
    const auto result = apply(table, change_of("a"), retry_at_most(2));
    EXPECT_EQ(result.has_value(), GetParam().outcome.has_value());
    if (result && GetParam().outcome) {
        EXPECT_EQ(result.value(), *GetParam().outcome);
    }
    EXPECT_EQ(read_current(table).has_value(), GetParam().written);
}

const fault lost_before{error::timed_out, false};
const fault lost_after{error::connection_lost, true};
const fault unreachable{error::unreachable, false};
const unknown_outcome outcome_unknown{make_error_code(error::timed_out)};

const fault_case fault_cases[] = {
    {"answer_lost_after_the_write", {lost_after}, accepted{1, 1}, true},
    {"request_lost_before_the_write", {lost_before}, accepted{1, 1}, true},
    {"lost_twice", {lost_after, lost_before}, accepted{1, 1}, true},
    {"unreachable_throughout", {unreachable, unreachable, unreachable}, std::nullopt, false},
    {"reached_in_the_end", {unreachable, unreachable}, accepted{1, 1}, true},
    {"lost_before_throughout", {lost_before, lost_before, lost_before}, outcome_unknown, false},
    {"lost_after_and_then_no_reply", {lost_after, lost_before, lost_before}, outcome_unknown, true},
    {"unreachable_after_a_lost_answer",
     {lost_after, unreachable, unreachable},
     unknown_outcome{make_error_code(error::unreachable)},
     true},
};

INSTANTIATE_TEST_SUITE_P(apply, commit_faults, testing::ValuesIn(fault_cases),
                         [](const auto& it) { return std::string(it.param.name); });

TEST(apply, writes_nothing_when_the_row_cannot_be_read) {
    fake_table table;
    table.fail_next_reads(std::deque<fault>(3, {error::timed_out, false}));
    EXPECT_EQ(apply(table, change_of("a"), retry_at_most(2)).error(), error::timed_out);
    EXPECT_EQ(table.reads(), 3);
    EXPECT_EQ(table.commits(), 0);
}

TEST(apply, reads_again_when_the_first_answer_is_lost) {
    fake_table table;
    table.fail_next_reads({{error::connection_lost, false}, {error::unavailable, false}});
    EXPECT_EQ(apply_now(table, change_of("a")), apply_outcome(accepted{1, 1}));
}

TEST(apply, does_not_touch_a_row_that_it_cannot_read) {
    fake_table table;
    ASSERT_TRUE(table.commit({{manifest_key, platform::absent_row, "{"}}));
    EXPECT_EQ(apply(table, change_of("a"), retry_at_most(2)).error(), error::malformed);
    EXPECT_EQ(table.reads(), 1);
    EXPECT_EQ(table.commits(), 1);
}

// A table in which others apply `competing_changes` changes right after the first commit.
class contended_table final : public platform::table {
public:
    explicit contended_table(int competing_changes) : m_competing_changes(competing_changes) {}

    common::result<std::optional<platform::row>> read_newer(const std::string& key,
                                                            std::uint64_t version) override {
        return inner.read_newer(key, version);
    }
    common::result<std::vector<platform::row>> list(const std::string& prefix) override {
        return inner.list(prefix);
    }
    common::result<platform::commit_outcome>
    commit(const std::vector<platform::operation>& operations) override {
        auto answer = inner.commit(operations);
        for (int i = 1; i <= m_competing_changes; i++)
            apply_now(inner, change_of("competing " + std::to_string(i)));
        m_competing_changes = 0;
        return answer;
    }

    fake_table inner;

private:
    int m_competing_changes;
};

struct contention_case {
    const char* name;
    int competing_changes;
    fault first;
    apply_outcome outcome;
};

std::ostream& operator<<(std::ostream& out, const contention_case& it) {
    return out << it.name;
}

class races_after_a_lost_answer : public testing::TestWithParam<contention_case> {};

TEST_P(races_after_a_lost_answer, are_resolved_from_the_earlier_changes) {
    contended_table table(GetParam().competing_changes);
    table.inner.fail_next_commits({GetParam().first});
    EXPECT_EQ(apply_now(table, change_of("a")), GetParam().outcome);
}

const contention_case contention_cases[] = {
    {"applied_then_replaced", 1, lost_after, accepted{1, 2}},
    {"applied_then_replaced_often", 16, lost_after, accepted{1, 17}},
    {"lost", 1, lost_before, conflict{change_in_row(1, "competing 1")}},
    {"no_longer_in_the_history", 20, lost_after, unknown_outcome{make_error_code(error::conflict)}},
};

INSTANTIATE_TEST_SUITE_P(apply, races_after_a_lost_answer, testing::ValuesIn(contention_cases),
                         [](const auto& it) { return std::string(it.param.name); });

// Model-based: changes are applied one after another under random faults. A change reported as
// accepted is in the row's history exactly once; a change reported as failed is not in it.
RC_GTEST_PROP(apply, never_says_what_is_not_so, ()) {
    fake_table table;
    std::set<std::string> accepted_ids;
    const int changes = *rc::gen::inRange<int>(1, max_earlier_changes);
    for (int i = 0; i < changes; i++) {
        std::deque<fault> faults;
        for (int k = *rc::gen::inRange(0, 4); k > 0; k--)
            faults.push_back(*rc::gen::element(lost_before, lost_after, unreachable));
        table.fail_next_commits(faults);
        const std::string id = "c" + std::to_string(i);
        const auto outcome = apply(table, change_of(id), retry_at_most(2));
        table.fail_next_commits({});
        const auto row = read_current(table);
        const bool written = row && row.value().find(id) != nullptr;
        if (!outcome)
            RC_ASSERT(!written);
        else if (std::holds_alternative<accepted>(outcome.value()))
            RC_ASSERT(written);
        if (written)
            accepted_ids.insert(id);
    }
    const auto row = read_current(table);
    if (row)
        RC_ASSERT(row.value().last.version == accepted_ids.size());
}

} // namespace
} // namespace savorytrail::configuration
