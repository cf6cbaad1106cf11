// State transitions of the ledger. Listeners run after the shard's lock is released, since they may
// call back into the ledger.
#include "core/submission/ledger.h"

#include <algorithm>

#include "absl/hash/hash.h"
#include "absl/strings/str_cat.h"

namespace savorytrail::submission {
namespace {

// Memory of one record besides its job or answer: its entries in the map and the expiry set.
constexpr std::size_t record_bytes = 400;

} // namespace

void ledger::notifications::deliver() const {
    for (const auto& it : listeners) {
        if (it)
            it(answer);
    }
}

open_result ledger::open(const submission_id& id, std::string digest, shared_job body,
                         common::time_point expiry, common::time_point now,
                         answer_listener listener) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    const auto found = target.records.find(id);
    if (found != target.records.end()) {
        record& it = found->second;
        // An id that was closed before any submission has no digest; its answer applies to any job.
        if (!it.digest.empty() && it.digest != digest)
            return {open_outcome::different_body, nullptr};
        if (!it.answer && listener)
            it.listeners.push_back(std::move(listener));
        return {open_outcome::already_known, it.answer};
    }
    if (const auto why = admit_record(target, expiry, now); why != open_outcome::opened)
        return {why, nullptr};

    m_open++;
    record& it = target.records[id];
    it.digest = std::move(digest);
    it.expiry = expiry;
    it.tasks.assign(body->tasks.size(), progress::waiting);
    it.results.resize(body->tasks.size());
    it.unfinished = body->tasks.size();
    set_bytes(it, record_bytes + job::size_in_bytes(*body));
    it.body = std::move(body);
    if (listener)
        it.listeners.push_back(std::move(listener));
    return {open_outcome::opened, nullptr};
}

std::optional<shared_answer> ledger::listen(const submission_id& id, answer_listener listener) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    const auto found = target.records.find(id);
    if (found == target.records.end())
        return std::nullopt;
    if (!found->second.answer && listener)
        found->second.listeners.push_back(std::move(listener));
    return found->second.answer;
}

shared_job ledger::begin_task(const submission_id& id, std::uint32_t task) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    const auto found = target.records.find(id);
    if (found == target.records.end())
        return nullptr;
    record& it = found->second;
    if (target.is_closed || it.answer || task >= it.tasks.size() ||
        it.tasks[task] != progress::waiting)
        return nullptr;
    it.tasks[task] = progress::started;
    return it.body;
}

std::optional<std::string> ledger::upstream_of(const submission_id& id) {
    shard& target = shard_of(id);
    const std::lock_guard lock(target.mutex);
    const auto found = target.records.find(id);
    if (found == target.records.end() || !found->second.body)
        return std::nullopt;
    return found->second.body->upstream;
}

void ledger::end_task(const submission_id& id, std::uint32_t task, task_end end,
                      job::task_result result) {
    notifications due;
    {
        shard& target = shard_of(id);
        const std::lock_guard lock(target.mutex);
        const auto found = target.records.find(id);
        if (found == target.records.end())
            return;
        record& it = found->second;
        if (it.answer || task >= it.tasks.size() || it.tasks[task] != progress::started)
            return;

        switch (end) {
        case task_end::not_started:
            it.tasks[task] = progress::waiting;
            return;
        case task_end::failed:
            it.tasks[task] = progress::ran;
            due = finish_unsuccessful(
                target, id, it, job::reason::task_failed,
                absl::StrCat("task ", task, ": the executor answered ", result.status),
                std::nullopt);
            break;
        case task_end::unknown:
            it.tasks[task] = progress::unknown;
            due = finish_unsuccessful(
                target, id, it, job::reason::task_unknown,
                absl::StrCat("task ", task, ": it was sent and no answer came"), std::nullopt);
            break;
        case task_end::answered:
            it.tasks[task] = progress::ran;
            set_bytes(it, it.bytes + result.body.capacity());
            it.results[task] = std::move(result);
            it.unfinished--;
            if (it.unfinished > 0)
                return;
            job::answer answer;
            answer.state = job::answer_state::complete;
            answer.results = std::move(it.results);
            due = finish(target, id, it, std::move(answer));
            break;
        }
    }
    due.deliver();
}

shared_answer ledger::give_up(const submission_id& id, job::reason why, std::string detail,
                              std::optional<common::milliseconds> retry_after) {
    notifications due;
    {
        shard& target = shard_of(id);
        const std::lock_guard lock(target.mutex);
        const auto found = target.records.find(id);
        if (found == target.records.end())
            return nullptr;
        if (found->second.answer)
            return found->second.answer;
        due = finish_unsuccessful(target, id, found->second, why, std::move(detail), retry_after);
    }
    due.deliver();
    return due.answer;
}

cancel_result ledger::cancel(const submission_id& id, common::time_point expiry,
                             common::time_point now) {
    notifications due;
    cancel_result result{open_outcome::already_known, nullptr, {}};
    {
        shard& target = shard_of(id);
        const std::lock_guard lock(target.mutex);
        const auto found = target.records.find(id);
        if (found == target.records.end())
            return cancel_in_advance(target, id, expiry, now);
        record& it = found->second;
        if (!it.answer) {
            result.upstream = it.body->upstream;
            due = finish_unsuccessful(target, id, it, job::reason::cancelled,
                                      "cancelled by the caller", std::nullopt);
        }
        result.answer = it.answer;
    }
    due.deliver();
    return result;
}

cancel_result ledger::cancel_in_advance(shard& target, const submission_id& id,
                                        common::time_point expiry, common::time_point now) {
    if (const auto why = admit_record(target, expiry, now); why != open_outcome::opened)
        return {why, nullptr, {}};
    m_open++;
    record& it = target.records[id];
    it.expiry = expiry;
    auto due = finish_unsuccessful(target, id, it, job::reason::cancelled,
                                   "cancelled before it came in", std::nullopt);
    return {open_outcome::already_known, std::move(due.answer), {}};
}

std::vector<submission_id>
ledger::find_waiting(const std::function<bool(const job::job&)>& predicate) {
    std::vector<submission_id> ids;
    for (auto& target : m_shards) {
        const std::lock_guard lock(target.mutex);
        for (const auto& [id, it] : target.records) {
            if (it.answer || !predicate(*it.body))
                continue;
            if (std::find(it.tasks.begin(), it.tasks.end(), progress::waiting) != it.tasks.end())
                ids.push_back(id);
        }
    }
    return ids;
}

void ledger::close(job::reason why, const std::string& detail) {
    for (auto& target : m_shards) {
        std::vector<notifications> due;
        {
            const std::lock_guard lock(target.mutex);
            target.is_closed = true;
            for (auto& [id, it] : target.records) {
                if (!it.answer)
                    due.push_back(finish_unsuccessful(target, id, it, why, detail, std::nullopt));
            }
        }
        for (const auto& it : due)
            it.deliver();
    }
}

std::vector<final_submission> ledger::final_submissions() const {
    std::vector<final_submission> all;
    for (const auto& target : m_shards) {
        const std::lock_guard lock(target.mutex);
        for (const auto& [id, it] : target.records) {
            if (it.answer)
                all.push_back({id, it.digest, it.expiry, it.answer});
        }
    }
    return all;
}

void ledger::forget_expired(common::time_point now) {
    for (auto& target : m_shards) {
        const std::lock_guard lock(target.mutex);
        target.forgotten_until = std::max(target.forgotten_until, now);
        while (!target.expiries.empty() && target.expiries.begin()->first <= now) {
            const auto found = target.records.find(target.expiries.begin()->second);
            set_bytes(found->second, 0);
            m_records--;
            target.records.erase(found);
            target.expiries.erase(target.expiries.begin());
        }
    }
}

ledger_size ledger::size() const {
    return {m_records.load(), m_open.load(), m_bytes.load()};
}

ledger::shard& ledger::shard_of(const submission_id& id) {
    return m_shards.at(absl::Hash<submission_id>()(id) % shard_count);
}

open_outcome ledger::admit_record(const shard& target, common::time_point expiry,
                                  common::time_point now) {
    if (expiry <= std::max(now, target.forgotten_until))
        return open_outcome::expired;
    if (target.is_closed)
        return open_outcome::closed;
    return reserve_record() ? open_outcome::opened : open_outcome::memory_full;
}

bool ledger::reserve_record() {
    if (m_bytes.load() >= m_limits.max_bytes)
        return false;
    if (m_records.fetch_add(1) < m_limits.max_records)
        return true;
    m_records--;
    return false;
}

void ledger::set_bytes(record& it, std::size_t bytes) {
    m_bytes += bytes;
    m_bytes -= it.bytes;
    it.bytes = bytes;
}

ledger::notifications ledger::finish(shard& target, const submission_id& id, record& it,
                                     job::answer answer) {
    set_bytes(it, record_bytes + job::size_in_bytes(answer));
    target.expiries.insert({it.expiry, id});
    it.answer = std::make_shared<const job::answer>(std::move(answer));
    m_open--;
    it.body = nullptr;
    it.results = {};
    it.tasks.shrink_to_fit();
    return {it.answer, std::exchange(it.listeners, {})};
}

ledger::notifications ledger::finish_unsuccessful(shard& target, const submission_id& id,
                                                  record& it, job::reason why, std::string detail,
                                                  std::optional<common::milliseconds> retry_after) {
    constexpr auto to_state = [](progress value) {
        switch (value) {
        case progress::waiting:
            return job::task_state::not_run;
        case progress::ran:
            return job::task_state::ran;
        case progress::started:
        case progress::unknown:
            return job::task_state::unknown;
        }
        return job::task_state::unknown;
    };
    job::answer answer;
    answer.why = why;
    answer.detail = std::move(detail);
    answer.retry_after = retry_after;
    answer.tasks.resize(it.tasks.size());
    std::transform(it.tasks.begin(), it.tasks.end(), answer.tasks.begin(), to_state);
    const bool nothing_ran =
        std::all_of(answer.tasks.begin(), answer.tasks.end(),
                    [](job::task_state state) { return state == job::task_state::not_run; });
    answer.state = nothing_ran ? job::answer_state::refused : job::answer_state::failed;
    return finish(target, id, it, std::move(answer));
}

} // namespace savorytrail::submission
