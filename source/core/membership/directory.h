// What this entry knows of the VMs: entries to talk to, and upstream VMs that are leaving. Filled
// from the platform's live list, which lags and may be out of reach.
#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "core/platform/platform.h"

namespace savorytrail::membership {

class directory {
public:
    // Takes in the changes of the live list. A VM that a complete list no longer names is gone.
    void update(const platform::vm_changes& changes);

    std::optional<platform::vm> find(const std::string& name) const;
    // By the number that submission ids carry.
    std::optional<platform::vm> find_number(std::uint32_t number) const;
    // Names of the live entries of a failure domain, in order.
    std::vector<std::string> live_entries(const std::string& failure_domain) const;
    std::vector<platform::vm> live_entries() const;
    // Whether new work may go to the VM: one that the list never named may have it.
    bool takes_new_work(const std::string& name) const;

private:
    mutable std::mutex m_mutex;
    absl::flat_hash_map<std::string, platform::vm> m_vms;    // guarded by m_mutex
    absl::flat_hash_map<std::uint32_t, std::string> m_names; // guarded by m_mutex
};

} // namespace savorytrail::membership
