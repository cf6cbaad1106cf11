// Borrower side of slot loans, without I/O: decides when to request how many slots from which peer,
// when to renew loans and when to return them. A loan is requested for the whole backlog and kept
// while it is in use, since an exchange for each job would cost too many messages.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "core/dispatch/dispatcher.h"
#include "core/loan/types.h"

namespace savorytrail::loan {

// A request sent to a peer. The caller passes it back with the reply.
struct exchange {
    std::string vm;
    loan_request request;
    common::time_point sent;

    bool operator==(const exchange&) const = default;
};

// Finds an executor in the current manifest; nullopt when it has no such executor.
using executor_finder = std::function<std::optional<manifest::executor>(
    const std::string& upstream, const std::string& executor)>;

class borrower {
public:
    static constexpr common::milliseconds idle_hold{100};       // before unused slots are returned
    static constexpr common::milliseconds renew_before{2000};   // the expiry of a loan
    static constexpr common::milliseconds return_delay{100};    // to combine returns in one request
    static constexpr common::milliseconds initial_back_off{50}; // after a peer had no idle slots
    static constexpr common::milliseconds max_back_off{1000};

    borrower(dispatch::dispatcher& dispatcher, std::string self,
             submission::incarnation incarnation, executor_finder find)
        : m_dispatcher(dispatcher), m_self(std::move(self)), m_incarnation(incarnation),
          m_find_executor(std::move(find)) {}
    borrower(const borrower&) = delete;
    borrower& operator=(const borrower&) = delete;

    // Replaces the offers of all reachable peers. Peers without an offer are not asked for slots.
    // Loans on executors that are no longer in the manifest end.
    void set_offers(const std::vector<offer>& offers, common::time_point now);

    // Ends expired loans and returns the requests to send now. Report the outcome of each one by
    // replied() or failed(). Call this when a backlog arises and every few tens of milliseconds.
    std::vector<exchange> decide(common::time_point now);

    void replied(const exchange& sent, const loan_reply& reply, common::time_point now,
                 std::vector<dispatch::task_start>& starts);
    // The outcome of the request is unknown; a late reply must not be used.
    void failed(const exchange& sent, common::time_point now);

    std::size_t borrowed_slots() const;

private:
    struct borrowed_loan {
        dispatch::executor_slots slots;
        common::time_point expires_at; // earlier than at the lender: counted from the request
        bool is_over = false;          // not used any more, but listed until expired at the lender
    };

    // One peer as a lender for one upstream.
    struct lender_state {
        std::uint32_t idle_slots = 0; // as last reported
        bool is_same_domain = false;
        bool is_offered = false; // in the newest offers
        bool is_request_pending = false;
        std::set<std::string> ejected;                   // failed executors to report to the lender
        std::optional<common::time_point> returns_since; // first return not yet reported
        submission::incarnation incarnation;
        std::map<std::uint64_t, borrowed_loan> loans;
        common::time_point next_request_at;
        common::milliseconds back_off = initial_back_off;
    };

    struct upstream_state {
        std::map<std::string, lender_state> lenders; // by VM name
        std::uint32_t requested_slots = 0;           // slots in pending requests
        common::time_point hold_started_at;
        std::map<std::string, std::uint32_t> unused; // least idle slots since then, by executor
    };

    exchange make_exchange(const std::string& upstream, const std::string& vm, lender_state& from,
                           std::uint32_t wanted, common::time_point now);
    void expire_loans(const std::string& upstream, upstream_state& it, common::time_point now);
    void give_back_unused(const dispatch::slot_demand& demand, upstream_state& it,
                          common::time_point now);
    void give_back_ejected(const dispatch::slot_demand& demand, upstream_state& it,
                           common::time_point now);
    static void reduce_loans(upstream_state& it, const dispatch::executor_slots& given,
                             common::time_point now);
    static void schedule_return(lender_state& from, common::time_point now);
    void request_slots(const dispatch::slot_demand& demand, upstream_state& it,
                       common::time_point now, std::vector<exchange>& out);
    void renew_loans(const std::string& upstream, upstream_state& it, common::time_point now,
                     std::vector<exchange>& out);
    lender_state* best_lender(upstream_state& it, common::time_point now, std::string& vm);
    void end_loans_without_executor(const std::string& upstream, lender_state& from,
                                    common::time_point now);
    void drop_loans(const std::string& upstream, lender_state& from);
    void end_loan(const std::string& upstream, borrowed_loan& it);

    dispatch::dispatcher& m_dispatcher;
    const std::string m_self;
    const submission::incarnation m_incarnation;
    const executor_finder m_find_executor;
    mutable std::mutex m_mutex;
    std::uint64_t m_sequence = 0;                      // guarded by m_mutex
    std::map<std::string, upstream_state> m_upstreams; // guarded by m_mutex
};

} // namespace savorytrail::loan
