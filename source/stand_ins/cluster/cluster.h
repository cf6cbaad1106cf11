// A cluster on loopback addresses for integration tests: platform, executors, entries, and a proxy
// between them that can inject network faults. Errors are logged with the standard error output of
// the process concerned.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <system_error>
#include <vector>

#include "core/common/error.h"
#include "stand_ins/cluster/addresses.h"
#include "stand_ins/cluster/plan.h"
#include "stand_ins/cluster/process.h"
#include "stand_ins/executor/executor.h"
#include "stand_ins/platform/fault_switch.h"
#include "stand_ins/proxy/proxy_fault.h"

namespace savorytrail::stand_ins {

// Polls until the condition holds. Returns false on a timeout.
bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout);

class cluster {
public:
    explicit cluster(cluster_plan plan);
    ~cluster();
    cluster(const cluster&) = delete;
    cluster& operator=(const cluster&) = delete;

    // Starts all processes, applies the manifest and waits until every entry is ready.
    std::error_code start(const std::string& manifest);
    // As above, with manifest() of the plan.
    std::error_code start();
    // Starts the platform, the proxy and the executors, and adds all VMs to the live list. Starts
    // no entry.
    std::error_code start_without_entries();

    // A manifest with one team (brana) and one upstream (booking) with all executors of the plan.
    std::string manifest(manifest_options options = {}) const;
    // Runs `savoryctl apply`. Returns its exit code, or nullopt on a timeout.
    std::optional<int> apply(const std::string& manifest);

    // Entries and executors are numbered across all failure domains, in the order of the plan.
    const std::vector<entry_identity>& entries() const { return m_entries; }
    const std::vector<executor_identity>& executors() const { return m_executors; }
    common::endpoint platform() const { return m_addresses.platform(); }
    process& entry_process(std::size_t entry) { return *m_entry_processes.at(entry); }
    process& executor_process(std::size_t index) { return *m_executor_processes.at(index); }
    process& platform_process() { return *m_platform; }

    // Starts or restarts an entry's process.
    std::error_code start_entry(std::size_t entry);
    // As above, with additional settings, which take precedence over those of the plan.
    std::error_code start_entry(std::size_t entry,
                                const std::map<std::string, std::string>& settings);
    std::error_code start_executor(std::size_t index);
    bool wait_until_ready(std::size_t entry, std::chrono::milliseconds timeout);

    // Network faults. set_peer_fault() affects the calls and datagrams that `from` sends to `to`;
    // set_fault_between() affects both directions.
    std::error_code set_peer_fault(std::size_t from, std::size_t to, const proxy_fault& fault);
    std::error_code set_fault_between(std::size_t first, std::size_t second,
                                      const proxy_fault& fault);
    std::error_code set_fault_between(const std::string& domain, const std::string& other_domain,
                                      const proxy_fault& fault);
    std::error_code set_fault_to_platform(std::size_t entry, const proxy_fault& fault);
    std::error_code set_fault_to_platform(const std::string& domain, const proxy_fault& fault);
    // Only with executors_behind_proxy.
    std::error_code set_fault_to_executor(std::size_t index, const proxy_fault& fault);
    // Clears all network faults.
    std::error_code clear_route_faults();

    // Faults of the stand-ins.
    std::error_code set_platform_fault(const platform_fault& fault);
    std::error_code set_executor_behaviour(std::size_t index, const executor_behaviour& behaviour);
    // Set the state of a VM in the live list: live, leaving or gone.
    std::error_code set_entry_state(std::size_t entry, const std::string& state);
    std::error_code set_executor_state(std::size_t index, const std::string& state);

    // Task starts of one executor, and the sums over all executors.
    common::result<start_counts> read_starts(std::size_t index) const;
    common::result<start_counts> read_starts() const;

    const std::filesystem::path& folder() const { return m_folder; }

private:
    struct route_pair {
        std::string tcp;
        std::string udp;
    };
    using entry_test = std::function<bool(const entry_identity&)>;

    void assign_addresses();
    std::error_code spawn(std::unique_ptr<process>& child, const std::string& name,
                          const std::string& program, std::vector<std::string> arguments);
    std::error_code await_ready(process& child, const std::string& name) const;
    std::error_code start_stand_ins();
    std::error_code announce_vms();
    std::error_code add_peer_routes();
    std::error_code add_platform_and_executor_routes();
    std::error_code add_route(const std::string& name, const common::endpoint& listen,
                              const common::endpoint& target, const std::string& protocol);
    std::error_code set_route_fault(const std::string& name, const proxy_fault& fault);
    std::error_code put_vm(const std::string& name, const std::string& role,
                           const std::string& domain, const common::endpoint& address,
                           const std::string& state);
    std::string write_file(const std::string& name, const std::string& text) const;

    const cluster_plan m_plan;
    const address_range_lock m_lock;
    const addresses m_addresses;
    std::filesystem::path m_folder; // settings, manifest and standard error files
    std::vector<entry_identity> m_entries;
    std::vector<executor_identity> m_executors;
    std::set<std::string> m_faulty_routes;
    std::unique_ptr<process> m_platform;
    std::unique_ptr<process> m_proxy;
    std::vector<std::unique_ptr<process>> m_executor_processes; // parallel to m_executors
    std::vector<std::unique_ptr<process>> m_entry_processes;    // parallel to m_entries
};

} // namespace savorytrail::stand_ins
