#include "fleet.h"

#include <cstdlib>
#include <httplib.h>
#include <iostream>
#include <set>

namespace review {

namespace stand_ins = savorytrail::stand_ins;

namespace {

constexpr int caller_port = 8161;
constexpr int control_port = 8166;
constexpr int ready_port = 8167;
constexpr int first_peer_port = 7720;
constexpr int last_peer_port = 7735;
constexpr const char* host_header = "h.example"; // of the emulator's queue, with the prefix /q/
constexpr milliseconds poll_interval{4};

std::vector<std::string> distinct(const std::vector<std::string>& zones) {
    const std::set<std::string> set(zones.begin(), zones.end());
    return {set.begin(), set.end()};
}

stand_ins::emulator::options platform_options(const std::string& network,
                                              const std::vector<std::string>& zones, int executors) {
    stand_ins::emulator::options it;
    it.network = network;
    it.failure_domains = distinct(zones);
    it.executors = executors;
    it.capacity = {64000, 131072, 0};
    it.longest_lease = milliseconds(1000);
    it.store_answer_time = milliseconds(4);
    it.heartbeat = milliseconds(1500);
    return it;
}

} // namespace

void record::line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    const auto at = std::to_string(time().count());
    const auto out = std::string(at.size() < 7 ? 7 - at.size() : 0, ' ') + at + " ms  " + text;
    m_file << out << std::endl;
    std::cout << out << std::endl;
}

fleet::fleet(record& log, std::vector<std::string> zones, int executors)
    : m_record(log), m_network("127." + std::to_string(m_range.octet())), m_zones(std::move(zones)),
      m_platform(platform_options(m_network, m_zones, executors)),
      m_folder(std::filesystem::temp_directory_path() / ("savory-review-" + std::to_string(getpid()))),
      m_processes(m_zones.size()) {
    std::filesystem::create_directories(m_folder);
    m_platform.start();
    m_platform.configure(2);
    for (int i = 0; i < size(); i++) {
        start(i);
        std::this_thread::sleep_for(milliseconds(25)); // all within 0.3 s of each other
    }
    m_follower = std::thread([this] { follow_runs(); });
}

fleet::~fleet() {
    m_is_over = true;
    m_follower.join();
    for (const auto& it : m_processes) {
        it->kill();
    }
    std::filesystem::remove_all(m_folder);
}

std::string fleet::host(int entry) const {
    return m_network + ".2." + std::to_string(entry + 1);
}

void fleet::start(int entry) {
    const auto path = m_folder / (std::to_string(entry) + ".toml");
    const auto own = host(entry);
    std::ofstream file(path);
    file << "node = \"" << name(entry) << "\"\nrole = \"entry\"\nclass = \"front\"\n"
         << "serves = [\"front\",\"control\"]\nip = \"" << own << "\"\nzone = \"" << zone(entry)
         << "\"\nregion = \"r\"\nportRange = [" << first_peer_port << "," << last_peer_port
         << "]\nseeds = [\"" << host(0) << ":" << control_port << "\",\"" << host(1) << ":"
         << control_port << "\",\"" << host(size() - 1) << ":" << control_port
         << "\"]\nbootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
         << "heartbeatMs = 1500\norders = \"call\"\n[zones]\n";
    for (const auto& it : distinct(m_zones)) {
        file << it << " = \"r\"\n";
    }
    file << "[listen]\nfront = \"" << own << ":" << caller_port << "\"\nready = \"" << own << ":"
         << ready_port << "\"\ncontrol = \"" << own << ":" << control_port
         << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
         << "[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ndrainMs = 2000\n"
         << "graceS = 6\nconfigMs = 2000\nholdMaxMs = 1000\nstopMs = 50\ncancel_ms = 3000\n"
         << "visible_ms = 3000\nresendMs = 1300\n[platform]\naddress = \""
         << m_platform.store().to_string()
         << "\"\nform = \"table\"\n";
    file.close();
    ::setenv("SAVORYTRAIL_BOOT", path.c_str(), 1);
    m_processes[entry] = std::make_unique<stand_ins::process>(stand_ins::process_options{
        "savory-platform-entry", {}, m_folder / "errors", m_folder / (std::to_string(entry) + ".log")});
    if (const auto ec = m_processes[entry]->spawn()) {
        throw std::system_error(ec);
    }
}

bool fleet::is_ready(int entry) const {
    httplib::Client client(host(entry), ready_port);
    client.set_connection_timeout(1, 0);
    const auto it = client.Get("/-/ready");
    return it && it->status == 200;
}

bool fleet::wait_until_serving() {
    const auto end = steady_clock::now() + std::chrono::seconds(15);
    int next = 1;
    for (int entry = 0; entry < size();) {
        if (steady_clock::now() > end) {
            return false;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0xabc00000 + next++);
        if (is_ready(entry) && post(entry, id, 1, 10, milliseconds(1500)).status == 200) {
            entry++;
            continue;
        }
        std::this_thread::sleep_for(milliseconds(100));
    }
    return true;
}

answer fleet::post(int entry, const std::string& id, int steps, int task_ms,
                   milliseconds deadline) const {
    std::string body = R"({"spec":"27000 )" + std::to_string(task_ms) + R"(","bestEffort":true,"steps":[)";
    for (int i = 0; i < steps; i++) {
        body += (i == 0 ? "" : ",") + std::string(R"({"count":1,"cpu":27000,"memMb":64,"estimateMs":)") +
                std::to_string(task_ms) +
                (i == 0 ? "}" : R"(,"after":[)" + std::to_string(i - 1) + "]}");
    }
    body += "]}";
    httplib::Client client(host(entry), caller_port);
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(deadline);
    client.set_tcp_nodelay(true);
    const auto it = client.Post("/q/" + id,
                                {{"Host", host_header},
                                 {"X-Savorytrail-Deadline-Ms", std::to_string(deadline.count())}},
                                body, "application/json");
    return it ? answer{it->status, it->body} : answer{};
}

answer fleet::cancel(int entry, const std::string& id) const {
    httplib::Client client(host(entry), caller_port);
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(4, 0);
    const auto it = client.Delete("/q/" + id, {{"Host", host_header}});
    return it ? answer{it->status, it->body} : answer{};
}

void fleet::watch(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    m_sightings[id];
}

std::vector<sighting> fleet::sightings(const std::string& id) {
    const std::lock_guard lock(m_mutex);
    return m_sightings[id];
}

void fleet::follow_runs() {
    std::map<std::string, std::set<std::string>> before;
    while (!m_is_over) {
        {
            const std::lock_guard lock(m_mutex);
            for (auto& [id, list] : m_sightings) {
                const auto domains = m_platform.domains_running(id);
                for (const auto& it : domains) {
                    list.push_back({m_record.time(), it});
                }
                if (domains != before[id]) {
                    std::string text;
                    for (const auto& it : domains) {
                        text += " " + it;
                    }
                    m_record.line("executors: job " + id +
                                  (domains.empty() ? " does not run" : " runs in zone" + text) + " (" +
                                  std::to_string(m_platform.starts()) + " starts of all jobs so far)");
                    before[id] = domains;
                }
            }
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace review
