// Proxy routes, faults, VM states and start counts of a cluster.
#include "nlohmann/json.hpp"
#include "stand_ins/cluster/cluster.h"
#include "stand_ins/cluster/http_call.h"

namespace savorytrail::stand_ins {
namespace {

using nlohmann::json;

std::string peer_route_name(const entry_identity& from, const entry_identity& to,
                            const std::string& protocol) {
    return protocol + "-" + from.name + "-" + to.name;
}

std::string platform_route_name(const entry_identity& entry) {
    return "platform-" + entry.name;
}

std::string executor_route_name(const executor_identity& executor) {
    return "executor-" + executor.name;
}

} // namespace

std::error_code cluster::add_peer_routes() {
    for (std::size_t from = 0; from < m_entries.size(); from++) {
        for (std::size_t to = 0; to < m_entries.size(); to++) {
            if (from == to)
                continue;
            const auto& reader = m_entries[from];
            const auto& peer = m_entries[to];
            const auto listen = m_addresses.peer_route(from, to);
            for (const char* protocol : {"tcp", "udp"}) {
                const auto name = peer_route_name(reader, peer, protocol);
                if (const auto ec = add_route(name, listen, peer.peers, protocol))
                    return ec;
            }
            const json body = {
                {"reader", reader.name}, {"vm", peer.name}, {"address", listen.to_string()}};
            if (const auto ec = put(platform(), "/control/routes", body.dump()))
                return ec;
        }
    }
    return {};
}

std::error_code cluster::add_platform_and_executor_routes() {
    for (const auto& it : m_entries) {
        if (const auto ec = add_route(platform_route_name(it), it.platform, platform(), "tcp"))
            return ec;
    }
    if (!m_plan.executors_behind_proxy)
        return {};
    for (const auto& it : m_executors) {
        if (const auto ec = add_route(executor_route_name(it), it.published, it.address, "tcp"))
            return ec;
    }
    return {};
}

std::error_code cluster::add_route(const std::string& name, const common::endpoint& listen,
                                   const common::endpoint& target, const std::string& protocol) {
    const json body = {
        {"listen", listen.to_string()}, {"target", target.to_string()}, {"protocol", protocol}};
    return put(m_addresses.proxy_control(), "/control/routes/" + name, body.dump());
}

std::error_code cluster::set_route_fault(const std::string& name, const proxy_fault& fault) {
    if (fault == proxy_fault{})
        m_faulty_routes.erase(name);
    else
        m_faulty_routes.insert(name);
    const json body = {{"mode", name_of(fault.mode)},
                       {"delay_ms", fault.delay.count()},
                       {"after_bytes", fault.after_bytes}};
    return put(m_addresses.proxy_control(), "/control/routes/" + name + "/fault", body.dump());
}

std::error_code cluster::set_peer_fault(std::size_t from, std::size_t to,
                                        const proxy_fault& fault) {
    for (const char* protocol : {"tcp", "udp"}) {
        const auto name = peer_route_name(m_entries.at(from), m_entries.at(to), protocol);
        if (const auto ec = set_route_fault(name, fault))
            return ec;
    }
    return {};
}

std::error_code cluster::set_fault_between(std::size_t first, std::size_t second,
                                           const proxy_fault& fault) {
    if (const auto ec = set_peer_fault(first, second, fault))
        return ec;
    return set_peer_fault(second, first, fault);
}

std::error_code cluster::set_fault_between(const std::string& domain,
                                           const std::string& other_domain,
                                           const proxy_fault& fault) {
    for (std::size_t i = 0; i < m_entries.size(); i++) {
        for (std::size_t j = 0; j < m_entries.size(); j++) {
            if (m_entries[i].failure_domain != domain ||
                m_entries[j].failure_domain != other_domain)
                continue;
            if (const auto ec = set_fault_between(i, j, fault))
                return ec;
        }
    }
    return {};
}

std::error_code cluster::set_fault_to_platform(std::size_t entry, const proxy_fault& fault) {
    return set_route_fault(platform_route_name(m_entries.at(entry)), fault);
}

std::error_code cluster::set_fault_to_platform(const std::string& domain,
                                               const proxy_fault& fault) {
    for (std::size_t i = 0; i < m_entries.size(); i++) {
        if (m_entries[i].failure_domain != domain)
            continue;
        if (const auto ec = set_fault_to_platform(i, fault))
            return ec;
    }
    return {};
}

std::error_code cluster::set_fault_to_executor(std::size_t index, const proxy_fault& fault) {
    return set_route_fault(executor_route_name(m_executors.at(index)), fault);
}

std::error_code cluster::clear_route_faults() {
    const auto routes = m_faulty_routes;
    for (const auto& it : routes) {
        if (const auto ec = set_route_fault(it, {}))
            return ec;
    }
    return {};
}

std::error_code cluster::set_platform_fault(const platform_fault& fault) {
    const json body = {
        {"mode", name_of(fault.mode)}, {"delay_ms", fault.delay.count()}, {"times", fault.times}};
    return put(platform(), "/control/faults", body.dump());
}

std::error_code cluster::set_executor_behaviour(std::size_t index,
                                                const executor_behaviour& behaviour) {
    const json body = {{"mode", name_of(behaviour.mode)}, {"factor", behaviour.factor}};
    return put(m_executors.at(index).address, "/control/mode", body.dump());
}

std::error_code cluster::set_entry_state(std::size_t entry, const std::string& state) {
    const auto& it = m_entries.at(entry);
    return put_vm(it.name, "entry", it.failure_domain, it.peers, state);
}

std::error_code cluster::set_executor_state(std::size_t index, const std::string& state) {
    const auto& it = m_executors.at(index);
    return put_vm(it.name, "upstream", it.failure_domain, it.published, state);
}

std::error_code cluster::put_vm(const std::string& name, const std::string& role,
                                const std::string& domain, const common::endpoint& address,
                                const std::string& state) {
    const json body = {{"name", name},
                       {"role", role},
                       {"failure_domain", domain},
                       {"region", m_plan.region},
                       {"address", address.to_string()},
                       {"state", state}};
    return put(platform(), "/control/vms/" + name, body.dump());
}

common::result<start_counts> cluster::read_starts(std::size_t index) const {
    const auto answer = call(m_executors.at(index).address, http::method::get, "/control/starts");
    if (!answer)
        return answer.error();
    const auto body = json::parse(answer.value().body, nullptr, false);
    if (!body.is_object())
        return make_error_code(common::error::malformed);
    return start_counts{body.value("total", std::uint64_t{0}),
                        body.value("tasks", std::map<std::string, std::uint64_t>{})};
}

common::result<start_counts> cluster::read_starts() const {
    start_counts sum;
    for (std::size_t i = 0; i < m_executors.size(); i++) {
        const auto it = read_starts(i);
        if (!it)
            return it.error();
        sum.total += it.value().total;
        for (const auto& [task, count] : it.value().tasks)
            sum.tasks[task] += count;
    }
    return sum;
}

} // namespace savorytrail::stand_ins
