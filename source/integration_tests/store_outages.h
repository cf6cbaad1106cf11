// What may happen to the connections to the platform's store just before the store acknowledges a
// change, for tests of how soon all entries act by it.
#pragma once

#include <chrono>
#include <functional>
#include <gtest/gtest.h>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "integration_tests/platform_fleet.h"

namespace savorytrail {

struct store_outage {
    std::string name;
    std::vector<std::string> domains;
    int entries;
    std::function<void(platform_fleet&)> begin;
    // Entries that are to act by the change when the bound has passed.
    std::vector<int> bound_entries;
    // From the acknowledgement.
    std::chrono::milliseconds bound;
    std::chrono::milliseconds store_answer_time{0};
    std::chrono::milliseconds heartbeat{0}; // of executors

    platform_fleet::plan fleet(int executors) const {
        return {.entries = entries,
                .executors = executors,
                .domains = domains,
                .with_links = true,
                .store_answer_time = store_answer_time,
                .heartbeat = heartbeat};
    }

    friend std::ostream& operator<<(std::ostream& out, const store_outage& it) {
        return out << it.name;
    }
};

// A fleet whose entries have settled on who reads the store.
class fleet_before_outage : public testing::TestWithParam<store_outage> {
protected:
    explicit fleet_before_outage(int executors) : m_fleet(GetParam().fleet(executors)) {}

    void SetUp() override {
        for (int i = 0; i < m_fleet.size(); i++) {
            ASSERT_TRUE(m_fleet.wait_until_serving(i));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(4500));
    }

    platform_fleet m_fleet;
};

// The entries that read the store for the others of their domains, as their metrics tell.
inline std::vector<int> store_readers(const platform_fleet& fleet) {
    std::vector<int> readers;
    for (int i = 0; i < fleet.size(); i++) {
        if (fleet.metrics(i).find("\nsavory_store_followed 1\n") != std::string::npos) {
            readers.push_back(i);
        }
    }
    return readers;
}

// `bound` is that of the change, if nothing excuses the entries.
inline std::vector<store_outage> store_outages(std::chrono::milliseconds bound) {
    using stand_ins::proxy_mode;
    using std::chrono::milliseconds;
    // How long an entry may be affected by the reset of its connections.
    constexpr std::chrono::milliseconds contact_time{3000};
    const auto affect_readers = [](proxy_mode mode) {
        return [mode](platform_fleet& fleet) {
            for (const int i : store_readers(fleet)) {
                fleet.links().set_store_fault(i, {mode});
            }
        };
    };
    const auto cut_off = [](int entry) {
        return [entry](platform_fleet& fleet) {
            fleet.links().set_entry_fault(entry, {proxy_mode::drop});
            fleet.links().set_store_fault(entry, {proxy_mode::drop});
        };
    };
    const auto silence = [](platform_fleet& fleet) {
        for (int i = 0; i < fleet.size(); i++) {
            fleet.links().set_store_fault(i, {proxy_mode::drop_old});
        }
    };
    // The entries' calls to the store overlap the silence differently then.
    const auto silence_after_a_change = [silence](platform_fleet& fleet) {
        fleet.platform().configure(3, {"/before/"});
        std::this_thread::sleep_for(milliseconds(60));
        silence(fleet);
    };
    const std::vector<std::string> one{"a"};
    const std::vector<std::string> three{"a", "b", "c"};
    const std::vector<int> all{0, 1, 2, 3};
    const std::vector<int> first_three{0, 1, 2};
    return {{"readers_cut_from_the_store", one, 4, affect_readers(proxy_mode::drop), all, bound},
            {"readers_refused_by_the_store", one, 4, affect_readers(proxy_mode::cut), all, bound},
            {"answers_to_readers_lost", one, 4, affect_readers(proxy_mode::half_open), all, bound},
            {"open_connections_to_the_store_go_silent", one, 4, silence, all, contact_time},
            {"open_connections_of_lone_readers_go_silent", three, 3, silence_after_a_change,
             first_three, contact_time, milliseconds(4), milliseconds(12000)},
            {"an_entry_cut_from_all", one, 4, cut_off(3), first_three, contact_time}};
}

} // namespace savorytrail
