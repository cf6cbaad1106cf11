// Heartbeats: the state that an entry reports to other entries, in one small UDP datagram.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/submission/submission_id.h"

namespace savorytrail::membership {

constexpr std::size_t max_heartbeat_bytes = 96;
constexpr std::size_t udp_header_bytes = 28; // IPv4 and UDP

enum class entry_state : std::uint8_t { serving, stopping, left };

// Idle slots of one upstream that an entry offers to lend.
struct upstream_slots {
    std::uint32_t upstream = 0; // name_number() of the upstream
    std::uint32_t slots = 0;

    bool operator==(const upstream_slots&) const = default;
};

struct team_demand {
    std::uint32_t team = 0; // name_number() of the team
    std::uint32_t tasks_per_second = 0;
    std::uint32_t share = 0; // the sender's own limit, in tasks per second

    bool operator==(const team_demand&) const = default;
};

struct heartbeat {
    std::uint32_t vm = 0; // submission::vm_number() of the sender
    submission::incarnation incarnation;
    std::uint64_t sequence = 0; // increases within the incarnation
    entry_state state = entry_state::serving;
    std::uint64_t configuration_version = 0;
    std::uint64_t list_revision = 0;
    bool platform_reachable = true; // whether the sender's last read of the platform succeeded
    std::vector<upstream_slots> idle;
    std::vector<team_demand> demand;

    bool operator==(const heartbeat&) const = default;
};

// The number that represents the name of an upstream or a team in datagrams.
std::uint32_t name_number(std::string_view name);

std::string encode(const heartbeat& value);

// nullopt for a datagram that encode() cannot have produced.
std::optional<heartbeat> decode(std::string_view datagram);

// Selects the list elements of each datagram in round-robin order, so that it stays within
// max_heartbeat_bytes and every element is sent eventually.
class heartbeat_composer {
public:
    heartbeat next(const heartbeat& full);

private:
    std::size_t m_next_idle = 0;
    std::size_t m_next_demand = 0;
};

} // namespace savorytrail::membership
