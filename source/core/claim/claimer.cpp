// The thread that resolves batches of claims and deletes expired rows.
#include "core/claim/claimer.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace savorytrail::claim {
namespace {

constexpr common::milliseconds deletion_period{250};

} // namespace

claimer::claimer(platform::table& table, const common::clock& clock, claimer_limits limits)
    : m_table(table), m_clock(clock), m_limits(limits), m_thread([this] { run(); }) {}

claimer::~claimer() {
    {
        const std::lock_guard lock(m_mutex);
        m_is_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

common::result<resolved_claim> claimer::claim(pending_claim wanted, common::milliseconds timeout) {
    std::future<common::result<resolved_claim>> resolved;
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_stopping || m_queue.size() >= m_limits.max_waiting)
            return make_error_code(common::error::unavailable);
        m_queue.push_back({std::move(wanted), {}});
        resolved = m_queue.back().resolved.get_future();
    }
    m_changed.notify_all();
    if (resolved.wait_for(timeout) == std::future_status::timeout)
        return make_error_code(common::error::unavailable);
    return resolved.get();
}

void claimer::delete_after(common::time_point expiry, const claimed_key& row) {
    const std::lock_guard lock(m_mutex);
    if (m_deletions.size() < max_pending_deletions)
        m_deletions.insert({expiry, row});
}

std::vector<claimed_key> claimer::take_pending_deletions() {
    std::vector<claimed_key> keys;
    const std::lock_guard lock(m_mutex);
    keys.reserve(m_deletions.size());
    for (const auto& it : m_deletions)
        keys.push_back(it.second);
    m_deletions.clear();
    return keys;
}

void claimer::run() {
    auto next_deletion = m_clock.now() + deletion_period;
    while (true) {
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait_for(lock, deletion_period,
                               [this] { return m_is_stopping || !m_queue.empty(); });
            if (m_is_stopping)
                break;
        }
        const auto start = m_clock.now();
        resolve_batch(next_batch());
        if (m_clock.now() >= next_deletion) {
            delete_expired();
            next_deletion = m_clock.now() + deletion_period;
        }
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, m_limits.min_interval - (m_clock.now() - start),
                           [this] { return m_is_stopping; });
    }
    const std::lock_guard lock(m_mutex);
    for (auto& it : m_queue)
        it.resolved.set_value(make_error_code(common::error::unavailable));
    m_queue.clear();
}

// Further claims of a key in the batch are deferred to the next batch, where they find its row.
std::vector<claimer::queued_claim> claimer::next_batch() {
    std::vector<queued_claim> batch;
    std::deque<queued_claim> deferred;
    absl::flat_hash_set<std::string> keys;
    const std::lock_guard lock(m_mutex);
    while (!m_queue.empty() && batch.size() < m_limits.max_batch) {
        auto& target = batch;
        if (keys.insert(m_queue.front().wanted.key).second)
            target.push_back(std::move(m_queue.front()));
        else
            deferred.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    std::move(deferred.rbegin(), deferred.rend(), std::front_inserter(m_queue));
    return batch;
}

void claimer::resolve_batch(std::vector<queued_claim> batch) {
    if (batch.empty())
        return;
    std::vector<pending_claim> claims;
    claims.reserve(batch.size());
    for (const auto& it : batch)
        claims.push_back(it.wanted);
    const auto rows = resolve_claims(m_table, claims);
    for (std::size_t i = 0; i < batch.size(); i++)
        batch[i].resolved.set_value(rows[i]);
}

void claimer::delete_expired() {
    const auto due = due_deletions();
    if (due.empty())
        return;
    std::vector<platform::operation> operations;
    operations.reserve(due.size());
    for (const auto& [expiry, row] : due)
        operations.push_back({row.key, static_cast<std::int64_t>(row.version), std::nullopt});
    const auto outcome = m_table.commit(operations);
    if (!outcome)
        return;
    // A row that no longer exists or belongs to a later claim makes the transaction fail. Such rows
    // are abandoned, and the others are retried.
    absl::flat_hash_set<std::string> abandoned;
    const auto* conflicts = std::get_if<platform::conflicts>(&outcome.value());
    if (conflicts != nullptr) {
        for (const auto& it : conflicts->rows)
            abandoned.insert(it.key);
    }
    const std::lock_guard lock(m_mutex);
    for (const auto& it : due) {
        if (conflicts == nullptr || abandoned.contains(it.second.key))
            m_deletions.erase(it);
    }
}

std::vector<claimer::deletion> claimer::due_deletions() {
    std::vector<deletion> due;
    absl::flat_hash_set<std::string> keys; // a transaction may contain a row only once
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    for (const auto& it : m_deletions) {
        if (it.first > now || due.size() >= m_limits.max_batch)
            break;
        if (keys.insert(it.second.key).second)
            due.push_back(it);
    }
    return due;
}

} // namespace savorytrail::claim
