// Lender side of slot loans, without I/O. A lent slot counts as used until the borrower returns it,
// or until the term of the loan plus one task timeout has passed: after that no task started under
// the loan can still be running.
#pragma once

#include <mutex>

#include "absl/container/flat_hash_map.h"
#include "core/dispatch/dispatcher.h"
#include "core/loan/types.h"

namespace savorytrail::loan {

class lender {
public:
    static constexpr common::milliseconds term{5000};

    lender(dispatch::dispatcher& dispatcher, submission::incarnation self)
        : m_dispatcher(dispatcher), m_self(self) {}
    lender(const lender&) = delete;
    lender& operator=(const lender&) = delete;

    // `task_timeout` is that of the request's upstream.
    loan_reply handle(const loan_request& request, common::milliseconds task_timeout,
                      common::time_point now, std::vector<dispatch::task_start>& starts);

    // Takes back the slots of loans whose tasks can no longer be running.
    void tick(common::time_point now, std::vector<dispatch::task_start>& starts);

    std::size_t lent_slots() const;

private:
    struct lent_loan {
        std::string borrower;
        submission::incarnation incarnation; // of the borrower
        std::string upstream;
        dispatch::executor_slots slots;
        common::time_point expires_at; // the borrower starts no task after this
        common::time_point release_at; // no task of the loan runs after this
    };

    // The newest request of a borrower. Older requests that arrive late are ignored: the borrower
    // has treated them as failed and would not know of their loans.
    struct borrower_state {
        submission::incarnation incarnation;
        std::uint64_t sequence = 0;
    };

    bool is_newest(const loan_request& request);
    void reconcile(const loan_request& request, common::time_point release_at, loan_reply& reply,
                   common::time_point now, std::vector<dispatch::task_start>& starts);

    dispatch::dispatcher& m_dispatcher;
    const submission::incarnation m_self;
    mutable std::mutex m_mutex;
    std::uint64_t m_last_loan = 0;                                      // guarded by m_mutex
    absl::flat_hash_map<std::uint64_t, lent_loan> m_loans;              // guarded by m_mutex
    absl::flat_hash_map<std::string, borrower_state> m_newest_requests; // by borrower and upstream;
                                                                        // guarded by m_mutex
};

} // namespace savorytrail::loan
