// Slot loans between entries: an entry whose own slots are all in use starts tasks on idle slots
// that a peer lends it for a limited time.
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
    std::optional<std::uint32_t> idle_slots; // from its heartbeat; nullopt when not reported
    bool is_same_domain = false;             // in this entry's failure domain

    bool operator==(const offer&) const = default;
};

// A loan that the borrower holds, with the slots that it keeps.
struct held_loan {
    std::uint64_t loan = 0;
    std::uint32_t slots = 0;
    bool renews = true; // false for an ended loan whose tasks may still be running

    bool operator==(const held_loan&) const = default;
};

// Requests slots of one upstream from one peer. Lists all loans that the borrower holds: these are
// renewed and all others are returned, so that the next request makes up for a lost message.
struct loan_request {
    std::string borrower; // VM name
    submission::incarnation incarnation;
    std::uint64_t sequence = 0; // increases with each request of the incarnation
    std::string upstream;
    std::uint32_t wanted = 0;
    std::vector<held_loan> held;      // with the slots kept of each
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
    common::milliseconds term{0}; // of granted and renewed loans, from the time of the request
    std::vector<granted_loan> granted;
    std::vector<std::uint64_t> renewed;
    std::uint32_t idle_slots = 0; // still available for loans

    bool operator==(const loan_reply&) const = default;
};

} // namespace savorytrail::loan
