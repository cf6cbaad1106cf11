#include "integration_tests/platform_fleet.h"

#include <atomic>
#include <fstream>
#include <httplib.h>
#include <iostream>
#include <thread>

namespace savorytrail {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int first_peer_port = 7720;
constexpr int ports_per_entry = 16;

} // namespace

platform_fleet::platform_fleet(plan fleet_plan)
    : m_network("127." + std::to_string(m_address_range.octet())), m_plan(std::move(fleet_plan)),
      m_platform({m_network,
                  m_plan.with_links ? platform_links::executor_proxy_octet : 1,
                  m_plan.executor_domains.empty() ? m_plan.domains : m_plan.executor_domains,
                  m_plan.executors,
                  m_plan.executor_kinds,
                  {64000, 131072, 0},
                  m_plan.longest_lease,
                  m_plan.store_answer_time,
                  m_plan.heartbeat}),
      m_folder(std::filesystem::temp_directory_path() / ("savory-" + m_network)),
      m_entries(m_plan.entries) {
    std::filesystem::create_directories(m_folder);
    m_platform.start();
    m_platform.configure(2);
    if (m_plan.with_links) {
        make_links();
    }
    for (int i = 0; i < size(); i++) {
        start(i);
    }
}

void platform_fleet::make_links() {
    platform_links::plan links;
    links.network = m_network;
    links.store = m_platform.store();
    for (int i = 0; i < size(); i++) {
        links.entries.push_back(
            {host(i), static_cast<std::uint16_t>(first_peer_port + i * ports_per_entry)});
    }
    for (int i = 0; i < m_plan.executors; i++) {
        links.executors.push_back({m_platform.listed_executor(i), m_platform.executor(i)});
    }
    m_links = std::make_unique<platform_links>(links);
}

platform_fleet::~platform_fleet() {
    for (const auto& it : m_entries) {
        it->kill();
    }
    std::filesystem::remove_all(m_folder);
}

std::string platform_fleet::host(int entry) const {
    return m_network + ".2." + std::to_string(entry + 1);
}

std::filesystem::path platform_fleet::log_file(int entry) const {
    return m_folder / (std::to_string(entry) + ".log");
}

void platform_fleet::save_logs(const std::string& name) {
    const auto folder = std::filesystem::temp_directory_path() / ("savory-" + name);
    std::filesystem::create_directories(folder);
    for (int i = 0; i < size(); i++) {
        std::filesystem::copy_file(log_file(i), folder / (std::to_string(i) + ".log"),
                                   std::filesystem::copy_options::overwrite_existing);
    }
    std::ofstream(folder / "overlaps.txt") << m_platform.overlaps_text();
    std::cerr << "logs are kept in " << folder << "\n";
}

int platform_fleet::peer_port(int entry) const {
    return first_peer_port + (m_links ? entry * ports_per_entry : 0);
}

void platform_fleet::start(int entry) {
    const auto store = m_links ? m_links->store_of(entry) : m_platform.store();
    const int port = peer_port(entry);
    const auto path = m_folder / (std::to_string(entry) + ".toml");
    std::ofstream(path) << "node = \"front-" << entry << "\"\nip = \"" << host(entry)
                        << "\"\nzone = \"" << domain(entry) << "\"\nportRange = [" << port << ", "
                        << port + ports_per_entry - 1 << "]\nseeds = [\"" << host(0)
                        << ":8166\"]\n[listen]\nfront = \"" << host(entry) << ":" << caller_port
                        << "\"\nready = \"" << host(entry) << ":" << ready_port
                        << "\"\n[limits]\ncpuShare = 0.25\n[bounds]\ngraceS = 6\nholdMaxMs = "
                        << m_plan.longest_lease.count() << "\n"
                        << "[platform]\naddress = \"" << store.to_string() << "\"\n";
    m_entries[entry] = std::make_unique<stand_ins::process>(
        stand_ins::process_options{"savory-platform-entry",
                                   {"--settings", path.string()},
                                   m_folder / "errors",
                                   log_file(entry)});
    if (const auto ec = m_entries[entry]->spawn()) {
        throw std::system_error(ec);
    }
}

bool platform_fleet::wait_until_serving(int entry) const {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    while (std::chrono::steady_clock::now() < end) {
        httplib::Client client(host(entry), ready_port);
        const auto answer = client.Get("/-/ready");
        if (answer && answer->status == 200 && submit(entry, "27000 1", 1, 1) == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

std::string platform_fleet::new_id() {
    static std::atomic<unsigned> s_next = 1;
    char text[17];
    std::snprintf(text, sizeof text, "%016x", s_next++);
    return text;
}

int platform_fleet::submit(int entry, const std::string& payload, int tasks, int estimate_ms,
                           const std::string& id, const caller_patience& patience) const {
    return post(entry, id, patience, payload,
                R"({"count":)" + std::to_string(tasks) +
                    R"(,"cpu":27000,"memMb":64,"estimateMs":)" + std::to_string(estimate_ms) + "}");
}

int platform_fleet::submit_on(int entry, const std::string& label, int ms) const {
    const auto text = std::to_string(ms);
    return post(entry, new_id(), {milliseconds(1500), milliseconds(1500)},
                "27000 " + text + " on " + label,
                R"({"count":1,"cpu":27000,"memMb":64,"estimateMs":)" + text +
                    R"(,"requiredLabel":")" + label + R"("})");
}

int platform_fleet::submit_image(int entry, const std::string& image, const std::string& payload,
                                 int tasks, int estimate_ms) const {
    return post(entry, new_id(), {}, payload,
                R"({"image":")" + image + R"(","count":)" + std::to_string(tasks) +
                    R"(,"cpu":27000,"memMb":64,"estimateMs":)" + std::to_string(estimate_ms) + "}");
}

int platform_fleet::post(int entry, const std::string& id, const caller_patience& patience,
                         const std::string& payload, const std::string& step) const {
    httplib::Client client(host(entry), caller_port);
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(patience.actual);
    client.set_tcp_nodelay(true);
    const auto body = R"({"spec":")" + payload + R"(","bestEffort":true,"steps":[)" + step + "]}";
    const auto answer =
        client.Post("/q/" + id,
                    {{"Host", "h.example"},
                     {"X-Savorytrail-Deadline-Ms", std::to_string(patience.told.count())}},
                    body, "application/json");
    return answer ? answer->status : 0;
}

int platform_fleet::ask(int entry, const std::string& prefix, common::milliseconds timeout) const {
    httplib::Client client(host(entry), caller_port);
    client.set_connection_timeout(1, 0);
    client.set_read_timeout(timeout);
    const auto answer = client.Get(prefix, {{"Host", "h.example"}});
    return answer ? answer->status : 0;
}

std::string platform_fleet::metrics(int entry) const {
    constexpr int metrics_port = 9464;
    const auto answer = httplib::Client(host(entry), metrics_port).Get("/metrics");
    return answer ? answer->body : "";
}

int platform_fleet::cancel(int entry, const std::string& id) const {
    httplib::Client client(host(entry), caller_port);
    client.set_connection_timeout(1, 0);
    const auto answer = client.Delete("/q/" + id, {{"Host", "h.example"}});
    return answer ? answer->status : 0;
}

void platform_fleet::cut_power(int entry) {
    m_links->set_entry_fault(entry, {stand_ins::proxy_mode::drop, {}, 0});
    m_entries.at(entry)->kill();
}

void platform_fleet::restore_power(int entry) {
    m_links->set_entry_fault(entry, {});
    start(entry);
}

} // namespace savorytrail
