// Runs entries of the users' platform as real processes against the platform emulator.
#pragma once

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "integration_tests/platform_links.h"
#include "stand_ins/cluster/addresses.h"
#include "stand_ins/cluster/process.h"
#include "stand_ins/users_platform/emulator.h"

namespace savorytrail {

class platform_fleet {
public:
    static constexpr int caller_port = 8161;
    static constexpr int ready_port = 8167;

    struct plan {
        int entries = 2;
        int executors = 4;
        // Failure domains, assigned to entries and to executors in round-robin order.
        std::vector<std::string> domains = {"a"};
        // Those of the executors, if they differ.
        std::vector<std::string> executor_domains = {};
        // Labels of the executors, in round-robin order.
        std::vector<std::string> executor_kinds = {};
        // Routes the entries' traffic to each other, to executors and to the store through proxies.
        bool with_links = false;
        common::milliseconds longest_lease{1000}; // the longest lease that executors grant
        common::milliseconds store_answer_time{0};
        common::milliseconds heartbeat{0}; // between writes of an executor's row; 0: written once
    };

    explicit platform_fleet(plan fleet_plan);
    ~platform_fleet();
    platform_fleet(const platform_fleet&) = delete;
    platform_fleet& operator=(const platform_fleet&) = delete;

    int size() const { return static_cast<int>(m_entries.size()); }
    std::string host(int entry) const;
    stand_ins::emulator& platform() { return m_platform; }
    // Requires plan::with_links.
    platform_links& links() { return *m_links; }
    // The entry's log over all its restarts; deleted by the destructor.
    std::filesystem::path log_file(int entry) const;
    // Keeps the entries' logs for `savoryctl explain`, and the overlaps seen, in the folder
    // savory-NAME for temporary files.
    void save_logs(const std::string& name);
    const std::string& domain(int entry) const {
        return m_plan.domains[entry % m_plan.domains.size()];
    }
    stand_ins::process& entry(int i) { return *m_entries.at(i); }

    // Starts or restarts the entry's process.
    void start(int entry);
    // Waits until the entry is ready and has completed a job; false after ten seconds.
    bool wait_until_serving(int entry) const;

    static std::string new_id();
    // Sends a job whose tasks need 27 cores each; `payload` is "CPU_MILLIS MILLISECONDS" of each
    // task. Returns the HTTP status; 0 if no response arrived.
    int submit(int entry, const std::string& payload, int tasks, int estimate_ms,
               const std::string& id = new_id()) const {
        return submit(entry, payload, tasks, estimate_ms, id, {});
    }
    struct caller_patience {
        common::milliseconds told{2000};   // to the entry
        common::milliseconds actual{4000}; // after which the caller closes its connection
    };
    // The same for a caller that waits that long. Returns as soon as the connection breaks.
    int submit(int entry, const std::string& payload, int tasks, int estimate_ms,
               const std::string& id, const caller_patience& patience) const;
    // The same for a job of one task of `ms` that requires an executor with the label, for a caller
    // that waits for less than two seconds.
    int submit_on(int entry, const std::string& label, int ms) const;
    // The same for a job whose tasks run an image.
    int submit_image(int entry, const std::string& image, const std::string& payload, int tasks,
                     int estimate_ms) const;
    // Asks whether there is a queue at the prefix. Returns the HTTP status; 0 if no response
    // arrived.
    int ask(int entry, const std::string& prefix, common::milliseconds timeout) const;
    // The entry's metrics, as text; empty if it does not answer.
    std::string metrics(int entry) const;
    // Sends a DELETE of the job. Returns the HTTP status; 0 if no response arrived.
    int cancel(int entry, const std::string& id) const;
    // Makes the entry lose power: its callers' connections break, while all that it sends to other
    // entries, the ends of its connections included, is lost, and their connections to it hang.
    // Requires plan::with_links.
    void cut_power(int entry);
    // Starts the entry anew, with its links working.
    void restore_power(int entry);

private:
    int post(int entry, const std::string& id, const caller_patience& patience,
             const std::string& payload, const std::string& step) const;
    void make_links();
    int peer_port(int entry) const;

    const stand_ins::address_range_lock m_address_range;
    const std::string m_network;
    const plan m_plan;
    stand_ins::emulator m_platform;
    std::unique_ptr<platform_links> m_links; // null unless plan::with_links
    const std::filesystem::path m_folder;
    std::vector<std::unique_ptr<stand_ins::process>> m_entries;
};

} // namespace savorytrail
