// Simulates several entries in one process with a fake network, table and executors. Commands are
// executed one at a time; every task start and every answer is reported to the oracle.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "unit_tests/fleet/command.h"
#include "unit_tests/fleet/entry_instance.h"
#include "unit_tests/fleet/oracle.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::fleet {

class fleet_simulation {
public:
    fleet_simulation();
    ~fleet_simulation();
    fleet_simulation(const fleet_simulation&) = delete;
    fleet_simulation& operator=(const fleet_simulation&) = delete;

    void execute(const command& it);
    const oracle& model() const { return m_oracle; }

private:
    static constexpr int vm_count = 3;

    enum class network_fault { none, drop, delay, duplicate, lose_reply };

    // A request to an executor, recorded when the home sends it.
    struct sent_task {
        int serial = 0; // of the instance that sent it
        home::outgoing_task task;
        bool is_unexpected = false;
    };

    struct delayed_message {
        int to = 0;
        peer::forward_request request;
    };

    // The network as one VM sees it.
    class simulated_network final : public peer::forwarder, public handover::transport {
    public:
        simulated_network(fleet_simulation& owner, int vm) : m_simulation(owner), m_vm(vm) {}
        common::result<peer::forward_result> forward(const common::endpoint& to,
                                                     const peer::forward_request& request) override;
        common::result<submission::incarnation>
        hand_over(const common::endpoint& to,
                  const std::vector<handover::home_snapshot>& snapshots) override;
        common::result<void>
        announce(const common::endpoint& to,
                 const std::vector<handover::successor_notice>& notices) override;

    private:
        // The instance that receives the message; null if it is lost. Sets `fault` to the fault
        // that applies to this message.
        entry_instance* find_target(const common::endpoint& to, network_fault& fault);

        fleet_simulation& m_simulation;
        const int m_vm;
    };

    void start(int vm);
    entry_instance* responsive_entry(int n);
    entry_instance* find_by_serial(int serial);
    void submit(entry_instance& at, const submission::submission_id& id, const job::job& job);
    void submit_new(const command& it);
    void resubmit(const command& it);
    void submit_key(const command& it);
    void issue(const command& it);
    void ask(const command& it, peer::request_kind kind);
    void run_task(const command& it);
    void finish_task(const command& it);
    void refuse_task(const command& it);
    void report(entry_instance& to, const sent_task& ended, const home::task_outcome& outcome);
    void unexpected_start(const command& it);
    void deliver(const command& it);
    void hand_over(entry_instance& from);
    void table_fault(const command& it);
    void refresh_list(const command& it);
    void advance(const command& it);
    void deliver_to(entry_instance& to, const peer::forward_request& request);
    job::job make_job(int n);
    platform::vm vm_at(int n) const;
    static common::endpoint address_of(int vm);
    int vm_of(const common::endpoint& address) const;

    common::manual_clock m_clock;
    oracle m_oracle;
    platform::fake_table m_table;
    std::array<std::unique_ptr<simulated_network>, vm_count> m_networks;
    std::array<std::unique_ptr<entry_instance>, vm_count> m_entries; // null while the VM is down
    std::set<std::pair<int, int>> m_partitions;
    network_fault m_next_fault = network_fault::none;
    std::vector<submission::submission_id> m_ids;
    std::vector<job::job> m_jobs;     // of the id at the same index
    std::vector<sent_task> m_sent;    // not yet received by the executor
    std::vector<sent_task> m_running; // running at the executor
    std::deque<delayed_message> m_delayed;
    int m_next_serial = 1;
    int m_next_job = 1;
};

} // namespace savorytrail::fleet
