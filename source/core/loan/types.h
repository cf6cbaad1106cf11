// Loans of slots between entries: an entry whose own slots are full starts tasks on idle slots that
// a peer lends it for a limited time.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"
#include "core/dispatch/types.h"
#include "core/submission/submission_id.h"

namespace savorytrail::loan {

// Slots that a peer could lend.
struct offer {
    std::string vm;
    std::string upstream;
    std::optional<std::uint32_t> idle_slots; // from its heartbeat; nullopt when it told none
    bool is_near = false;                    // in this entry's own failure domain

    bool operator==(const offer&) const = default;
};

// A loan as far as the borrower still holds it.
struct held_loan {
    std::uint64_t loan = 0;
    std::uint32_t slots = 0;
    bool renews = true; // false for one that is over while tasks started under it may still run

    bool operator==(const held_loan&) const = default;
};

// Asks one peer for slots of one upstream. It names all loans that the borrower holds, renews them,
// and gives back all others, so that a lost message is made good by the next.
struct loan_request {
    std::string borrower; // VM name
    submission::incarnation incarnation;
    std::uint64_t sequence = 0; // rises with each request of the incarnation
    std::string upstream;
    std::uint32_t wanted = 0;
    std::vector<held_loan> held;      // with the slots that are kept of each
    std::vector<std::string> ejected; // executors that failed the borrower

    bool operator==(const loan_request&) const = default;
};

struct granted_loan {
    std::uint64_t loan = 0;
    dispatch::executor_slots slots;

    bool operator==(const granted_loan&) const = default;
};

struct loan_reply {
    submission::incarnation lender;
    common::milliseconds term{0}; // of granted and renewed loans, from the request on
    std::vector<granted_loan> granted;
    std::vector<std::uint64_t> renewed;
    std::uint32_t idle_slots = 0; // that could still be lent

    bool operator==(const loan_reply&) const = default;
};

} // namespace savorytrail::loan
