// Start of a cluster's processes.
#include "stand_ins/cluster/cluster.h"

#include <glog/logging.h>

#include <cstdlib>
#include <fstream>
#include <thread>

#include "nlohmann/json.hpp"
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::stand_ins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds ready_timeout(30'000);
constexpr milliseconds apply_timeout(30'000);
constexpr milliseconds poll_interval(20);
constexpr milliseconds readyz_timeout(1'000);

std::filesystem::path make_folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "savory-cluster-XXXXXX").string();
    const char* path = mkdtemp(pattern.data());
    return path != nullptr ? path : "";
}

} // namespace

bool wait_until(const std::function<bool()>& condition, milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

cluster::cluster(cluster_plan plan)
    : m_plan(std::move(plan)), m_addresses(m_lock.octet()), m_folder(make_folder()) {
    assign_addresses();
    m_executor_processes.resize(m_executors.size());
    m_entry_processes.resize(m_entries.size());
}

cluster::~cluster() {
    m_entry_processes.clear();
    m_executor_processes.clear();
    m_proxy.reset();
    m_platform.reset();
    if (std::getenv("SAVORY_KEEP_FILES") == nullptr)
        std::filesystem::remove_all(m_folder);
}

void cluster::assign_addresses() {
    for (std::size_t domain = 0; domain < m_plan.domains.size(); domain++) {
        const auto& plan = m_plan.domains[domain];
        for (std::size_t i = 0; i < plan.entries; i++) {
            const auto name = plan.name + "-" + std::to_string(i + 1);
            m_entries.push_back({name, plan.name, m_plan.region, m_addresses.callers(domain, i),
                                 m_addresses.peers(domain, i),
                                 m_addresses.platform_route(m_entries.size())});
        }
        for (std::size_t i = 0; i < plan.executors; i++) {
            const auto name = plan.name + "-executor-" + std::to_string(i + 1);
            const auto address = m_addresses.executor(m_executors.size());
            const auto published = m_plan.executors_behind_proxy
                                       ? m_addresses.executor_route(m_executors.size())
                                       : address;
            m_executors.push_back({name, plan.name, address, published});
        }
    }
}

std::error_code cluster::start() {
    return start(manifest());
}

std::error_code cluster::start(const std::string& manifest) {
    if (const auto ec = start_without_entries())
        return ec;
    if (apply(manifest) != EXIT_SUCCESS)
        return make_error_code(common::error::malformed);
    for (std::size_t i = 0; i < m_entries.size(); i++) {
        if (const auto ec = start_entry(i))
            return ec;
    }
    for (std::size_t i = 0; i < m_entries.size(); i++) {
        if (!wait_until_ready(i, ready_timeout)) {
            LOG(ERROR) << m_entries[i].name
                       << " did not become ready: " << entry_process(i).read_error_output();
            return make_error_code(common::error::timed_out);
        }
    }
    return {};
}

std::error_code cluster::start_without_entries() {
    if (m_lock.octet() == 0 || m_folder.empty())
        return make_error_code(common::error::unavailable);
    if (const auto ec = start_stand_ins())
        return ec;
    if (const auto ec = announce_vms())
        return ec;
    if (const auto ec = add_peer_routes())
        return ec;
    return add_platform_and_executor_routes();
}

std::string cluster::manifest(manifest_options options) const {
    options.slots = m_plan.slots;
    options.connections = m_plan.connections;
    return manifest_text(options, m_executors);
}

std::optional<int> cluster::apply(const std::string& manifest) {
    const auto file = write_file("manifest.toml", manifest);
    const auto url = "http://" + platform().to_string();
    std::unique_ptr<process> savoryctl;
    if (spawn(savoryctl, "savoryctl", "savoryctl", {"apply", "--platform", url, file}))
        return std::nullopt;
    const auto code = savoryctl->wait_for_exit(apply_timeout);
    LOG_IF(ERROR, code != EXIT_SUCCESS)
        << "savoryctl apply failed: " << savoryctl->read_error_output();
    return code;
}

std::error_code cluster::start_entry(std::size_t entry) {
    return start_entry(entry, {});
}

std::error_code cluster::start_entry(std::size_t entry,
                                     const std::map<std::string, std::string>& settings) {
    const auto& it = m_entries.at(entry);
    auto merged = settings;
    merged.insert(m_plan.settings.begin(), m_plan.settings.end());
    const auto file = write_file(it.name + ".toml", settings_text(it, merged));
    auto& child = m_entry_processes[entry];
    if (const auto ec = spawn(child, it.name, "savory-entry", {"--settings", file}))
        return ec;
    return await_ready(*child, it.name);
}

std::error_code cluster::start_executor(std::size_t index) {
    const auto& it = m_executors.at(index);
    auto& child = m_executor_processes[index];
    if (const auto ec =
            spawn(child, it.name, "stand_in_executor",
                  {"--listen", it.address.to_string(), "--slots", std::to_string(m_plan.slots),
                   "--connections", std::to_string(m_plan.connections)}))
        return ec;
    return await_ready(*child, it.name);
}

bool cluster::wait_until_ready(std::size_t entry, milliseconds timeout) {
    const auto ready = [&] {
        const auto answer =
            call(m_entries.at(entry).callers, http::method::get, "/readyz", "", readyz_timeout);
        return answer && answer.value().status == 200;
    };
    return wait_until(ready, timeout);
}

std::error_code cluster::spawn(std::unique_ptr<process>& child, const std::string& name,
                               const std::string& program, std::vector<std::string> arguments) {
    child = std::make_unique<process>(
        process_options{program, std::move(arguments), m_folder / (name + ".err")});
    const auto ec = child->spawn();
    LOG_IF(ERROR, ec) << "cannot start " << name << ": " << ec.message();
    return ec;
}

std::error_code cluster::await_ready(process& child, const std::string& name) const {
    const auto ec = child.wait_until_ready(ready_timeout);
    LOG_IF(ERROR, ec) << name << " did not start serving: " << ec.message() << ": "
                      << child.read_error_output();
    return ec;
}

std::error_code cluster::start_stand_ins() {
    if (const auto ec = spawn(m_platform, "platform", "stand_in_platform",
                              {"--listen", m_addresses.platform().to_string(), "--list-lag-ms",
                               std::to_string(m_plan.list_lag.count())}))
        return ec;
    if (const auto ec = spawn(m_proxy, "proxy", "stand_in_proxy",
                              {"--control", m_addresses.proxy_control().to_string()}))
        return ec;
    for (std::size_t i = 0; i < m_executors.size(); i++) {
        if (const auto ec = start_executor(i))
            return ec;
    }
    if (const auto ec = await_ready(*m_platform, "platform"))
        return ec;
    return await_ready(*m_proxy, "proxy");
}

std::error_code cluster::announce_vms() {
    for (std::size_t i = 0; i < m_entries.size(); i++) {
        if (const auto ec = set_entry_state(i, "live"))
            return ec;
    }
    for (std::size_t i = 0; i < m_executors.size(); i++) {
        if (const auto ec = set_executor_state(i, "live"))
            return ec;
    }
    return {};
}

std::string cluster::write_file(const std::string& name, const std::string& text) const {
    const auto path = m_folder / name;
    std::ofstream(path) << text;
    return path.string();
}

} // namespace savorytrail::stand_ins
