#include "unit_tests/fleet_view/entry_network.h"

#include <algorithm>

namespace savorytrail::fleet {
namespace {

using common::milliseconds;

constexpr std::uint16_t port = 7000;
constexpr std::int64_t executor_cpu_millis = 64000;

} // namespace

entry_network::entry_network(network_plan plan) : m_plan(plan), m_random(plan.seed) {
    m_nodes.resize(static_cast<std::size_t>(plan.domains) *
                   static_cast<std::size_t>(plan.entries_per_domain));
    for (int i = 0; i < size(); i++) {
        start(i);
    }
}

void entry_network::start(int entry) {
    auto& it = m_nodes[entry];
    it.incarnation = m_next_incarnation++;
    it.last_step.reset();
    // VMs of unequal size, as fleets grow them.
    const auto share = static_cast<std::uint32_t>(entry % 4 == 0 ? 500 : 120);
    it.fleet = std::make_unique<view>(
        entry_identity{name_of(entry), domain_name(entry), host_of(entry), it.incarnation, share},
        port, view_limits(), m_now);
    it.sender = std::make_unique<heartbeat_sender>(*it.fleet);
    for (int other = 0; other < size(); other++) {
        it.fleet->add_entry({name_of(other), domain_name(other), host_of(other)});
    }
}

void entry_network::kill(int entry) {
    m_nodes[entry].fleet.reset();
    m_nodes[entry].sender.reset();
}

void entry_network::freeze(int entry, milliseconds duration) {
    m_nodes[entry].frozen_until = m_now + duration;
}

bool entry_network::sees(int entry, int other) const {
    return m_nodes[entry].fleet->is_live(name_of(other), m_now);
}

std::vector<std::string> entry_network::dispatchers_of(int entry, int domain) const {
    return m_nodes[entry].fleet->dispatchers("domain-" + std::to_string(domain),
                                             static_cast<std::size_t>(m_plan.executors_per_domain),
                                             m_now);
}

bool entry_network::dispatches(int entry) const {
    const auto names = dispatchers_of(entry, domain_of(entry));
    return std::find(names.begin(), names.end(), name_of(entry)) != names.end();
}

void entry_network::run(milliseconds duration) {
    for (const auto end = m_now + duration; m_now < end;) {
        step_once();
    }
}

milliseconds entry_network::run_until(const std::function<bool()>& condition, milliseconds limit,
                                      milliseconds check_interval) {
    milliseconds elapsed{0};
    while (elapsed < limit && !condition()) {
        run(check_interval);
        elapsed += check_interval;
    }
    return elapsed;
}

void entry_network::step_once() {
    m_now += step;
    const auto arriving = std::exchange(m_in_flight, {});
    for (const auto& it : arriving) {
        deliver(it);
    }
    for (const auto& [from, at] : m_uses) {
        if (is_running(from) && is_running(at)) {
            m_nodes[from].fleet->note_in_use(name_of(at), m_now);
            m_nodes[at].fleet->note_in_use(name_of(from), m_now);
        }
    }
    for (int i = 0; i < size(); i++) {
        if (is_running(i) && !is_frozen(i)) {
            notice_stall(i);
            refresh(i);
            send_due(i);
        }
    }
}

void entry_network::notice_stall(int entry) {
    auto& it = m_nodes[entry];
    if (it.last_step && m_now - *it.last_step > 3 * step) {
        it.fleet->note_stall(std::chrono::duration_cast<milliseconds>(m_now - *it.last_step),
                             m_now);
    }
    it.last_step = m_now;
}

void entry_network::refresh(int entry) {
    for (const auto& name : m_nodes[entry].fleet->refresh(m_now)) {
        for (int other = 0; other < size(); other++) {
            const bool is_sound = name == name_of(other) && is_running(other) &&
                                  !is_frozen(other) && !m_is_cut(other, entry) &&
                                  !m_is_cut(entry, other);
            m_false_alarms += is_sound ? 1 : 0;
        }
    }
}

void entry_network::send_due(int entry) {
    auto& it = m_nodes[entry];
    entry_status status;
    status.knows_executors = true;
    status.configuration_version = 1;
    status.executor_list_version = 1;
    status.domain_executors = static_cast<std::uint32_t>(m_plan.executors_per_domain);
    std::vector<std::uint64_t> held;
    if (it.fleet->has_settled(m_now) && dispatches(entry)) {
        status.load = {24 * executor_cpu_millis, static_cast<std::int64_t>(m_random() % 100000), 0};
        for (int i = 0; i < 24; i++) {
            held.push_back(executor_key(name_of(entry) + "/" + std::to_string(i)));
        }
    }
    m_on_status(entry, status);
    it.fleet->set_status(status);
    for (const auto& out : it.sender->due(held, m_now)) {
        const int to = std::stoi(out.to.host.substr(out.to.host.rfind('.') + 1));
        auto bytes = encode(out.content);
        it.sent.datagrams++;
        it.sent.bytes += bytes.size();
        it.sent.largest = std::max(it.sent.largest, bytes.size());
        std::uniform_real_distribution<double> share(0, 1);
        if (share(m_random) >= m_plan.loss) {
            m_in_flight.push_back({entry, to, std::move(bytes)});
        }
    }
}

void entry_network::deliver(const datagram& it) {
    if (!is_running(it.to) || is_frozen(it.to) || m_is_cut(it.from, it.to)) {
        return;
    }
    if (const auto decoded = decode_heartbeat(it.bytes)) {
        m_nodes[it.to].fleet->receive(*decoded, host_of(it.from), m_now);
        m_on_heartbeat(it.to, *decoded);
    }
}

entry_network::traffic entry_network::total() const {
    traffic sum;
    for (const auto& it : m_nodes) {
        sum.datagrams += it.sent.datagrams;
        sum.bytes += it.sent.bytes;
        sum.largest = std::max(sum.largest, it.sent.largest);
    }
    return sum;
}

void entry_network::reset_traffic() {
    for (auto& it : m_nodes) {
        it.sent = {};
    }
}

} // namespace savorytrail::fleet
