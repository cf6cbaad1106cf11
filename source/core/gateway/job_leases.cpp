#include "core/gateway/job_leases.h"

#include <algorithm>
#include <utility>

namespace savorytrail::gateway {
namespace {

using common::milliseconds;
using common::time_point;

// Leases are renewed this many times in their time, so that several lost datagrams cost nothing.
constexpr int renewals_per_lease = 5;
// The same for requests that are repeated as they were not answered.
constexpr int retries_per_lease = 15;

} // namespace

job_leases::job_leases(const common::clock& clock, std::string self, std::uint64_t incarnation,
                       milliseconds lease)
    : m_clock(clock), m_self(std::move(self)), m_incarnation(incarnation), m_lease(lease) {}

milliseconds job_leases::reading() const {
    return std::chrono::duration_cast<milliseconds>(m_clock.now().time_since_epoch()) +
           m_clock.suspended();
}

time_point job_leases::held_until(const std::optional<lease_stamp>& stamp) const {
    const auto now = m_clock.now();
    if (!stamp || stamp->incarnation != m_incarnation) {
        return now;
    }
    const auto age = reading() - stamp->at;
    if (age < milliseconds(0) || age >= m_lease) {
        return now;
    }
    return now + m_lease - age;
}

void job_leases::add(const forward_id& it, time_point held_until) {
    auto& to = m_holders[{it.entry, it.incarnation}];
    to.held_until[it.number] = held_until;
    if (held_until <= m_clock.now()) {
        to.unasked.push_back(it.number);
    }
}

void job_leases::remove(const forward_id& it) {
    const auto found = m_holders.find({it.entry, it.incarnation});
    if (found == m_holders.end()) {
        return;
    }
    found->second.held_until.erase(it.number);
    if (found->second.held_until.empty()) {
        m_holders.erase(found);
    }
}

void job_leases::renew(const forward_id& it, time_point held_until) {
    const auto found = m_holders.find({it.entry, it.incarnation});
    if (found == m_holders.end()) {
        return;
    }
    if (const auto job = found->second.held_until.find(it.number);
        job != found->second.held_until.end()) {
        job->second = std::max(job->second, held_until);
    }
}

bool job_leases::is_due(const holder& it, time_point now) const {
    if (it.asked_at && now - *it.asked_at < m_lease / retries_per_lease) {
        return false;
    }
    const auto renew_before = now + m_lease - m_lease / renewals_per_lease;
    return std::any_of(it.held_until.begin(), it.held_until.end(),
                       [&](const auto& job) { return job.second <= renew_before; });
}

std::vector<job_leases::addressed_request> job_leases::due() {
    const auto now = m_clock.now();
    std::vector<addressed_request> list;
    for (auto& [key, it] : m_holders) {
        auto numbers = std::exchange(it.unasked, {});
        if (is_due(it, now)) {
            it.asked_at = now;
            numbers.clear();
            for (const auto& [number, held_until] : it.held_until) {
                numbers.push_back(number);
            }
        }
        add_requests(list, key, numbers);
    }
    return list;
}

void job_leases::add_requests(std::vector<addressed_request>& list, const holder_key& of,
                              const std::vector<std::uint64_t>& numbers) const {
    for (std::size_t i = 0; i < numbers.size(); i += max_lease_numbers) {
        const auto end = std::min(i + max_lease_numbers, numbers.size());
        list.push_back({of.first,
                        {m_self,
                         {m_incarnation, reading()},
                         of.second,
                         {numbers.begin() + static_cast<std::ptrdiff_t>(i),
                          numbers.begin() + static_cast<std::ptrdiff_t>(end)}}});
    }
}

job_leases::renewals job_leases::receive(const lease_answer& it) const {
    renewals result;
    result.held_until = held_until(it.stamp);
    for (const auto number : it.held) {
        result.held.push_back({it.entry, it.incarnation, number});
    }
    for (const auto number : it.released) {
        result.released.push_back({it.entry, it.incarnation, number});
    }
    return result;
}

} // namespace savorytrail::gateway
