// Tests of claims under faults of the table.
#include "core/claim/resolve_claims.h"

#include <gtest/gtest.h>

#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::claim {
namespace {

using common::error;
using platform::fault;

claim_row row(std::uint64_t sequence) {
    return {{{1, 2}, 3, 4, sequence, 5}, "digest"};
}

pending_claim claim_of(const std::string& key, std::uint64_t sequence) {
    return {row_key("t", key), row(sequence)};
}

TEST(resolve_claims, writes_all_new_rows_in_one_transaction) {
    platform::fake_table table;
    const auto rows = resolve_claims(table, {claim_of("a", 1), claim_of("b", 2), claim_of("c", 3)});
    for (std::size_t i = 0; i < rows.size(); i++)
        EXPECT_EQ(rows[i].value().row, row(i + 1));
    EXPECT_EQ(table.commits(), 1);
    EXPECT_EQ(table.reads(), 0);
}

TEST(resolve_claims, a_claimed_key_keeps_its_row_and_does_not_block_others) {
    platform::fake_table table;
    resolve_claims(table, {claim_of("a", 1)});
    const auto rows = resolve_claims(table, {claim_of("a", 7), claim_of("b", 8)});
    EXPECT_EQ(rows[0].value().row, row(1));
    EXPECT_EQ(rows[1].value().row, row(8));
}

struct fault_case {
    const char* name;
    std::vector<fault> commits;
    std::vector<fault> reads;
    bool is_known; // the claim is resolved to the row that the table then contains
    bool is_in_table;
};

class resolve_claims_under_faults : public testing::TestWithParam<fault_case> {};

TEST_P(resolve_claims_under_faults, agrees_with_the_table) {
    const auto& it = GetParam();
    platform::fake_table table;
    table.fail_next_commits({it.commits.begin(), it.commits.end()});
    table.fail_next_reads({it.reads.begin(), it.reads.end()});
    const auto first = resolve_claims(table, {claim_of("a", 1)}).front();
    EXPECT_EQ(first.has_value(), it.is_known);
    table.fail_next_commits({});
    table.fail_next_reads({});
    const auto second = resolve_claims(table, {claim_of("a", 2)}).front();
    EXPECT_EQ(second.value().row, it.is_in_table ? row(1) : row(2));
    if (first) {
        EXPECT_EQ(first.value(), second.value());
    }
}

INSTANTIATE_TEST_SUITE_P(
    table, resolve_claims_under_faults,
    testing::Values(
        fault_case{"nothing sent", {{error::unreachable, false}}, {}, false, false},
        fault_case{"answer lost after the write", {{error::timed_out, true}}, {}, true, true},
        fault_case{"request lost", {{error::timed_out, false}}, {}, true, true},
        fault_case{
            "connection lost after the write", {{error::connection_lost, true}}, {}, true, true},
        fault_case{"answer lost, then down",
                   {{error::timed_out, true}},
                   {{error::unreachable, false}},
                   false,
                   true},
        fault_case{"request lost, then down",
                   {{error::timed_out, false}},
                   {{error::unreachable, false}},
                   false,
                   false}));

struct key_case {
    const char* key;
    bool is_valid;
};

class client_key : public testing::TestWithParam<key_case> {};

TEST_P(client_key, is_checked) {
    EXPECT_EQ(is_valid_key(GetParam().key), GetParam().is_valid);
}

INSTANTIATE_TEST_SUITE_P(table, client_key,
                         testing::Values(key_case{"", false}, key_case{"a/b", false},
                                         key_case{"a b", false}, key_case{"\xc3\xa9", false},
                                         key_case{"6f1c-4.A_~", true}));

} // namespace
} // namespace savorytrail::claim
