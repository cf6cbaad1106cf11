// Checks settings and manifests for values that conflict with each other.
#include <optional>
#include <set>

#include "absl/strings/str_cat.h"
#include "core/common/endpoint.h"
#include "core/settings/load.h"
#include "core/settings/text.h"
#include "manifest.pb.h"
#include "settings.pb.h"

namespace savorytrail::settings {
namespace {

constexpr std::uint32_t lowest_error_status = 400;

class conflict_list {
public:
    explicit conflict_list(const populate_result& from) : m_from(from) {
        for (const problem& it : from.problems)
            m_invalid.insert(it.key);
    }

    // Whether the key's value has no problem of its own; defaults have none.
    bool is_valid(const std::string& key) const { return m_invalid.count(key) == 0; }

    // Reports the problem at the first of `keys` that is set explicitly.
    void add(const std::vector<std::string>& keys, const std::string& message) {
        for (const std::string& key : keys) {
            const auto at = m_from.positions.find(key);
            if (at == m_from.positions.end())
                continue;
            m_problems.push_back(
                {at->second.file, at->second.line, at->second.column, key, message});
            return;
        }
    }

    // Reports a missing key at the start of the file, unless the file has other problems.
    void add_absent(const std::string& key, const std::string& message) {
        if (m_from.problems.empty())
            m_problems.push_back({m_from.file_name, 1, 1, key, message});
    }

    int line_of(const std::string& key) const {
        const auto at = m_from.positions.find(key);
        return at == m_from.positions.end() ? 0 : at->second.line;
    }

    std::vector<problem> take() { return std::move(m_problems); }

private:
    const populate_result& m_from;
    std::set<std::string> m_invalid; // keys with a problem of their own
    std::vector<problem> m_problems;
};

struct numeric_setting {
    std::string key;
    std::uint64_t value;
};

void require_greater(conflict_list& conflicts, const numeric_setting& high,
                     const numeric_setting& low) {
    if (high.value > low.value || !conflicts.is_valid(high.key) || !conflicts.is_valid(low.key))
        return;
    conflicts.add({high.key, low.key}, absl::StrCat(high.key, " (", high.value, ") must be above ",
                                                    low.key, " (", low.value, ")"));
}

void require_at_most(conflict_list& conflicts, const numeric_setting& low,
                     const numeric_setting& high) {
    if (low.value <= high.value || !conflicts.is_valid(high.key) || !conflicts.is_valid(low.key))
        return;
    conflicts.add({low.key, high.key}, absl::StrCat(low.key, " (", low.value, ") must not exceed ",
                                                    high.key, " (", high.value, ")"));
}

using address = std::optional<common::endpoint>;

void require_different(conflict_list& conflicts, const std::string& key, const address& a,
                       const std::string& other_key, const address& b) {
    if (!a || !b || a != b)
        return;
    conflicts.add({key}, absl::StrCat(a->to_string(), " is already the address of ", other_key));
}

// An executor that responds with success or a redirect may have run the task, so such a status must
// not allow the task to be started on another executor.
void check_not_accepted_status(conflict_list& conflicts, const std::string& key,
                               std::uint32_t status) {
    if (status != 0 && status < lowest_error_status && conflicts.is_valid(key))
        conflicts.add({key},
                      absl::StrCat("expected 0 or a status from 400 to 599, found ", status));
}

std::string executor_key(int upstream, int executor, const std::string& name) {
    return absl::StrCat("upstreams[", upstream, "].executors[", executor, "].", name);
}

// Finds names and addresses shared by executors of different upstreams, and VMs listed in more than
// one failure domain. The schema's `unique` option finds duplicates within one upstream.
class executor_registry {
public:
    explicit executor_registry(conflict_list& conflicts) : m_conflicts(conflicts) {}

    void add(const schema::executor& executor, int upstream, int index) {
        check_unique(m_names, executor.name(), upstream, executor_key(upstream, index, "name"));
        check_unique(m_addresses, executor.address(), upstream,
                     executor_key(upstream, index, "address"));
        check_domain(executor, executor_key(upstream, index, "failure_domain"));
    }

private:
    struct first_use {
        int upstream;
        std::string key;
    };

    void check_unique(std::map<std::string, first_use>& seen, const std::string& value,
                      int upstream, const std::string& key) {
        if (!m_conflicts.is_valid(key))
            return;
        const auto [first, is_new] = seen.emplace(value, first_use{upstream, key});
        if (!is_new && first->second.upstream != upstream)
            m_conflicts.add({key}, absl::StrCat(quoted(value), " is already used on line ",
                                                m_conflicts.line_of(first->second.key)));
    }

    void check_domain(const schema::executor& executor, const std::string& key) {
        const std::string& vm = executor.vm().empty() ? executor.name() : executor.vm();
        if (vm.empty() || !m_conflicts.is_valid(key))
            return;
        const auto [first, is_new] = m_vm_domains.emplace(vm, executor.failure_domain());
        if (!is_new && first->second != executor.failure_domain())
            m_conflicts.add({key}, absl::StrCat("VM ", quoted(vm), " is in failure domain ",
                                                quoted(first->second), " above"));
    }

    conflict_list& m_conflicts;
    std::map<std::string, first_use> m_names;
    std::map<std::string, first_use> m_addresses;
    std::map<std::string, std::string> m_vm_domains; // VM to failure domain
};

void check_peers(conflict_list& conflicts, const schema::peer_settings& peers) {
    require_greater(conflicts, {"peers.suspect_after_ms", peers.suspect_after_ms()},
                    {"peers.heartbeat_ms", peers.heartbeat_ms()});
}

} // namespace

std::vector<problem> find_conflicts(const schema::entry_settings& value,
                                    const populate_result& from) {
    conflict_list conflicts(from);
    const address callers = common::parse_endpoint(value.callers().listen());
    const address peers = common::parse_endpoint(value.peers().listen());
    const address platform = common::parse_http_url(value.platform().url());
    require_different(conflicts, "peers.listen", peers, "callers.listen", callers);
    require_different(conflicts, "platform.url", platform, "callers.listen", callers);
    require_different(conflicts, "platform.url", platform, "peers.listen", peers);
    require_at_most(conflicts,
                    {"callers.max_task_body_bytes", value.callers().max_task_body_bytes()},
                    {"callers.max_body_bytes", value.callers().max_body_bytes()});
    check_peers(conflicts, value.peers());
    require_at_most(conflicts,
                    {"submissions.max_ids_per_call", value.submissions().max_ids_per_call()},
                    {"submissions.max_remembered", value.submissions().max_remembered()});
    return conflicts.take();
}

std::vector<problem> find_conflicts(const schema::manifest& value, const populate_result& from) {
    conflict_list conflicts(from);
    if (value.teams().empty())
        conflicts.add_absent("teams", "expected at least one team");
    if (value.upstreams().empty())
        conflicts.add_absent("upstreams", "expected at least one upstream");
    executor_registry registry(conflicts);
    for (int i = 0; i < value.upstreams_size(); i++) {
        const schema::upstream& upstream = value.upstreams(i);
        const std::string key = absl::StrCat("upstreams[", i, "]");
        if (upstream.executors().empty())
            conflicts.add({key + ".name"}, "this upstream has no executors; expected at least one");
        check_not_accepted_status(conflicts, key + ".not_accepted_status",
                                  upstream.not_accepted_status());
        for (int k = 0; k < upstream.executors_size(); k++)
            registry.add(upstream.executors(k), i, k);
    }
    return conflicts.take();
}

} // namespace savorytrail::settings
