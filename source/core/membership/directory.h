// What this entry knows of the VMs: entries to talk to, and upstream VMs that are leaving. Filled
// from the platform's live list, which lags and may be out of reach, and from peers that read it.
// Revisions are the platform's, so that any entry can pass changes on to any other.
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
    // Takes in changes that this entry read from the platform. A VM that a complete list no longer
    // names is gone. Changes of a revision below the one known are older and are ignored.
    void update(const platform::vm_changes& changes);
    // Takes in changes that a peer passed on. Its addresses are as the peer reaches them, so they
    // are used only for VMs that this entry has not read of itself.
    void update_from_peer(const platform::vm_changes& changes);

    // 0 until the first list.
    std::uint64_t revision() const;
    // The revision of the last read of the platform by this entry; 0 before the first.
    std::uint64_t own_revision() const;
    // Whether a peer passed on an entry's address that this entry has not read itself.
    bool needs_own_read() const;
    // What a reader at `revision` lacks; the whole list if its revision is too old.
    platform::vm_changes changes_since(std::uint64_t revision) const;

    std::optional<platform::vm> find(const std::string& name) const;
    // By the number that submission ids carry.
    std::optional<platform::vm> find_number(std::uint32_t number) const;
    // All entries, in the order of their names, also those that are leaving or gone.
    std::vector<platform::vm> entries() const;
    // Names of the live entries of a failure domain, in order.
    std::vector<std::string> live_entries(const std::string& failure_domain) const;
    std::vector<platform::vm> live_entries() const;
    // Whether new work may go to the VM: one that was never listed may have it.
    bool takes_new_work(const std::string& name) const;

private:
    struct record {
        platform::vm vm;
        std::uint64_t revision = 0;     // in which it last changed, or a later one
        bool has_own_address = false;   // read by this entry itself
        bool needs_own_address = false; // an entry that a peer told of
    };

    void merge(const platform::vm_changes& changes, bool is_own);
    void mark_unlisted_gone(const platform::vm_changes& changes);
    void update_vm(const platform::vm& changed, std::uint64_t revision, bool is_own);

    mutable std::mutex m_mutex; // guards all below
    absl::flat_hash_map<std::string, record> m_vms;
    absl::flat_hash_map<std::uint32_t, std::string> m_names;
    std::uint64_t m_revision = 0;      // never goes down
    std::uint64_t m_own_revision = 0;  // never above m_revision
    std::uint64_t m_base_revision = 0; // of the last complete list; changes are known since then
};

} // namespace savorytrail::membership
