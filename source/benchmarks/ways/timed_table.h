// A table that delays each call by a fixed time or is unreachable.
#pragma once

#include <atomic>

#include "core/common/clock.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::benchmarks {

struct table_condition {
    const char* name;
    common::milliseconds call_time{0};
    bool is_down = false;
};

class timed_table final : public platform::table {
public:
    explicit timed_table(table_condition condition) : m_condition(condition) {}

    common::result<std::optional<platform::row>> read_newer(const std::string& key,
                                                            std::uint64_t version) override;
    common::result<std::vector<platform::row>> list(const std::string& prefix) override;
    common::result<platform::commit_outcome>
    commit(const std::vector<platform::operation>& operations) override;

    int transactions() const { return m_table.commits(); }

private:
    std::error_code wait() const;

    const table_condition m_condition;
    platform::fake_table m_table;
};

} // namespace savorytrail::benchmarks
