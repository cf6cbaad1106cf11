// Checks of settings against each other.
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

class clash_list {
public:
    explicit clash_list(const populate_result& from) : m_from(from) {
        for (const problem& it : from.problems)
            m_invalid.insert(it.key);
    }

    // Whether the key's value is valid by itself or is the default.
    bool valid(const std::string& key) const { return m_invalid.count(key) == 0; }

    // Reports at the first of `keys` that the operator wrote.
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

    // Reports at the start of the file, for what is absent from it.
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

// A number of the settings, with its key.
struct number {
    std::string key;
    std::uint64_t value;
};

void require_above(clash_list& clashes, const number& high, const number& low) {
    if (high.value > low.value || !clashes.valid(high.key) || !clashes.valid(low.key))
        return;
    clashes.add({high.key, low.key}, absl::StrCat(high.key, " (", high.value, ") must be above ",
                                                  low.key, " (", low.value, ")"));
}

void require_at_most(clash_list& clashes, const number& low, const number& high) {
    if (low.value <= high.value || !clashes.valid(high.key) || !clashes.valid(low.key))
        return;
    clashes.add({low.key, high.key}, absl::StrCat(low.key, " (", low.value, ") must not exceed ",
                                                  high.key, " (", high.value, ")"));
}

using address = std::optional<common::endpoint>;

void require_different(clash_list& clashes, const std::string& key, const address& a,
                       const std::string& other_key, const address& b) {
    if (!a || !b || a != b)
        return;
    clashes.add({key}, absl::StrCat(a->to_string(), " is already the address of ", other_key));
}

// An executor that answers with success or a redirection has done something, so such a status
// cannot mean that the task may be started elsewhere.
void check_not_accepted_status(clash_list& clashes, const std::string& key, std::uint32_t status) {
    if (status != 0 && status < lowest_error_status && clashes.valid(key))
        clashes.add({key}, absl::StrCat("expected 0 or a status from 400 to 599, found ", status));
}

std::string executor_key(int upstream, int executor, const std::string& name) {
    return absl::StrCat("upstreams[", upstream, "].executors[", executor, "].", name);
}

// Finds values that executors of different upstreams, or VMs of different failure domains, share.
// Repetition within one upstream is found by the schema's `unique`.
class executor_registry {
public:
    explicit executor_registry(clash_list& clashes) : m_clashes(clashes) {}

    void add(const schema::executor& executor, int upstream, int index) {
        check_unique(m_names, executor.name(), upstream, executor_key(upstream, index, "name"));
        check_unique(m_addresses, executor.address(), upstream,
                     executor_key(upstream, index, "address"));
        check_domain(executor, executor_key(upstream, index, "failure_domain"));
    }

private:
    struct place {
        int upstream;
        std::string key;
    };

    void check_unique(std::map<std::string, place>& seen, const std::string& value, int upstream,
                      const std::string& key) {
        if (!m_clashes.valid(key))
            return;
        const auto [first, is_new] = seen.emplace(value, place{upstream, key});
        if (!is_new && first->second.upstream != upstream)
            m_clashes.add({key}, absl::StrCat(quoted(value), " is already used in line ",
                                              m_clashes.line_of(first->second.key)));
    }

    void check_domain(const schema::executor& executor, const std::string& key) {
        const std::string& vm = executor.vm().empty() ? executor.name() : executor.vm();
        if (vm.empty() || !m_clashes.valid(key))
            return;
        const auto [first, is_new] = m_domains.emplace(vm, executor.failure_domain());
        if (!is_new && first->second != executor.failure_domain())
            m_clashes.add({key}, absl::StrCat("VM ", quoted(vm), " is in failure domain ",
                                              quoted(first->second), " above"));
    }

    clash_list& m_clashes;
    std::map<std::string, place> m_names;
    std::map<std::string, place> m_addresses;
    std::map<std::string, std::string> m_domains; // VM to failure domain
};

void check_peers(clash_list& clashes, const schema::peer_settings& peers) {
    require_above(clashes, {"peers.suspect_after_ms", peers.suspect_after_ms()},
                  {"peers.heartbeat_ms", peers.heartbeat_ms()});
}

} // namespace

std::vector<problem> find_clashes(const schema::entry_settings& value,
                                  const populate_result& from) {
    clash_list clashes(from);
    const address callers = common::parse_endpoint(value.callers().listen());
    const address peers = common::parse_endpoint(value.peers().listen());
    const address platform = common::parse_http_url(value.platform().url());
    require_different(clashes, "peers.listen", peers, "callers.listen", callers);
    require_different(clashes, "platform.url", platform, "callers.listen", callers);
    require_different(clashes, "platform.url", platform, "peers.listen", peers);
    require_at_most(clashes, {"callers.max_task_body_bytes", value.callers().max_task_body_bytes()},
                    {"callers.max_body_bytes", value.callers().max_body_bytes()});
    check_peers(clashes, value.peers());
    require_at_most(clashes,
                    {"submissions.max_ids_per_call", value.submissions().max_ids_per_call()},
                    {"submissions.max_remembered", value.submissions().max_remembered()});
    return clashes.take();
}

std::vector<problem> find_clashes(const schema::manifest& value, const populate_result& from) {
    clash_list clashes(from);
    if (value.teams().empty())
        clashes.add_absent("teams", "expected at least one team");
    if (value.upstreams().empty())
        clashes.add_absent("upstreams", "expected at least one upstream");
    executor_registry registry(clashes);
    for (int i = 0; i < value.upstreams_size(); i++) {
        const schema::upstream& upstream = value.upstreams(i);
        const std::string key = absl::StrCat("upstreams[", i, "]");
        if (upstream.executors().empty())
            clashes.add({key + ".name"}, "this upstream has no executors; expected at least one");
        check_not_accepted_status(clashes, key + ".not_accepted_status",
                                  upstream.not_accepted_status());
        for (int k = 0; k < upstream.executors_size(); k++)
            registry.add(upstream.executors(k), i, k);
    }
    return clashes.take();
}

} // namespace savorytrail::settings
