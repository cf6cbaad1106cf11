// The ways between the entries of a platform_fleet, and from each to the executors and the store,
// as proxies whose faults a test switches. Each entry has a peer port of its own and takes the
// others to have the same; where it looks for them, proxies listen. So each direction between two
// entries is a way of its own, for connections and datagrams.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/proxy/tcp_route.h"
#include "stand_ins/proxy/udp_route.h"

namespace savorytrail {

class platform_links {
public:
    // Third parts of the addresses of proxies before executors, and before the store.
    static constexpr int executor_proxy_octet = 3;
    static constexpr int store_proxy_octet = 4;

    struct plan {
        std::string network; // "127.N"
        common::endpoint store;
        std::vector<common::endpoint> entries; // for peers
        std::vector<stand_ins::route_addresses> executors;
    };

    explicit platform_links(const plan& link_plan);

    common::endpoint store_of(int entry) const;

    // What one entry sends to the other, and the answers on connections that it opened.
    void set_link_fault(int from, int to, const stand_ins::proxy_fault& fault);
    void set_store_fault(int entry, const stand_ins::proxy_fault& fault);
    // For all entries.
    void set_executor_fault(int executor, const stand_ins::proxy_fault& fault);
    void clear_faults();

private:
    struct link {
        std::unique_ptr<stand_ins::tcp_route> connections;
        std::unique_ptr<stand_ins::udp_route> datagrams;
    };

    const std::string m_network;
    std::map<std::pair<int, int>, link> m_links; // by sender and receiver
    std::vector<std::unique_ptr<stand_ins::tcp_route>> m_stores;
    std::vector<std::unique_ptr<stand_ins::tcp_route>> m_executors;
};

} // namespace savorytrail
