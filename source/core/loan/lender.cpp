// Grants, renews and takes back loans.
#include "core/loan/lender.h"

#include <algorithm>

namespace savorytrail::loan {

loan_reply lender::handle(const loan_request& request, common::milliseconds task_timeout,
                          common::time_point now, std::vector<dispatch::task_start>& starts) {
    loan_reply reply;
    reply.lender = m_self;
    reply.term = term;
    const std::lock_guard lock(m_mutex);
    if (!is_newest(request))
        return reply;

    for (const auto& it : request.ejected)
        m_dispatcher.eject(request.upstream, it, now);
    const auto release_at = now + term + task_timeout;
    reconcile(request, release_at, reply, now, starts);
    if (request.wanted > 0) {
        for (const auto& it : m_dispatcher.lend(request.upstream, request.wanted)) {
            const std::uint64_t id = ++m_last_loan;
            m_loans[id] = {request.borrower, request.incarnation, request.upstream, it,
                           now + term,       release_at};
            reply.granted.push_back({id, it});
        }
    }
    reply.idle_slots = static_cast<std::uint32_t>(m_dispatcher.lendable_slots(request.upstream));
    return reply;
}

void lender::tick(common::time_point now, std::vector<dispatch::task_start>& starts) {
    const std::lock_guard lock(m_mutex);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, it] : m_loans) {
        if (it.release_at <= now)
            ended.push_back(id);
    }
    for (const auto id : ended) {
        const lent_loan it = m_loans.at(id);
        m_loans.erase(id);
        m_dispatcher.take_back(it.upstream, {it.slots}, now, starts);
    }
}

std::size_t lender::lent_slots() const {
    const std::lock_guard lock(m_mutex);
    std::size_t n = 0;
    for (const auto& [id, it] : m_loans)
        n += it.slots.slots;
    return n;
}

bool lender::is_newest(const loan_request& request) {
    auto& newest = m_newest_requests[request.borrower + '\n' + request.upstream];
    if (newest.incarnation == request.incarnation && request.sequence <= newest.sequence)
        return false;
    newest = {request.incarnation, request.sequence};
    return true;
}

// Updates the loans of the borrower to those that its request lists. Loans of an earlier
// incarnation of the borrower and loans past their term stay until their release time, since their
// tasks may still be running.
void lender::reconcile(const loan_request& request, common::time_point release_at,
                       loan_reply& reply, common::time_point now,
                       std::vector<dispatch::task_start>& starts) {
    absl::flat_hash_map<std::uint64_t, held_loan> held;
    for (const auto& it : request.held)
        held[it.loan] = it;

    std::vector<std::uint64_t> returned;
    std::vector<dispatch::executor_slots> freed;
    for (auto& [id, it] : m_loans) {
        if (it.borrower != request.borrower || it.incarnation != request.incarnation ||
            it.upstream != request.upstream || it.expires_at <= now)
            continue;
        const auto found = held.find(id);
        const std::uint32_t kept =
            found == held.end() ? 0 : std::min(found->second.slots, it.slots.slots);
        if (kept < it.slots.slots)
            freed.push_back({it.slots.executor, it.slots.slots - kept});
        it.slots.slots = kept;
        if (kept == 0) {
            returned.push_back(id);
        } else if (found->second.renews && m_dispatcher.owns(it.upstream, it.slots.executor)) {
            it.expires_at = now + term;
            it.release_at = release_at;
            reply.renewed.push_back(id);
        }
    }
    for (const auto id : returned)
        m_loans.erase(id);
    if (!freed.empty())
        m_dispatcher.take_back(request.upstream, freed, now, starts);
}

} // namespace savorytrail::loan
