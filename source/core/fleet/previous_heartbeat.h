// The heartbeat format of the previous version, for the time of a rolling restart. An entry of that
// version sends heartbeats to every entry that it knows, and expects them from every entry.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/fleet/heartbeat.h"

namespace savorytrail::fleet {

struct previous_heartbeat {
    heartbeat content;             // without news
    std::vector<entry_info> known; // all entries that the sender has heard of

    bool operator==(const previous_heartbeat&) const = default;
};

// Ids of the executors that an entry holds; the previous format names them in full.
struct held_executors {
    std::vector<std::string> own_domain;
    std::vector<std::string> adopted;

    bool operator==(const held_executors&) const = default;
};

std::string encode_previous(const heartbeat& it, const held_executors& held,
                            const std::string& recipient);
// Decodes a heartbeat that was sent to the entry named `recipient`.
std::optional<previous_heartbeat> decode_previous(const std::string& bytes,
                                                  const std::string& recipient);

} // namespace savorytrail::fleet
