// In-memory fakes of the platform's table and live list, with fault injection.
#pragma once

#include <deque>
#include <map>
#include <mutex>

#include "core/platform/platform.h"

namespace savorytrail::platform {

// A fault injected into one call.
struct fault {
    common::error error = common::error::unreachable;
    bool takes_effect = false; // the call is executed, but its answer is lost
};

class fake_table final : public table {
public:
    common::result<std::optional<row>> read_newer(const std::string& key,
                                                  std::uint64_t version) override;
    common::result<std::vector<row>> list(const std::string& prefix) override;
    common::result<commit_outcome> commit(const std::vector<operation>& operations) override;

    // Injects the faults into the next calls, one per call.
    void fail_next_reads(std::deque<fault> faults);
    void fail_next_commits(std::deque<fault> faults);

    int reads() const;
    int commits() const;

private:
    commit_outcome execute(const std::vector<operation>& operations);
    row current(const std::string& key) const;

    mutable std::mutex m_mutex; // guards all below
    std::map<std::string, row> m_rows;
    std::deque<fault> m_read_faults;
    std::deque<fault> m_commit_faults;
    int m_reads = 0;
    int m_commits = 0;
};

class fake_live_list final : public live_list {
public:
    common::result<vm_changes> read_newer(std::uint64_t revision) override;

    void set(const vm& changed);
    void fail_next_reads(std::deque<fault> faults);

private:
    struct entry {
        std::uint64_t revision;
        vm value;
    };

    std::mutex m_mutex; // guards all below
    std::map<std::string, entry> m_vms;
    std::uint64_t m_revision = 0;
    std::deque<fault> m_faults;
};

} // namespace savorytrail::platform
