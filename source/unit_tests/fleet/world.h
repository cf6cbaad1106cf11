// Several entries in one process with a fake network, store and executors. Commands are carried out
// one at a time; the oracle hears of everything that is started and said.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "unit_tests/fleet/command.h"
#include "unit_tests/fleet/machine.h"
#include "unit_tests/fleet/oracle.h"
#include "unit_tests/platform/fake_platform.h"

namespace savorytrail::fleet {

class world {
public:
    world();
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    void carry_out(const command& it);
    const oracle& model() const { return m_oracle; }

private:
    static constexpr int vm_count = 3;

    enum class net_fault { none, drop, delay, duplicate, lose_reply };

    // A request to an executor, from when the home hands it out.
    struct sent_task {
        int serial = 0; // of the machine that sent it
        home::outgoing_task task;
        bool is_stray = false;
    };

    struct held_message {
        int to = 0;
        peer::forward_request request;
    };

    // The network as one VM sees it.
    class wire final : public peer::forwarder, public handover::transport {
    public:
        wire(world& owner, int vm) : m_world(owner), m_vm(vm) {}
        common::result<peer::forward_result> forward(const common::endpoint& to,
                                                     const peer::forward_request& request) override;
        common::result<submission::incarnation>
        hand_over(const common::endpoint& to,
                  const std::vector<handover::home_snapshot>& snapshots) override;
        common::result<void>
        announce(const common::endpoint& to,
                 const std::vector<handover::successor_notice>& notices) override;

    private:
        // The live machine that a message reaches, or null. `fault` is then what befalls it.
        machine* reach(const common::endpoint& to, net_fault& fault);

        world& m_world;
        const int m_vm;
    };

    void start(int vm);
    machine* awake(int n);
    machine* by_serial(int serial);
    void submit(machine& at, const submission::submission_id& id, const job::job& job);
    void submit_new(const command& it);
    void resubmit(const command& it);
    void submit_key(const command& it);
    void issue(const command& it);
    void ask(const command& it, peer::request_kind kind);
    void run_task(const command& it);
    void finish_task(const command& it);
    void refuse_task(const command& it);
    void report(machine& to, const sent_task& ended, const home::task_outcome& outcome);
    void stray_start(const command& it);
    void deliver(const command& it);
    void hand_over(machine& from);
    void store_fault(const command& it);
    void refresh_list(const command& it);
    void advance(const command& it);
    void deliver_to(machine& to, const peer::forward_request& request);
    job::job make_job(int n);
    platform::vm vm_at(int n) const;
    static common::endpoint address_of(int vm);
    int vm_of(const common::endpoint& address) const;

    common::manual_clock m_clock;
    oracle m_oracle;
    platform::fake_table m_table;
    std::array<std::unique_ptr<wire>, vm_count> m_wires;
    std::array<std::unique_ptr<machine>, vm_count> m_machines; // null while the VM is down
    std::set<std::pair<int, int>> m_cuts;
    net_fault m_next_fault = net_fault::none;
    std::vector<submission::submission_id> m_ids;
    std::vector<job::job> m_jobs;     // of the id at the same place
    std::vector<sent_task> m_sent;    // not yet at the executor
    std::vector<sent_task> m_running; // at the executor
    std::deque<held_message> m_held;
    int m_next_serial = 1;
    int m_next_job = 1;
};

} // namespace savorytrail::fleet
