// Decisions of an entry about borrowing: when to ask which peer for how many slots, when to renew,
// and when to give back. Sans I/O. Loans are meant to last: one is asked for the whole backlog and
// kept while it is used, since an exchange for each job would cost too many messages.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>

#include "core/dispatch/dispatcher.h"
#include "core/loan/types.h"

namespace savorytrail::loan {

// One request that is out at a peer, to be handed back with its reply.
struct exchange {
    std::string vm;
    loan_request request;
    common::time_point sent;

    bool operator==(const exchange&) const = default;
};

// The executor of that name in the manifest in force; nullopt when there is none.
using executor_finder = std::function<std::optional<manifest::executor>(
    const std::string& upstream, const std::string& executor)>;

class borrower {
public:
    static constexpr common::milliseconds idle_hold{100}; // a loan unused for that is given back
    static constexpr common::milliseconds renew_before{2000}; // its expiry
    static constexpr common::milliseconds return_delay{100};  // to send returns together
    static constexpr common::milliseconds first_back_off{50}; // of a peer that had none idle
    static constexpr common::milliseconds max_back_off{1000};

    borrower(dispatch::dispatcher& dispatcher, std::string self,
             submission::incarnation incarnation, executor_finder find)
        : m_dispatcher(dispatcher), m_self(std::move(self)), m_incarnation(incarnation),
          m_find(std::move(find)) {}
    borrower(const borrower&) = delete;
    borrower& operator=(const borrower&) = delete;

    // What all reachable peers offer; replaces what was known. Peers that are not named are not
    // asked. Loans on executors that are no longer found end.
    void set_offers(const std::vector<offer>& offers, common::time_point now);

    // Ends loans that are over and says which requests to send now. Each is answered by replied()
    // or failed(). To be called when a backlog arises and every few tens of milliseconds.
    std::vector<exchange> decide(common::time_point now);

    void replied(const exchange& sent, const loan_reply& reply, common::time_point now,
                 std::vector<dispatch::task_start>& starts);
    // Nothing is known of the request; its reply must no longer be used.
    void failed(const exchange& sent, common::time_point now);

    std::size_t borrowed_slots() const;

private:
    struct held {
        dispatch::executor_slots slots;
        common::time_point expires_at; // before the lender's, since it counts from the request
        bool is_over = false;          // no longer used; named until the lender knows it is over
    };

    // One peer as a lender for one upstream.
    struct source {
        std::uint32_t idle_slots = 0; // as far as known
        bool is_near = false;
        bool is_offered = false;                         // by the newest offers
        bool is_asked = false;                           // a request is out
        std::set<std::string> ejected;                   // executors that failed, to be told
        std::optional<common::time_point> returns_since; // slots it does not know are given back
        submission::incarnation lender;
        std::map<std::uint64_t, held> loans;
        common::time_point ask_after;
        common::milliseconds back_off = first_back_off;
    };

    struct upstream_state {
        std::map<std::string, source> sources; // by VM name
        std::uint32_t asked = 0;               // slots in requests that are out
        common::time_point hold_began;
        std::map<std::string, std::uint32_t> unused; // least idle slots since then, by executor
    };

    exchange make_exchange(const std::string& upstream, const std::string& vm, source& from,
                           std::uint32_t wanted, common::time_point now);
    void expire(const std::string& upstream, upstream_state& it, common::time_point now);
    void give_back_unused(const dispatch::slot_demand& demand, upstream_state& it,
                          common::time_point now);
    void give_back_ejected(const dispatch::slot_demand& demand, upstream_state& it,
                           common::time_point now);
    static void reduce(upstream_state& it, const dispatch::executor_slots& given,
                       common::time_point now);
    static void note_return(source& from, common::time_point now);
    void ask(const dispatch::slot_demand& demand, upstream_state& it, common::time_point now,
             std::vector<exchange>& out);
    void renew(const std::string& upstream, upstream_state& it, common::time_point now,
               std::vector<exchange>& out);
    source* best_source(upstream_state& it, common::time_point now, std::string& vm);
    void end_unfound(const std::string& upstream, source& from, common::time_point now);
    void drop_all(const std::string& upstream, source& from);
    void end(const std::string& upstream, held& it);

    dispatch::dispatcher& m_dispatcher;
    const std::string m_self;
    const submission::incarnation m_incarnation;
    const executor_finder m_find;
    mutable std::mutex m_mutex;
    std::uint64_t m_sequence = 0;                      // guarded by m_mutex
    std::map<std::string, upstream_state> m_upstreams; // guarded by m_mutex
};

} // namespace savorytrail::loan
