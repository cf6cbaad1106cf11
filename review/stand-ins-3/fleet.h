// A small deployment for the third review: the project's entries as real processes, started with the program of the
// deploy file and settings as DEPLOY.md gives them, against the project's emulator of the users' platform. All on loopback.
#pragma once

#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/cluster/addresses.h"
#include "stand_ins/cluster/process.h"
#include "stand_ins/users_platform/emulator.h"

namespace review {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Lines with the time since the start of the case, for record.txt.
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}
    void line(const std::string& text);
    milliseconds time() const {
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - m_start);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const steady_clock::time_point m_start = steady_clock::now();
};

struct answer {
    int status = 0; // 0: none arrived
    std::string body;
};

// When tasks of a job were seen to begin to run, or were seen running.
struct sighting {
    milliseconds at;
    std::string domain;
};

class fleet {
public:
    // `zones`: that of each entry.
    fleet(record& log, std::vector<std::string> zones, int executors);
    ~fleet();

    int size() const { return static_cast<int>(m_zones.size()); }
    const std::string& zone(int entry) const { return m_zones.at(entry); }
    std::string name(int entry) const { return "front-" + zone(entry) + "-" + std::to_string(entry); }
    savorytrail::stand_ins::emulator& platform() { return m_platform; }

    // A loopback address of this deployment that nothing else uses.
    std::string address(int subnet) const { return m_network + "." + std::to_string(subnet) + ".1"; }

    void start(int entry);
    savorytrail::stand_ins::process& process(int entry) { return *m_processes.at(entry); }
    // Until all are ready and have completed a job; false after 15 seconds.
    bool wait_until_serving();
    bool is_ready(int entry) const;

    // A job of `steps` tasks, one after the other, of `task_ms` each.
    answer post(int entry, const std::string& id, int steps, int task_ms, milliseconds deadline) const;
    answer cancel(int entry, const std::string& id) const;

    // From now on, notes when tasks of the job run.
    void watch(const std::string& id);
    std::vector<sighting> sightings(const std::string& id);

private:
    std::string host(int entry) const;
    void follow_runs();

    record& m_record;
    const savorytrail::stand_ins::address_range_lock m_range;
    const std::string m_network;
    const std::vector<std::string> m_zones;
    savorytrail::stand_ins::emulator m_platform;
    const std::filesystem::path m_folder;
    std::vector<std::unique_ptr<savorytrail::stand_ins::process>> m_processes;
    std::mutex m_mutex;
    std::map<std::string, std::vector<sighting>> m_sightings;
    std::atomic<bool> m_is_over = false;
    std::thread m_follower;
};

} // namespace review
