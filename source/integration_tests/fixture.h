// Fixture of the integration tests: a running cluster, and checks of the task starts that its
// executors recorded.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>

#include "integration_tests/caller.h"
#include "stand_ins/cluster/cluster.h"

namespace savorytrail::integration {

class running_cluster : public testing::Test {
protected:
    explicit running_cluster(stand_ins::cluster_plan plan, stand_ins::manifest_options options = {})
        : m_cluster(std::move(plan)), m_options(std::move(options)) {}

    void SetUp() override { ASSERT_FALSE(m_cluster.start(m_cluster.manifest(m_options))); }

    // Checks in every test that no task was started twice.
    void TearDown() override {
        const auto starts = m_cluster.read_starts();
        ASSERT_TRUE(starts.has_value());
        for (const auto& [task, count] : starts.value().tasks)
            EXPECT_EQ(count, 1U) << task;
    }

    const common::endpoint& entry(std::size_t index) const {
        return m_cluster.entries().at(index).callers;
    }

    std::uint64_t starts() const { return m_cluster.read_starts().value().total; }

    // Number of the submission's tasks that were started.
    std::uint64_t starts_of(const std::string& id) const {
        const auto all = m_cluster.read_starts();
        return std::count_if(all.value().tasks.begin(), all.value().tasks.end(),
                             [&](const auto& it) { return it.first.starts_with(id + "/"); });
    }

    stand_ins::cluster m_cluster;

private:
    const stand_ins::manifest_options m_options;
};

} // namespace savorytrail::integration
