// Tests of heartbeat targets at the fleet sizes of the design: how soon a change reaches every
// failure domain, the longest interval between heartbeats of two entries, and bandwidth per entry.
#include "core/membership/targets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace savorytrail::membership {
namespace {

constexpr double control_bytes_per_second = 3000;

struct fleet_size {
    int domains;
    int entries; // in each domain
};

std::vector<node> make_fleet(const fleet_size& size) {
    std::vector<node> fleet;
    for (int d = 0; d < size.domains; d++) {
        for (int i = 0; i < size.entries; i++) {
            const auto domain = "domain-" + std::to_string(d);
            fleet.push_back({domain + "-entry-" + std::to_string(i), domain, "region"});
        }
    }
    return fleet;
}

std::vector<peer_status> peers_of(const node& self, const std::vector<node>& fleet) {
    std::vector<peer_status> peers;
    for (const auto& it : fleet) {
        peer_status value;
        value.name = it.name;
        value.failure_domain = it.failure_domain;
        if (it.name != self.name)
            peers.push_back(value);
    }
    return peers;
}

class fleet_of : public testing::TestWithParam<fleet_size> {
protected:
    const std::vector<node> m_fleet = make_fleet(GetParam());
};

TEST_P(fleet_of, every_entry_of_the_domain_is_a_target_in_each_round) {
    for (const auto& self : m_fleet) {
        std::size_t n = 0;
        for (const auto& it : heartbeat_targets(self, peers_of(self, m_fleet), 7))
            n += it.failure_domain == self.failure_domain ? 1 : 0;
        EXPECT_EQ(n, static_cast<std::size_t>(GetParam().entries - 1));
    }
}

// Together with the round trip to one peer, a new version reaches a domain that is partitioned from
// the platform within 6 s.
TEST_P(fleet_of, each_domain_receives_from_every_other_domain_within_three_rounds) {
    constexpr std::uint64_t rounds = 3;
    for (std::uint64_t first = 0; first < 40; first++) {
        std::map<std::string, std::set<std::string>> received;
        for (std::uint64_t round = first; round < first + rounds; round++) {
            for (const auto& self : m_fleet) {
                for (const auto& it : heartbeat_targets(self, peers_of(self, m_fleet), round)) {
                    if (it.failure_domain != self.failure_domain)
                        received[it.failure_domain].insert(self.failure_domain);
                }
            }
        }
        for (const auto& it : m_fleet)
            EXPECT_EQ(received[it.failure_domain].size(),
                      static_cast<std::size_t>(GetParam().domains - 1));
    }
}

TEST_P(fleet_of, silence_limits_exceed_the_longest_interval_between_heartbeats) {
    const view_limits limits;
    std::map<std::pair<std::string, std::string>, std::uint64_t> last_by_entry;
    std::map<std::pair<std::string, std::string>, std::uint64_t> last_by_domain;
    for (std::uint64_t round = 1; round <= 200; round++) {
        for (const auto& self : m_fleet) {
            for (const auto& it : heartbeat_targets(self, peers_of(self, m_fleet), round)) {
                auto& entry = last_by_entry[{self.name, it.name}];
                EXPECT_LT((round - entry) * limits.heartbeat, limits.suspect_other_after);
                entry = round;
                auto& domain = last_by_domain[{self.failure_domain, it.name}];
                EXPECT_LT((round - domain) * limits.heartbeat, limits.orphan_after);
                domain = round;
            }
        }
    }
    EXPECT_EQ(last_by_entry.size(), m_fleet.size() * (m_fleet.size() - 1));
}

// The rest of the 3 KB/s remains for reads of the platform and for fetching changes from peers.
TEST_P(fleet_of, heartbeats_use_at_most_two_thirds_of_the_control_bandwidth) {
    const double rounds_per_second = 1000.0 / double(view_limits().heartbeat.count());
    std::map<std::string, std::size_t> datagrams;
    constexpr std::uint64_t rounds = 120;
    for (std::uint64_t round = 0; round < rounds; round++) {
        for (const auto& self : m_fleet) {
            for (const auto& it : heartbeat_targets(self, peers_of(self, m_fleet), round)) {
                datagrams[self.name]++;
                datagrams[it.name]++;
            }
        }
    }
    for (const auto& [name, n] : datagrams) {
        const double bytes = double(n) * double(max_heartbeat_bytes + udp_header_bytes);
        EXPECT_LT(bytes / double(rounds) * rounds_per_second, control_bytes_per_second * 2 / 3);
    }
}

INSTANTIATE_TEST_SUITE_P(table, fleet_of,
                         testing::Values(fleet_size{7, 6}, fleet_size{7, 7}, fleet_size{4, 2},
                                         fleet_size{3, 2}, fleet_size{2, 1}),
                         [](const auto& param) {
                             return std::to_string(param.param.domains) + "_domains_of_" +
                                    std::to_string(param.param.entries);
                         });

} // namespace
} // namespace savorytrail::membership
