// The platform's list of VMs. Each change becomes visible after a lag and gets its own revision.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/common/clock.h"

namespace savorytrail::stand_ins {

struct vm {
    std::string name;
    std::string role; // entry or upstream
    std::string failure_domain;
    std::string region;
    std::string address;
    std::string state; // live, leaving or gone

    bool operator==(const vm&) const = default;
};

struct list_response {
    std::uint64_t revision = 0;
    bool complete = false; // all VMs rather than only the changed ones
    std::vector<vm> vms;

    bool operator==(const list_response&) const = default;
};

class live_list {
public:
    live_list(const common::clock& clock, common::milliseconds lag) : m_clock(clock), m_lag(lag) {}

    void put(vm change);
    // Replaces a VM's address for one reader, without the lag.
    void override_address(const std::string& reader, const std::string& vm_name,
                          std::string address);
    // Returns the VMs that changed after revision `newer_than`, with the addresses for `reader`, or
    // nullopt when none did. Returns all VMs for revision 0 and for a revision that this list has
    // not reached, which must come from another list.
    std::optional<list_response> read(std::uint64_t newer_than, const std::string& reader);

private:
    struct visible_vm {
        std::uint64_t revision = 0; // of the last change to this VM
        vm value;
    };
    struct pending_vm {
        common::time_point visible_at;
        vm value;
    };
    void publish_due();

    const common::clock& m_clock;
    const common::milliseconds m_lag;
    std::mutex m_mutex;
    std::uint64_t m_revision = 0;     // guarded by m_mutex, as all below
    std::deque<pending_vm> m_pending; // ordered by visible_at
    std::map<std::string, visible_vm> m_vms;
    // (reader, VM) to address
    std::map<std::pair<std::string, std::string>, std::string> m_address_overrides;
};

} // namespace savorytrail::stand_ins
