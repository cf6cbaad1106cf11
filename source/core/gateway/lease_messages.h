// Messages by which a dispatcher renews the leases of jobs that other entries have forwarded to it,
// each one UDP datagram. The dispatcher asks with a stamp, a reading of its own clock; the entry
// answers at once, and echoes the stamp. So whatever the delay of either message, a held job's
// caller was still waiting at the time of the stamp.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::gateway {

struct lease_stamp {
    std::uint64_t incarnation = 0; // of the dispatcher, whose clock counts anew in each
    common::milliseconds at{0};    // on its steady clock, suspensions of the VM included

    bool operator==(const lease_stamp&) const = default;
};

struct lease_request {
    std::string dispatcher; // name of the entry that asks
    lease_stamp stamp;
    std::uint64_t incarnation = 0;      // of the entry that is asked
    std::vector<std::uint64_t> numbers; // of its forwards

    bool operator==(const lease_request&) const = default;
};

struct lease_answer {
    std::string entry; // name of the entry that answers
    std::uint64_t incarnation = 0;
    lease_stamp stamp;               // of the request
    std::vector<std::uint64_t> held; // forwards whose callers wait for this dispatcher's outcome
    std::vector<std::uint64_t> released; // all others that were asked for

    bool operator==(const lease_answer&) const = default;
};

// The most numbers in one request, so that it and its answer fit into a packet of an Ethernet.
constexpr std::size_t max_lease_numbers = 100;

std::string encode(const lease_request& it);
std::string encode(const lease_answer& it);
// nullopt for any other datagram.
std::optional<lease_request> decode_lease_request(const std::string& bytes);
std::optional<lease_answer> decode_lease_answer(const std::string& bytes);

} // namespace savorytrail::gateway
