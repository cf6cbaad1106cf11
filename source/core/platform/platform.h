// Interfaces of the platform's services: the transactional table, the list of live VMs and the
// object store. Errors are common::error values: unreachable means that nothing was sent; after
// timed_out, connection_lost and unavailable a write may or may not have taken effect.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/common/endpoint.h"
#include "core/common/error.h"

namespace savorytrail::platform {

struct row {
    std::string key;
    std::uint64_t version = 0; // starts at 1, incremented by each write; 0: the row does not exist
    std::string value;

    bool operator==(const row&) const = default;
};

constexpr std::int64_t absent_row = 0;   // expected version of a row that must not exist
constexpr std::int64_t any_version = -1; // matches any version, also of a missing row

struct operation {
    std::string key;
    std::int64_t expected_version = any_version;
    std::optional<std::string> value; // nullopt deletes the row

    bool operator==(const operation&) const = default;
};

struct committed {
    std::vector<std::uint64_t> versions; // new version of each operation's row, in order

    bool operator==(const committed&) const = default;
};

struct conflicts {
    std::vector<row> rows; // current contents; version 0 for rows that do not exist

    bool operator==(const conflicts&) const = default;
};

using commit_outcome = std::variant<committed, conflicts>;

class table {
public:
    virtual ~table() = default;

    // Returns the row if its version is above `version`, otherwise nullopt; error::not_found if the
    // row does not exist.
    virtual common::result<std::optional<row>> read_newer(const std::string& key,
                                                          std::uint64_t version) = 0;

    // Returns the rows whose keys start with `prefix`, ordered by key; at most 1,000.
    virtual common::result<std::vector<row>> list(const std::string& prefix) = 0;

    // Executes all operations atomically, or none if any expected version does not match.
    virtual common::result<commit_outcome> commit(const std::vector<operation>& operations) = 0;

protected:
    table() = default;
    table(const table&) = default;
    table& operator=(const table&) = default;
};

enum class vm_role { entry, upstream };

enum class vm_state { live, leaving, gone };

struct vm {
    std::string name;
    vm_role role = vm_role::entry;
    std::string failure_domain;
    std::string region;
    std::optional<common::endpoint> address; // the peer address of an entry
    vm_state state = vm_state::live;

    bool operator==(const vm&) const = default;
};

struct vm_changes {
    std::uint64_t revision = 0;
    bool complete = false; // `vms` is the whole list; VMs not in it are gone
    std::vector<vm> vms;   // otherwise only VMs changed since the requested revision

    bool operator==(const vm_changes&) const = default;
};

class live_list {
public:
    virtual ~live_list() = default;

    // Returns the changes since `revision`; none if it is still the current one. 0 requests the
    // whole list.
    virtual common::result<vm_changes> read_newer(std::uint64_t revision) = 0;

protected:
    live_list() = default;
    live_list(const live_list&) = default;
    live_list& operator=(const live_list&) = default;
};

class object_store {
public:
    virtual ~object_store() = default;
    virtual common::result<void> put(const std::string& name, const std::string& content) = 0;
    virtual common::result<std::string> get(const std::string& name) = 0;

protected:
    object_store() = default;
    object_store(const object_store&) = default;
    object_store& operator=(const object_store&) = default;
};

} // namespace savorytrail::platform
