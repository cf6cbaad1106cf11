// Reads and compare-and-swap transactions of the table.
#include "stand_ins/platform/table.h"

namespace savorytrail::stand_ins {

std::optional<table_row> table::read(const std::string& key) const {
    const std::lock_guard lock(m_mutex);
    auto it = current_row(key);
    if (it.version == 0)
        return std::nullopt;
    return it;
}

std::vector<table_row> table::list(const std::string& prefix, std::size_t limit) const {
    const std::lock_guard lock(m_mutex);
    std::vector<table_row> rows;
    for (auto it = m_rows.lower_bound(prefix); it != m_rows.end(); ++it) {
        const auto& [key, row] = *it;
        if (!key.starts_with(prefix) || rows.size() == limit)
            break;
        if (row.value)
            rows.push_back({key, row.version, *row.value});
    }
    return rows;
}

transaction_outcome table::apply(const std::vector<table_operation>& operations) {
    const std::lock_guard lock(m_mutex);
    transaction_outcome outcome;
    for (const auto& it : operations) {
        auto row = current_row(it.key);
        if (it.expected_version != any_version && it.expected_version != row.version)
            outcome.conflicts.push_back(std::move(row));
    }
    if (!outcome.conflicts.empty())
        return outcome;

    for (const auto& it : operations) {
        auto& row = m_rows[it.key];
        row.version++;
        row.value = it.value;
        outcome.versions.push_back(it.value ? row.version : 0);
    }
    return outcome;
}

table_row table::current_row(const std::string& key) const {
    const auto it = m_rows.find(key);
    if (it == m_rows.end() || !it->second.value)
        return {key, 0, ""};
    return {key, it->second.version, *it->second.value};
}

} // namespace savorytrail::stand_ins
