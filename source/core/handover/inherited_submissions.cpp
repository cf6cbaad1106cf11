// Answers for submissions taken over. A snapshot is kept complete until its last id has expired, so
// that a missing record never means that the record was removed here.
#include "core/handover/inherited_submissions.h"

#include "core/job/job_codec.h"
#include "core/submission/answers.h"

namespace savorytrail::handover {
namespace {

std::size_t size_in_bytes(const home_snapshot& value) {
    std::size_t n = 0;
    for (const auto& it : value.records)
        n += sizeof(it) + it.digest.size() + job::size_in_bytes(*it.answer);
    for (const auto& it : value.keys)
        n += sizeof(it) + it.key.size();
    return n;
}

home::request_result answered(submission::shared_answer it) {
    return {home::request_outcome::answered, std::move(it)};
}

} // namespace

home_snapshot make_snapshot(const submission::issuer& ids, const submission::ledger& closed,
                            common::time_point now) {
    home_snapshot it;
    for (auto& record : closed.final_submissions())
        it.records.push_back({record.id, std::move(record.digest), std::move(record.answer)});
    // Read the age after the records, so that it covers every id whose record had expired by then.
    it.credentials = ids.credentials(now);
    return it;
}

bool inherited_submissions::accept(const std::vector<home_snapshot>& snapshots) {
    std::size_t bytes = 0;
    for (const auto& it : snapshots)
        bytes += size_in_bytes(it);
    const std::lock_guard lock(m_mutex);
    if (m_is_closed || m_bytes + bytes > m_limits.max_bytes)
        return false;
    for (const auto& it : snapshots) {
        const auto [inserted, is_new] = m_homes.try_emplace(it.credentials.home);
        if (!is_new)
            continue;
        inherited_home& held = inserted->second;
        held.credentials = it.credentials;
        held.accepted_at = m_clock.now();
        held.keys = it.keys;
        held.bytes = size_in_bytes(it);
        m_bytes += held.bytes;
        for (const auto& record : it.records)
            held.records.emplace(record.id, record);
    }
    return true;
}

void inherited_submissions::close() {
    const std::lock_guard lock(m_mutex);
    m_is_closed = true;
}

bool inherited_submissions::holds(const submission::incarnation& home) const {
    const std::lock_guard lock(m_mutex);
    return m_homes.contains(home);
}

std::optional<home::request_result>
inherited_submissions::answer(const submission::submission_id& id,
                              const job::job* submitted) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_homes.find(id.home);
    if (found == m_homes.end())
        return std::nullopt;
    return answer_from(found->second, id, submitted);
}

home::request_result inherited_submissions::answer_from(const inherited_home& it,
                                                        const submission::submission_id& id,
                                                        const job::job* submitted) const {
    if (id.vm != it.credentials.vm || id.tag != submission::tag_of(id, it.credentials.key))
        return {home::request_outcome::forged, nullptr};
    const auto record = it.records.find(id);
    if (record != it.records.end()) {
        const auto& digest = record->second.digest;
        if (submitted != nullptr && !digest.empty() && digest != job::digest(*submitted))
            return {home::request_outcome::different_body, nullptr};
        return answered(record->second.answer);
    }
    const std::size_t tasks = submitted != nullptr ? submitted->tasks.size() : 0;
    const bool expired_before = common::milliseconds(id.expires_ms) <= it.credentials.age;
    if (expired_before || m_clock.now() >= it.expiry(id))
        return answered(submission::make_expired_answer(tasks));
    return answered(submission::make_never_submitted_answer(tasks));
}

std::vector<home_snapshot> inherited_submissions::snapshots() const {
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    std::vector<home_snapshot> all;
    for (const auto& [home, it] : m_homes) {
        home_snapshot value{it.credentials, {}, it.keys};
        const auto held_for =
            std::chrono::duration_cast<common::milliseconds>(now - it.accepted_at);
        value.credentials.age += held_for;
        value.credentials.lifetime =
            std::max(it.credentials.lifetime - held_for, common::milliseconds(0));
        for (const auto& [id, record] : it.records)
            value.records.push_back(record);
        all.push_back(std::move(value));
    }
    return all;
}

std::vector<claim::claimed_key> inherited_submissions::forget_expired() {
    std::vector<claim::claimed_key> keys;
    const std::lock_guard lock(m_mutex);
    const auto now = m_clock.now();
    absl::erase_if(m_homes, [&](const auto& entry) {
        const inherited_home& it = entry.second;
        if (now < it.end())
            return false;
        m_bytes -= it.bytes;
        keys.insert(keys.end(), it.keys.begin(), it.keys.end());
        return true;
    });
    return keys;
}

std::size_t inherited_submissions::bytes() const {
    const std::lock_guard lock(m_mutex);
    return m_bytes;
}

common::time_point
inherited_submissions::inherited_home::expiry(const submission::submission_id& id) const {
    return accepted_at + (common::milliseconds(id.expires_ms) - credentials.age);
}

} // namespace savorytrail::handover
