// Decisions of an entry about its own slots that peers ask for. Sans I/O. A lent slot counts as
// used until the borrower gives it back, or until the loan's term and one task timeout are over:
// after that nothing that was started under the loan can still run.
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

    // `task_timeout` is the upstream's.
    loan_reply handle(const loan_request& request, common::milliseconds task_timeout,
                      common::time_point now, std::vector<dispatch::task_start>& starts);

    // Takes back what no borrower can use any more.
    void tick(common::time_point now, std::vector<dispatch::task_start>& starts);

    std::size_t lent_slots() const;

private:
    struct record {
        std::string borrower;
        submission::incarnation incarnation; // of the borrower
        std::string upstream;
        dispatch::executor_slots slots;
        common::time_point expires_at; // the borrower starts nothing after that
        common::time_point release_at; // nothing that it started runs after that
    };

    // The borrower's newest request. Older ones may arrive late and are ignored: the borrower has
    // given them up, and would not know of their loans.
    struct borrower_state {
        submission::incarnation incarnation;
        std::uint64_t sequence = 0;
    };

    bool is_newest(const loan_request& request);
    void settle(const loan_request& request, common::time_point release_at, loan_reply& reply,
                common::time_point now, std::vector<dispatch::task_start>& starts);

    dispatch::dispatcher& m_dispatcher;
    const submission::incarnation m_self;
    mutable std::mutex m_mutex;
    std::uint64_t m_last_loan = 0;                             // guarded by m_mutex
    absl::flat_hash_map<std::uint64_t, record> m_loans;        // guarded by m_mutex
    absl::flat_hash_map<std::string, borrower_state> m_newest; // by borrower and upstream; guarded
                                                               // by m_mutex
};

} // namespace savorytrail::loan
