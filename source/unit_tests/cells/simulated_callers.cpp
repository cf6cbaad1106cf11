#include "unit_tests/cells/simulated_callers.h"

#include <algorithm>

#include "unit_tests/cells/simulated_fleet.h"

namespace savorytrail::cells {
namespace {

using common::milliseconds;

constexpr milliseconds one_way_delay{1};
constexpr int max_notice_ms = 50; // time within which an entry is told of a broken connection
constexpr milliseconds no_entry_retry{100};

} // namespace

std::size_t simulated_callers::submit(const work::job& job) {
    m_fleet.add_job(job);
    m_callers.push_back({job, 0, std::nullopt, {}});
    send(m_callers.size() - 1);
    return m_callers.size() - 1;
}

bool simulated_callers::have_all_ended() const {
    return std::all_of(m_callers.begin(), m_callers.end(),
                       [](const auto& it) { return it.end.has_value(); });
}

bool simulated_callers::is_answered(std::size_t caller, common::time_point since) const {
    const auto& it = m_callers[caller];
    return it.end || it.given_up_at >= since;
}

bool simulated_callers::are_all_answered(common::time_point since) const {
    for (std::size_t i = 0; i < m_callers.size(); i++) {
        if (!is_answered(i, since)) {
            return false;
        }
    }
    return true;
}

std::vector<std::shared_ptr<simulated_call>> simulated_callers::open_calls() const {
    std::vector<std::shared_ptr<simulated_call>> list;
    std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(list),
                 [](const auto& it) { return it->is_open_at_caller; });
    return list;
}

int simulated_callers::choose_live_entry() {
    const int slot = m_fleet.pick(m_fleet.entries());
    for (int i = 0; i < m_fleet.entries(); i++) {
        const int candidate = (slot + i) % m_fleet.entries();
        if (m_fleet.entry(candidate).is_alive()) {
            return candidate;
        }
    }
    return -1;
}

void simulated_callers::send(std::size_t number) {
    auto& it = m_callers[number];
    const int slot = choose_entry ? choose_entry(number, it.attempts) : choose_live_entry();
    if (slot < 0) {
        m_fleet.time().after(no_entry_retry, [this, number] { send(number); });
        return;
    }
    it.attempts++;
    std::erase_if(m_calls,
                  [](const auto& c) { return !c->is_open_at_caller && !c->is_open_at_entry; });
    const auto call = m_calls.emplace_back(std::make_shared<simulated_call>());
    call->at = &m_fleet.entry(slot);
    call->caller = number;
    m_fleet.note("caller sends " + it.job.id + " to " + call->at->name());
    m_fleet.time().after(one_way_delay, [this, call] { arrive(call); });
    m_fleet.time().after(it.job.patience, [this, call] {
        if (call->is_open_at_caller) {
            break_at_caller(call);
            leave(call, one_way_delay);
        }
    });
}

void simulated_callers::arrive(const std::shared_ptr<simulated_call>& it) {
    if (it->cuts_requests) {
        return;
    }
    if (!it->at->is_alive()) {
        break_at_caller(it);
        return;
    }
    it->at->deliver([this, it] {
        if (!it->is_open_at_entry) {
            return;
        }
        const auto ticket =
            it->at->submit(m_callers[it->caller].job, [this, it](const work::outcome& outcome) {
                it->is_open_at_entry = false;
                if (!it->cuts_answers) {
                    m_fleet.time().after(one_way_delay,
                                         [this, it, outcome] { receive(it, outcome); });
                }
            });
        it->ticket = ticket;
    });
}

void simulated_callers::receive(const std::shared_ptr<simulated_call>& it,
                                const work::outcome& outcome) {
    if (!it->is_open_at_caller) {
        return;
    }
    if (outcome.end == work::job_end::given_up) {
        m_callers[it->caller].given_up_at = m_fleet.time().now();
        break_at_caller(it);
        return;
    }
    it->is_open_at_caller = false;
    m_callers[it->caller].end = outcome.end;
    m_fleet.note("caller of " + m_callers[it->caller].job.id + " learns " +
                 std::string(work::to_string(outcome.end)));
}

void simulated_callers::send_again(std::size_t number) {
    m_fleet.time().after(resend_delay, [this, number] { send(number); });
}

void simulated_callers::break_at_caller(const std::shared_ptr<simulated_call>& it) {
    if (std::exchange(it->is_open_at_caller, false)) {
        m_fleet.note("caller of " + m_callers[it->caller].job.id + " got no outcome from " +
                     it->at->name());
        send_again(it->caller);
    }
}

void simulated_callers::leave(const std::shared_ptr<simulated_call>& it, milliseconds delay) {
    if (it->cuts_requests) {
        return;
    }
    m_fleet.time().after(delay, [it] {
        it->at->deliver([it] {
            if (!std::exchange(it->is_open_at_entry, false) || it->ticket == 0) {
                return;
            }
            it->at->abandon(it->ticket);
        });
    });
}

void simulated_callers::reset(const std::shared_ptr<simulated_call>& it) {
    if (it->cuts_requests || it->cuts_answers) {
        return; // neither end learns of it
    }
    break_at_caller(it);
    leave(it, milliseconds(m_fleet.pick(max_notice_ms)));
}

void simulated_callers::on_entry_ended(const simulated_entry& entry) {
    for (const auto& it : open_calls()) {
        if (it->at == &entry && !it->cuts_answers) {
            m_fleet.time().after(one_way_delay, [this, it] { break_at_caller(it); });
        }
    }
}

} // namespace savorytrail::cells
