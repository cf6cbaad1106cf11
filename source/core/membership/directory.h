// This entry's directory of VMs: the entries with their addresses, and the upstream VMs that are
// leaving. It is filled from the platform's live list, which lags and may be unreachable, and from
// peers that have read it. Revisions are the platform's, so entries can forward changes to others.
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
    // Applies changes that this entry read from the platform. A VM that is missing from a complete
    // list is gone. Changes of a lower revision than the current one are outdated and ignored.
    void update(const platform::vm_changes& changes);
    // Applies changes that a peer forwarded. Addresses are those by which the peer reaches the
    // VMs, so they are used only for VMs whose address this entry has not read itself.
    void update_from_peer(const platform::vm_changes& changes);

    // 0 before the first list.
    std::uint64_t revision() const;
    // The revision that this entry last read from the platform; 0 before the first read.
    std::uint64_t own_revision() const;
    // Whether the address of some entry is known only from a peer.
    bool needs_own_read() const;
    // The changes after `revision`; the complete list if `revision` is too old.
    platform::vm_changes changes_since(std::uint64_t revision) const;

    std::optional<platform::vm> find(const std::string& name) const;
    // Finds a VM by the number that submission ids contain.
    std::optional<platform::vm> find_number(std::uint32_t number) const;
    // All entries, including those that are leaving or gone, ordered by name.
    std::vector<platform::vm> entries() const;
    // Names of the live entries of a failure domain, ordered.
    std::vector<std::string> live_entries(const std::string& failure_domain) const;
    std::vector<platform::vm> live_entries() const;
    // Whether the VM may receive new work; true for a VM that was never listed.
    bool takes_new_work(const std::string& name) const;

private:
    struct record {
        platform::vm vm;
        std::uint64_t revision = 0;     // of the last change, or a later one
        bool has_own_address = false;   // the address was read by this entry itself
        bool needs_own_address = false; // an entry whose address is known only from a peer
    };

    void merge(const platform::vm_changes& changes, bool is_own);
    void mark_unlisted_gone(const platform::vm_changes& changes);
    void update_vm(const platform::vm& changed, std::uint64_t revision, bool is_own);

    mutable std::mutex m_mutex; // guards all below
    absl::flat_hash_map<std::string, record> m_vms;
    absl::flat_hash_map<std::uint32_t, std::string> m_names;
    std::uint64_t m_revision = 0;      // never decreases
    std::uint64_t m_own_revision = 0;  // never above m_revision
    std::uint64_t m_base_revision = 0; // of the last complete list; later changes are known
};

} // namespace savorytrail::membership
