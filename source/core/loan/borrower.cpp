// Slot requests, renewals and returns. Lock order: the borrower's lock is held while the dispatcher
// is called, never the reverse.
#include "core/loan/borrower.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "core/loan/lender.h"

namespace savorytrail::loan {
namespace {

constexpr std::uint32_t max_slots_per_request = 256;
// A backlog of up to this percentage of the own and borrowed slots is not borrowed for: its last
// task waits for about that part of a task's duration, and an exchange for each small overflow
// costs too many messages.
constexpr std::size_t tolerated_backlog_percent = 80;

} // namespace

void borrower::set_offers(const std::vector<offer>& offers, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    for (auto& [upstream, state] : m_upstreams) {
        for (auto& [vm, it] : state.lenders) {
            it.is_offered = false;
            end_loans_without_executor(upstream, it, now);
        }
    }
    std::map<std::string, std::size_t> idle;
    for (const auto& it : offers) {
        lender_state& from = m_upstreams[it.upstream].lenders[it.vm];
        from.is_offered = true;
        from.is_same_domain = it.is_same_domain;
        from.idle_slots = it.idle_slots.value_or(from.idle_slots);
        // A peer that reported no number may have an idle slot. It is only asked when a job waits.
        idle[it.upstream] += it.idle_slots.value_or(std::max(from.idle_slots, 1U));
    }
    for (auto& [upstream, state] : m_upstreams) {
        const auto found = idle.find(upstream);
        m_dispatcher.set_borrowable(upstream, found == idle.end() ? std::nullopt
                                                                  : std::optional(found->second));
        std::erase_if(state.lenders, [](const auto& it) {
            return !it.second.is_offered && !it.second.is_request_pending &&
                   it.second.loans.empty() && !it.second.returns_since;
        });
    }
}

std::vector<exchange> borrower::decide(common::time_point now) {
    std::vector<exchange> out;
    const auto demands = m_dispatcher.demands();
    const std::lock_guard lock(m_mutex);
    for (const auto& demand : demands) {
        const auto found = m_upstreams.find(demand.upstream);
        if (found == m_upstreams.end())
            continue;
        upstream_state& it = found->second;
        expire_loans(demand.upstream, it, now);
        give_back_ejected(demand, it, now);
        give_back_unused(demand, it, now);
        request_slots(demand, it, now, out);
        renew_loans(demand.upstream, it, now, out);
    }
    return out;
}

void borrower::replied(const exchange& sent, const loan_reply& reply, common::time_point now,
                       std::vector<dispatch::task_start>& starts) {
    const std::string& upstream = sent.request.upstream;
    const std::lock_guard lock(m_mutex);
    upstream_state& state = m_upstreams[upstream];
    lender_state& from = state.lenders[sent.vm];
    from.is_request_pending = false;
    state.requested_slots -= sent.request.wanted;
    if (from.incarnation != reply.lender) {
        drop_loans(upstream, from);
        from.incarnation = reply.lender;
    }

    const auto expires_at = sent.sent + reply.term;
    for (const auto& it : sent.request.held) {
        const auto found = from.loans.find(it.loan);
        if (found == from.loans.end() || found->second.is_over)
            continue;
        const auto renewed = std::find(reply.renewed.begin(), reply.renewed.end(), it.loan);
        if (renewed == reply.renewed.end())
            end_loan(upstream, found->second);
        else
            found->second.expires_at = expires_at;
    }
    std::vector<dispatch::executor_share> shares;
    for (const auto& it : reply.granted) {
        const auto executor = m_find_executor(upstream, it.slots.executor);
        if (!executor || expires_at <= now) {
            schedule_return(from, now);
            continue;
        }
        from.loans[it.loan] = {it.slots, expires_at, false};
        shares.push_back({*executor, it.slots.slots});
    }
    from.idle_slots = reply.idle_slots;
    if (!reply.granted.empty())
        from.back_off = initial_back_off;
    if (sent.request.wanted > 0 && from.idle_slots == 0) {
        from.next_request_at = now + from.back_off;
        from.back_off = std::min(from.back_off * 2, max_back_off);
    }
    if (!shares.empty())
        m_dispatcher.add_borrowed(upstream, shares, now, starts);
}

void borrower::failed(const exchange& sent, common::time_point now) {
    const std::lock_guard lock(m_mutex);
    upstream_state& state = m_upstreams[sent.request.upstream];
    lender_state& from = state.lenders[sent.vm];
    from.is_request_pending = false;
    // The peer may hold loans for this entry that the entry does not know of.
    schedule_return(from, now);
    from.idle_slots = 0;
    from.next_request_at = now + max_back_off;
    state.requested_slots -= sent.request.wanted;
}

std::size_t borrower::borrowed_slots() const {
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& [upstream, state] : m_upstreams) {
        for (const auto& [vm, from] : state.lenders) {
            for (const auto& [id, it] : from.loans)
                n += it.is_over ? 0 : it.slots.slots;
        }
    }
    return n;
}

exchange borrower::make_exchange(const std::string& upstream, const std::string& vm,
                                 lender_state& from, std::uint32_t wanted, common::time_point now) {
    exchange it{vm, {m_self, m_incarnation, ++m_sequence, upstream, wanted, {}, {}}, now};
    for (const auto& [id, loan] : from.loans)
        it.request.held.push_back({id, loan.slots.slots, !loan.is_over});
    it.request.ejected.assign(from.ejected.begin(), from.ejected.end());
    from.ejected.clear();
    from.is_request_pending = true;
    from.returns_since = std::nullopt;
    return it;
}

void borrower::expire_loans(const std::string& upstream, upstream_state& it,
                            common::time_point now) {
    for (auto& [vm, from] : it.lenders) {
        for (auto loan = from.loans.begin(); loan != from.loans.end();) {
            borrowed_loan& of = loan->second;
            if (of.expires_at <= now)
                end_loan(upstream, of);
            const bool is_over_at_lender = of.is_over && of.expires_at + lender::term <= now;
            loan = is_over_at_lender ? from.loans.erase(loan) : std::next(loan);
        }
    }
}

// Immediately returns the idle slots of executors that this entry has ejected, and reports the
// ejections to their lenders.
void borrower::give_back_ejected(const dispatch::slot_demand& demand, upstream_state& it,
                                 common::time_point now) {
    for (const auto& executor : demand.ejected_borrowed) {
        for (auto& [vm, from] : it.lenders) {
            for (const auto& [id, loan] : from.loans) {
                if (loan.slots.executor == executor && !loan.is_over)
                    from.ejected.insert(executor);
            }
        }
        const std::vector<dispatch::executor_slots> all = {
            {executor, std::numeric_limits<std::uint32_t>::max()}};
        for (const auto& given : m_dispatcher.give_back(demand.upstream, all))
            reduce_loans(it, given, now);
    }
}

// Returns the slots that stayed unused for a whole idle_hold.
void borrower::give_back_unused(const dispatch::slot_demand& demand, upstream_state& it,
                                common::time_point now) {
    std::map<std::string, std::uint32_t> idle;
    for (const auto& slots : demand.idle_borrowed)
        idle[slots.executor] = slots.slots;
    for (auto& [executor, least] : it.unused)
        least = std::min(least, idle[executor]);
    if (now - it.hold_started_at < idle_hold)
        return;
    std::vector<dispatch::executor_slots> unused;
    for (const auto& [executor, least] : it.unused) {
        if (least > 0)
            unused.push_back({executor, least});
    }
    for (const auto& given : m_dispatcher.give_back(demand.upstream, unused))
        reduce_loans(it, given, now);
    it.unused = std::move(idle);
    it.hold_started_at = now;
}

void borrower::reduce_loans(upstream_state& it, const dispatch::executor_slots& given,
                            common::time_point now) {
    std::uint32_t left = given.slots;
    for (auto& [vm, from] : it.lenders) {
        for (auto loan = from.loans.begin(); loan != from.loans.end();) {
            auto& slots = loan->second.slots;
            if (slots.executor == given.executor && left > 0 && !loan->second.is_over) {
                const auto n = std::min(left, slots.slots);
                slots.slots -= n;
                left -= n;
                schedule_return(from, now);
            }
            loan = slots.slots == 0 ? from.loans.erase(loan) : std::next(loan);
        }
    }
}

// Requests slots for the whole backlog, peer by peer until their idle slots cover it.
void borrower::request_slots(const dispatch::slot_demand& demand, upstream_state& it,
                             common::time_point now, std::vector<exchange>& out) {
    if (demand.queued_tasks * 100 <= demand.slots * tolerated_backlog_percent)
        return;
    const auto queued = static_cast<std::uint32_t>(
        std::min<std::size_t>(demand.queued_tasks, max_slots_per_request));
    while (queued > it.requested_slots) {
        std::string vm;
        lender_state* from = best_lender(it, now, vm);
        if (from == nullptr)
            return;
        const std::uint32_t missing = queued - it.requested_slots;
        const std::uint32_t wanted =
            from->idle_slots > 0 ? std::min(missing, from->idle_slots) : missing;
        out.push_back(make_exchange(demand.upstream, vm, *from, wanted, now));
        it.requested_slots += wanted;
    }
}

void borrower::renew_loans(const std::string& upstream, upstream_state& it, common::time_point now,
                           std::vector<exchange>& out) {
    for (auto& [vm, from] : it.lenders) {
        if (from.is_request_pending)
            continue;
        const bool is_due =
            std::any_of(from.loans.begin(), from.loans.end(), [now](const auto& loan) {
                return !loan.second.is_over && loan.second.expires_at - now <= renew_before;
            });
        const bool has_returns = from.returns_since && now - *from.returns_since >= return_delay;
        if ((is_due || has_returns) && now >= from.next_request_at)
            out.push_back(make_exchange(upstream, vm, from, 0, now));
    }
}

// Chooses the peer to ask next: among peers with idle slots, one in the same failure domain first,
// then the one with the most idle slots.
borrower::lender_state* borrower::best_lender(upstream_state& it, common::time_point now,
                                              std::string& vm) {
    lender_state* best = nullptr;
    for (auto& [name, from] : it.lenders) {
        if (!from.is_offered || from.is_request_pending || now < from.next_request_at)
            continue;
        const auto rank = [](const lender_state& of) {
            return std::tuple(of.idle_slots > 0, of.is_same_domain, of.idle_slots);
        };
        if (best != nullptr && rank(from) <= rank(*best))
            continue;
        best = &from;
        vm = name;
    }
    return best;
}

void borrower::schedule_return(lender_state& from, common::time_point now) {
    if (!from.returns_since)
        from.returns_since = now;
}

// Called when the lender has restarted and so has no record of its loans.
void borrower::drop_loans(const std::string& upstream, lender_state& from) {
    for (auto& [id, it] : from.loans)
        end_loan(upstream, it);
    from.loans.clear();
}

void borrower::end_loans_without_executor(const std::string& upstream, lender_state& from,
                                          common::time_point now) {
    for (auto& [id, it] : from.loans) {
        if (it.is_over || m_find_executor(upstream, it.slots.executor))
            continue;
        end_loan(upstream, it);
        schedule_return(from, now);
    }
}

void borrower::end_loan(const std::string& upstream, borrowed_loan& it) {
    if (it.is_over)
        return;
    m_dispatcher.end_borrowed(upstream, {it.slots});
    it.is_over = true;
}

} // namespace savorytrail::loan
