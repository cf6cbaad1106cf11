// In-memory implementation of the table and the live list.
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::platform {
namespace {

std::optional<fault> take_fault(std::deque<fault>& faults) {
    if (faults.empty())
        return std::nullopt;
    const fault next = faults.front();
    faults.pop_front();
    return next;
}

bool matches_version(const row& existing, std::int64_t expected_version) {
    return expected_version == any_version ||
           existing.version == static_cast<std::uint64_t>(expected_version);
}

} // namespace

common::result<std::optional<row>> fake_table::read_newer(const std::string& key,
                                                          std::uint64_t version) {
    const std::lock_guard lock(m_mutex);
    m_reads++;
    if (const auto it = take_fault(m_read_faults))
        return make_error_code(it->error);
    const row existing = current(key);
    if (existing.version == 0)
        return make_error_code(common::error::not_found);
    return existing.version > version ? std::optional(existing) : std::nullopt;
}

common::result<std::vector<row>> fake_table::list(const std::string& prefix) {
    const std::lock_guard lock(m_mutex);
    m_reads++;
    if (const auto it = take_fault(m_read_faults))
        return make_error_code(it->error);
    std::vector<row> result;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end() && it->first.starts_with(prefix);
         ++it)
        result.push_back(it->second);
    return result;
}

common::result<commit_outcome> fake_table::commit(const std::vector<operation>& operations) {
    const std::lock_guard lock(m_mutex);
    m_commits++;
    const auto it = take_fault(m_commit_faults);
    if (it && !it->takes_effect)
        return make_error_code(it->error);
    commit_outcome outcome = execute(operations);
    if (it)
        return make_error_code(it->error);
    return outcome;
}

void fake_table::fail_next_reads(std::deque<fault> faults) {
    const std::lock_guard lock(m_mutex);
    m_read_faults = std::move(faults);
}

void fake_table::fail_next_commits(std::deque<fault> faults) {
    const std::lock_guard lock(m_mutex);
    m_commit_faults = std::move(faults);
}

int fake_table::reads() const {
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

int fake_table::commits() const {
    const std::lock_guard lock(m_mutex);
    return m_commits;
}

commit_outcome fake_table::execute(const std::vector<operation>& operations) {
    conflicts conflict;
    for (const operation& it : operations) {
        if (!matches_version(current(it.key), it.expected_version))
            conflict.rows.push_back(current(it.key));
    }
    if (!conflict.rows.empty())
        return conflict;

    committed result;
    for (const operation& it : operations) {
        const std::uint64_t version = current(it.key).version + 1;
        result.versions.push_back(version);
        if (it.value)
            m_rows[it.key] = {it.key, version, *it.value};
        else
            m_rows.erase(it.key);
    }
    return result;
}

row fake_table::current(const std::string& key) const {
    const auto it = m_rows.find(key);
    return it == m_rows.end() ? row{key, 0, ""} : it->second;
}

common::result<vm_changes> fake_live_list::read_newer(std::uint64_t revision) {
    const std::lock_guard lock(m_mutex);
    if (const auto it = take_fault(m_faults))
        return make_error_code(it->error);
    vm_changes result{.revision = m_revision, .complete = revision == 0, .vms = {}};
    for (const auto& [name, it] : m_vms) {
        if (it.revision > revision)
            result.vms.push_back(it.value);
    }
    return result;
}

void fake_live_list::set(const vm& changed) {
    const std::lock_guard lock(m_mutex);
    m_revision++;
    m_vms.insert_or_assign(changed.name, entry{m_revision, changed});
}

void fake_live_list::fail_next_reads(std::deque<fault> faults) {
    const std::lock_guard lock(m_mutex);
    m_faults = std::move(faults);
}

} // namespace savorytrail::platform
