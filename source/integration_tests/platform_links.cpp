#include "integration_tests/platform_links.h"

#include <system_error>

namespace savorytrail {
namespace {

void require(std::error_code ec) {
    if (ec) {
        throw std::system_error(ec);
    }
}

std::unique_ptr<stand_ins::tcp_route> start_tcp(const common::endpoint& listen,
                                                const common::endpoint& target) {
    auto it = std::make_unique<stand_ins::tcp_route>(stand_ins::route_addresses{listen, target});
    require(it->start());
    return it;
}

} // namespace

platform_links::platform_links(const plan& link_plan) : m_network(link_plan.network) {
    const auto& entries = link_plan.entries;
    for (int from = 0; from < static_cast<int>(entries.size()); from++) {
        for (int to = 0; to < static_cast<int>(entries.size()); to++) {
            if (from == to) {
                continue;
            }
            const common::endpoint listen{entries[to].host, entries[from].port};
            auto& it = m_links[{from, to}];
            it.connections = start_tcp(listen, entries[to]);
            it.datagrams = std::make_unique<stand_ins::udp_route>(
                stand_ins::route_addresses{listen, entries[to]}, entries[from].host);
            require(it.datagrams->start());
        }
        m_stores.push_back(start_tcp(store_of(from), link_plan.store));
    }
    for (const auto& it : link_plan.executors) {
        m_executors.push_back(start_tcp(it.listen, it.target));
    }
}

common::endpoint platform_links::store_of(int entry) const {
    return {m_network + "." + std::to_string(store_proxy_octet) + "." + std::to_string(entry + 1),
            8169};
}

void platform_links::set_link_fault(int from, int to, const stand_ins::proxy_fault& fault,
                                    traffic affected) {
    auto& it = m_links.at({from, to});
    if (affected != traffic::datagrams) {
        require(it.connections->set_fault(fault));
    }
    if (affected != traffic::connections) {
        require(it.datagrams->set_fault(fault));
    }
}

void platform_links::set_entry_fault(int entry, const stand_ins::proxy_fault& fault) {
    for (const auto& [pair, it] : m_links) {
        if (pair.first == entry || pair.second == entry) {
            set_link_fault(pair.first, pair.second, fault);
        }
    }
}

std::uint64_t platform_links::datagrams(int from, int to) const {
    return m_links.at({from, to}).datagrams->counters().datagrams;
}

void platform_links::set_store_fault(int entry, const stand_ins::proxy_fault& fault) {
    require(m_stores.at(entry)->set_fault(fault));
}

void platform_links::set_executor_fault(int executor, const stand_ins::proxy_fault& fault) {
    require(m_executors.at(executor)->set_fault(fault));
}

void platform_links::clear_faults() {
    for (auto& [pair, it] : m_links) {
        require(it.connections->set_fault({}));
        require(it.datagrams->set_fault({}));
    }
    for (auto& it : m_stores) {
        require(it->set_fault({}));
    }
    for (auto& it : m_executors) {
        require(it->set_fault({}));
    }
}

} // namespace savorytrail
