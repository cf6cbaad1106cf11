// The heartbeat that two linked entries send each other several times a second. It tells the
// sender's status, whether the sender hears the recipient, and news of some other entries, so that
// entries without a link learn of each other at a bounded cost.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/entry_state.h"
#include "core/fleet/shared_state.h"

namespace savorytrail::fleet {

// News of an entry other than the sender.
struct entry_news {
    std::uint64_t key = 0; // entry_key()
    // Only in an introduction. A recipient ignores news of entries not introduced to it.
    std::optional<entry_identity> identity;
    entry_status status;         // without the versions of what it has, and the number of executors
    common::milliseconds age{0}; // time since its heartbeat with this status left it

    bool operator==(const entry_news&) const = default;
};

struct heartbeat {
    entry_identity sender;
    entry_status status;
    std::vector<std::uint64_t> held; // keys of executors of its own domain; sent within the domain
    // Time since the sender received a heartbeat of the recipient; nullopt when it never did.
    std::optional<common::milliseconds> heard_recipient;
    // Interval at which the sender wants heartbeats of the recipient; zero for none.
    common::milliseconds wanted_interval{0};
    std::vector<entry_news> news;
    shared_state shared;

    bool operator==(const heartbeat&) const = default;
};

// Heartbeats fit into one packet of an Ethernet network.
constexpr std::size_t max_heartbeat_bytes = 1400;

std::string encode(const heartbeat& it);
std::optional<heartbeat> decode_heartbeat(const std::string& bytes);

} // namespace savorytrail::fleet
