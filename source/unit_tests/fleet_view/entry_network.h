// A fleet of views that exchange their heartbeats over a simulated network, in simulated time: with
// loss, one-way cuts, freezes, restarts and partitions. Counts what is sent.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <set>

#include "core/fleet/heartbeat_sender.h"

namespace savorytrail::fleet {

struct network_plan {
    int domains = 3;
    int entries_per_domain = 6;
    int executors_per_domain = 48;
    double loss = 0; // share of the datagrams
    std::uint64_t seed = 1;
};

class entry_network {
public:
    static constexpr common::milliseconds step{50};

    explicit entry_network(network_plan plan);

    int size() const { return static_cast<int>(m_nodes.size()); }
    int domain_of(int entry) const { return entry / m_plan.entries_per_domain; }
    static std::string name_of(int entry) { return "entry-" + std::to_string(entry); }
    std::string domain_name(int entry) const {
        return "domain-" + std::to_string(domain_of(entry));
    }

    void run(common::milliseconds duration);
    // Runs until the condition holds; returns how long that took, or `limit` if it did not.
    common::milliseconds run_until(const std::function<bool()>& condition,
                                   common::milliseconds limit,
                                   common::milliseconds check_interval = step);

    // The entry's process ends, starts anew, or stands still for a while.
    void kill(int entry);
    void start(int entry);
    void freeze(int entry, common::milliseconds duration);
    // Datagrams for which this returns true are lost.
    void cut(std::function<bool(int from, int to)> is_cut) { m_is_cut = std::move(is_cut); }
    void heal() {
        m_is_cut = [](int, int) { return false; };
    }
    // Jobs of one entry are at the other from now on.
    void use(int from, int at) { m_uses.insert({from, at}); }
    void set_loss(double loss) { m_plan.loss = loss; }
    // Called with what an entry is about to tell of itself, and with each heartbeat it receives.
    using status_hook = std::function<void(int entry, entry_status& status)>;
    using heartbeat_hook = std::function<void(int entry, const heartbeat& it)>;
    void set_hooks(status_hook on_status, heartbeat_hook on_heartbeat) {
        m_on_status = std::move(on_status);
        m_on_heartbeat = std::move(on_heartbeat);
    }

    bool is_running(int entry) const { return m_nodes[entry].fleet != nullptr; }
    bool sees(int entry, int other) const;
    // Whether the entry counts itself among its domain's dispatchers.
    bool dispatches(int entry) const;
    // Dispatchers of the domain as the entry sees them.
    std::vector<std::string> dispatchers_of(int entry, int domain) const;
    const view& view_of(int entry) const { return *m_nodes[entry].fleet; }
    // Entries that this one lost although they were running and could reach it.
    int false_alarms() const { return m_false_alarms; }

    struct traffic {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
        std::size_t largest = 0; // bytes
    };
    const traffic& sent_by(int entry) const { return m_nodes[entry].sent; }
    traffic total() const;
    void reset_traffic();
    common::time_point now() const { return m_now; }

private:
    struct node {
        std::unique_ptr<view> fleet; // null while the process is not running
        std::unique_ptr<heartbeat_sender> sender;
        common::time_point frozen_until;
        std::uint64_t incarnation = 0;
        std::optional<common::time_point> last_step; // at which it was running
        traffic sent;
    };
    struct datagram {
        int from = 0;
        int to = 0;
        std::string bytes;
    };

    void step_once();
    void send_due(int entry);
    void deliver(const datagram& it);
    void notice_stall(int entry);
    void refresh(int entry);
    std::string host_of(int entry) const { return "10.0.0." + std::to_string(entry); }
    bool is_frozen(int entry) const { return m_now < m_nodes[entry].frozen_until; }

    network_plan m_plan;
    std::mt19937_64 m_random;
    common::time_point m_now = common::time_point(std::chrono::hours(1));
    std::vector<node> m_nodes;
    std::vector<datagram> m_in_flight;
    std::function<bool(int, int)> m_is_cut = [](int, int) { return false; };
    status_hook m_on_status = [](int, entry_status&) {};
    heartbeat_hook m_on_heartbeat = [](int, const heartbeat&) {};
    std::set<std::pair<int, int>> m_uses;
    std::uint64_t m_next_incarnation = 1;
    int m_false_alarms = 0;
};

} // namespace savorytrail::fleet
